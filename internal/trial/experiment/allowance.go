package experiment

import "time"

// allowance is what an account may ask for by its rate and burst, whatever was
// refused: arrivals beyond it take nothing.
type allowance struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// take reports whether an arrival is allowed. Arrivals come in order.
func (a *allowance) take(at time.Time) bool {
	if !a.at.IsZero() {
		a.tokens = min(a.tokens+a.rate*at.Sub(a.at).Seconds(), a.burst)
	}
	a.at = at
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
