package experiment

import "time"

// tokenBucket is what an account may ask for by its rate and burst, whatever was
// refused: arrivals beyond it take nothing.
type tokenBucket struct {
	rate     float64
	burst    float64
	tokens   float64
	lastTime time.Time
}

// take reports whether an arrival is allowed. Arrivals come in order.
func (a *tokenBucket) take(at time.Time) bool {
	if !a.lastTime.IsZero() {
		a.tokens = min(a.tokens+a.rate*at.Sub(a.lastTime).Seconds(), a.burst)
	}
	a.lastTime = at
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
