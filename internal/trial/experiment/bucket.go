package experiment

import "time"

// tokenBucket decides which arrivals of an account are within its rate and burst,
// whether or not the proxy serves them. An arrival beyond the rate takes no token.
type tokenBucket struct {
	// rate is in tokens per second; burst is the most tokens that the bucket holds.
	rate   float64
	burst  float64
	tokens float64
	// lastTime is the time of the last call of take.
	lastTime time.Time
}

// take reports whether an arrival at time now is within the rate and burst, and
// takes its token. Calls must come in the order of their times.
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
