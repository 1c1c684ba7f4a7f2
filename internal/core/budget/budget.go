// Package budget bounds retries to a share of the requests, so that a failing
// part does not get more load than a working one.
package budget

// Budget is a token bucket that requests fill and retries empty. It is an
// immutable value.
type Budget struct {
	tokens float64
	share  float64
	burst  float64
}

// New returns a full budget. Each request adds share of a token, and at most
// most tokens are kept for a burst of retries.
func New(share, burst float64) Budget {
	return Budget{tokens: burst, share: share, burst: burst}
}

// WithRequest returns b after one more request.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.tokens+b.share, b.burst)
	return b
}

// WithRetry returns b after one more retry, and whether the budget allowed it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
