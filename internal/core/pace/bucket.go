package pace

import (
	"math"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// bucket is a token bucket with one token per byte.
type bucket struct {
	rate      float64 // bytes per millisecond
	burst     float64
	tokens    float64
	updatedAt clock.Millis
}

// newBucket returns a full bucket; the rate is in bytes per second.
func newBucket(rate, burst float64, now clock.Millis) bucket {
	return bucket{rate: rate / float64(clock.Second), burst: burst, tokens: burst, updatedAt: now}
}

// take takes size tokens, and reports false and takes none when there are too few.
func (b *bucket) take(size float64, now clock.Millis) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*float64(max(now-b.updatedAt, 0)))
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens < size {
		return false
	}
	b.tokens -= size
	return true
}

// waitTime returns the time until there are size tokens, at least 1 ms. It counts from
// the last call of take. For a size above the burst, take fails even afterwards.
func (b *bucket) waitTime(size float64) clock.Millis {
	return max(clock.Millis(math.Ceil((size-b.tokens)/b.rate)), 1)
}
