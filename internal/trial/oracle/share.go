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
	for _, u := range usages {
		remaining += u.Served
	}
	out, satisfied := make([]float64, len(usages)), make([]bool, len(usages))
	for {
		totalWeight := 0.0
		for i, u := range usages {
			if !satisfied[i] {
				totalWeight += u.Weight
			}
		}
		share, changed := remaining/totalWeight, false
		for i, u := range usages {
			if !satisfied[i] && u.Demand <= share*u.Weight {
				out[i], satisfied[i], changed = u.Demand, true, true
				remaining -= u.Demand
			}
		}
		if changed {
			continue
		}
		for i, u := range usages {
			if !satisfied[i] {
				out[i] = share * u.Weight
			}
		}
		return out
	}
}

// WorstServedShare returns the smallest ratio of served requests to the fair share
// over the accounts, at most 1.
func WorstServedShare(usages []AccountUsage) float64 {
	worst := 1.0
	for i, share := range fairShares(usages) {
		if share > 0 {
			worst = min(worst, usages[i].Served/share)
		}
	}
	return worst
}
