package entry

import "github.com/sycamoredoor/sycamoredoor/internal/core/budget"

const (
	// retriesPerRequest is the number of immediate retries that each request
	// adds to the retry budget.
	retriesPerRequest = 0.2
	// maxRetryBurst is the largest number of retries that the budget keeps for
	// later.
	maxRetryBurst = 100
)

func newBudget() budget.Budget { return budget.New(retriesPerRequest, maxRetryBurst) }

// creditRetryBudget adds the share of one request to the retry budget.
func (e *Entry) creditRetryBudget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget = e.budget.WithRequest()
}

// spendRetry takes a retry from the budget and reports whether there was one.
func (e *Entry) spendRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ok bool
	e.budget, ok = e.budget.WithRetry()
	return ok
}

// nextSeed returns a number that differs between requests and between VMs.
func (e *Entry) nextSeed() uint64 {
	return uint64(VMTag(e.options.VM.Name))<<48 + e.requestCount.Add(1)
}
