package oracle

// Claim is what a client account asked for and got, in requests.
type Claim struct {
	Weight float64
	Demand float64
	Served float64
}

// entitled returns what each account may claim of all that was served: what it
// asked for, or its share by weight of what the others leave, whichever is less.
func entitled(claims []Claim) []float64 {
	left := 0.0
	for _, c := range claims {
		left += c.Served
	}
	out, settled := make([]float64, len(claims)), make([]bool, len(claims))
	for {
		weights := 0.0
		for i, c := range claims {
			if !settled[i] {
				weights += c.Weight
			}
		}
		share, again := left/weights, false
		for i, c := range claims {
			if !settled[i] && c.Demand <= share*c.Weight {
				out[i], settled[i], again = c.Demand, true, true
				left -= c.Demand
			}
		}
		if again {
			continue
		}
		for i, c := range claims {
			if !settled[i] {
				out[i] = share * c.Weight
			}
		}
		return out
	}
}

// Worst returns the least of served / entitled over the accounts.
func Worst(claims []Claim) float64 {
	least := 1.0
	for i, e := range entitled(claims) {
		if e > 0 {
			least = min(least, claims[i].Served/e)
		}
	}
	return least
}
