package oracle

// AccountUsage holds the weight of a client account and the numbers of requests
// that it demanded and was served.
type AccountUsage struct {
	Weight float64
	Demand float64
	Served float64
}

// fairShares divides the total of served requests among the accounts by weighted
// max-min fairness: an account whose demand is below its share by weight gets its
// demand, and the accounts with more demand divide the rest by weight.
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

// WorstServedShare returns the smallest ratio of served requests to the fair share
// over the accounts, at most 1.
func WorstServedShare(usages []AccountUsage) float64 {
	worst := 1.0
	for i, e := range fairShares(usages) {
		if e > 0 {
			worst = min(worst, usages[i].Served/e)
		}
	}
	return worst
}
