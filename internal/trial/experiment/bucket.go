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
func (b *tokenBucket) take(now time.Time) bool {
	if !b.lastTime.IsZero() {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.lastTime).Seconds(), b.burst)
	}
	b.lastTime = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
