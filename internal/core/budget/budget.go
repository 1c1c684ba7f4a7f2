// Package budget limits retries to a share of the requests, so that they cannot
// multiply the load on a failing server.
package budget

// Budget is a token bucket to which each request adds a fraction of a token, and from
// which each retry takes one. It is an immutable value.
type Budget struct {
	tokens float64
	share  float64
	burst  float64
}

// New returns a full budget. Each request adds share of a token, and at most burst
// tokens are kept.
func New(share, burst float64) Budget {
	return Budget{tokens: burst, share: share, burst: burst}
}

// WithRequest adds the share of one request.
func (b Budget) WithRequest() Budget {
	b.tokens = min(b.tokens+b.share, b.burst)
	return b
}

// WithRetry takes one token for a retry, and reports false when there is none: the
// retry is then not allowed.
func (b Budget) WithRetry() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
