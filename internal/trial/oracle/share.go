package oracle

// AccountUsage is what a client account asked for and got, in requests.
type AccountUsage struct {
	Weight float64
	Demand float64
	Served float64
}

// fairShares returns what each account may claim of all that was served: what it
// asked for, or its share by weight of what the others leave, whichever is less.
func fairShares(usages []AccountUsage) []float64 {
	remaining := 0.0
	for _, c := range usages {
		remaining += c.Served
	}
	out, satisfied := make([]float64, len(usages)), make([]bool, len(usages))
	for {
		weights := 0.0
		for i, c := range usages {
			if !satisfied[i] {
				weights += c.Weight
			}
		}
		share, changed := remaining/weights, false
		for i, c := range usages {
			if !satisfied[i] && c.Demand <= share*c.Weight {
				out[i], satisfied[i], changed = c.Demand, true, true
				remaining -= c.Demand
			}
		}
		if changed {
			continue
		}
		for i, c := range usages {
			if !satisfied[i] {
				out[i] = share * c.Weight
			}
		}
		return out
	}
}

// WorstServedShare returns the least of served / entitled over the accounts.
func WorstServedShare(usages []AccountUsage) float64 {
	worst := 1.0
	for i, e := range fairShares(usages) {
		if e > 0 {
			worst = min(worst, usages[i].Served/e)
		}
	}
	return worst
}
