package entry

import "github.com/sycamoredoor/sycamoredoor/internal/core/budget"

const (
	// retryShare is the number of immediate retries that a request pays for.
	retryShare = 0.2
	// retryBurst is the number of retries that are kept for later.
	retryBurst = 100
)

func newBudget() budget.Budget { return budget.New(retryShare, retryBurst) }

// payRequest counts a request for the retry budget.
func (e *Entry) payRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget = e.budget.WithRequest()
}

// payRetry takes a retry from the budget and reports whether it was there.
func (e *Entry) payRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ok bool
	e.budget, ok = e.budget.WithRetry()
	return ok
}

// seed returns a number that differs from request to request and from VM to VM.
func (e *Entry) seed() uint64 {
	return uint64(VMTag(e.options.VM.Name))<<48 + e.requests.Add(1)
}
