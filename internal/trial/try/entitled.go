package try

// claim is what a client account asked for and got, in requests.
type claim struct {
	weight float64
	demand float64
	served float64
}

// entitled returns what each account may claim of all that was served: what it
// asked for, or its share by weight of what the others leave, whichever is less.
func entitled(claims []claim) []float64 {
	left := 0.0
	for _, c := range claims {
		left += c.served
	}
	out, settled := make([]float64, len(claims)), make([]bool, len(claims))
	for {
		weights := 0.0
		for i, c := range claims {
			if !settled[i] {
				weights += c.weight
			}
		}
		share, again := left/weights, false
		for i, c := range claims {
			if !settled[i] && c.demand <= share*c.weight {
				out[i], settled[i], again = c.demand, true, true
				left -= c.demand
			}
		}
		if again {
			continue
		}
		for i, c := range claims {
			if !settled[i] {
				out[i] = share * c.weight
			}
		}
		return out
	}
}

// worst returns the least of served / entitled over the accounts.
func worst(claims []claim) float64 {
	least := 1.0
	for i, e := range entitled(claims) {
		if e > 0 {
			least = min(least, claims[i].served/e)
		}
	}
	return least
}
