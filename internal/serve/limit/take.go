package limit

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// idleTimeout is how long an account keeps its part without statements, in
// milliseconds.
const idleTimeout = 10 * clock.Second

// localLimit is this VM's part of one account's limit and the queue of
// statements that wait for it.
type localLimit struct {
	bucket limit.Holder
	// waiting is the number of statements in the queue.
	waiting int
	// turn is a semaphore of size one, acquired by receiving: the statement that
	// holds it waits for the next token of the part, the others wait for the
	// turn.
	turn chan struct{}
	// changed is closed, and replaced, when the owner's answer has arrived.
	changed chan struct{}
}

func newLocalLimit(now clock.Millis) *localLimit {
	h := &localLimit{bucket: limit.NewHolder(now), turn: make(chan struct{}, 1), changed: make(chan struct{})}
	h.turn <- struct{}{}
	return h
}

func (h *localLimit) notifyChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Take takes a token for one statement of an account, or returns a refusal, in
// which case the statement must not run. It waits for a token for at most
// limit.Holder.MaxWait, which is longer while the account may be entitled to more
// or its owner does not answer. An account that is not in the configuration has no
// limit.
func (l *Limiter) Take(ctx context.Context, account string) error {
	d := l.document(ctx)
	if d == nil {
		return refuseUnconfirmed()
	}
	a, ok := d.Account(account)
	if !ok {
		return nil
	}
	h, taken, queued := l.takeOrQueue(account, a.Burst)
	switch {
	case taken:
		l.counters.countGranted(account)
		return nil
	case !queued:
		l.counters.countRefused(account)
		return refuseOverLimit(account, a.Rate)
	}
	l.counters.waits.Inc()
	err := l.wait(ctx, h, account, a.Rate)
	if err != nil {
		l.counters.countRefused(account)
		return err
	}
	l.counters.countGranted(account)
	return nil
}

const (
	// confirmTimeout is how long a statement waits while the VM may not act,
	// for example while it adopts a change of the configuration, in
	// milliseconds.
	confirmTimeout = 2 * clock.Second
	// confirmInterval is the pause between two checks in milliseconds.
	confirmInterval = 5 * clock.Millis(1)
)

// document returns the configuration that the VM may act on, or nil when there
// is none before confirmTimeout has passed or the context has ended.
func (l *Limiter) document(ctx context.Context) *document.Document {
	deadline := l.options.Clock.Now() + confirmTimeout
	for {
		d := l.options.DocumentFunc()
		if d != nil || l.options.Clock.Now() >= deadline || l.options.Clock.Sleep(ctx, confirmInterval) != nil {
			return d
		}
	}
}

func refuseOverLimit(account string, rate float64) error {
	return outcome.Refuse(outcome.ReasonRateLimit, outcome.CodeRateLimit, "account %s is over its rate of %g statements per second", account, rate)
}

func refuseUnconfirmed() error {
	return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the VM has no confirmed configuration now; connect again")
}

// takeOrQueue counts the statement as demand and takes a token if no other
// statement waits for one. Without a token it queues the statement; queued is
// false when as many statements wait already as the account's burst allows.
func (l *Limiter) takeOrQueue(account string, burst float64) (h *localLimit, taken, queued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if h = l.localLimits[account]; h == nil {
		h = newLocalLimit(now)
		l.localLimits[account] = h
	}
	h.bucket = h.bucket.WithDemand(now)
	if h.waiting == 0 && l.takeLocked(h, account) {
		return h, true, false
	}
	if float64(h.waiting) >= burst {
		return h, false, false
	}
	h.waiting++
	l.wake()
	return h, false, true
}

// takeLocked takes a token of the local part and reports whether it got one. It
// gets none while this VM may not act. The caller must hold l.mu.
func (l *Limiter) takeLocked(h *localLimit, account string) bool {
	if !l.refreshLocked(l.options.Clock.Now()) {
		return false
	}
	now := l.options.Clock.Now()
	var taken bool
	h.bucket, taken = h.bucket.WithTake(now)
	p := h.bucket.Part(now)
	invariant.Check(p.Tokens >= 0 && p.Tokens <= p.Burst, invariant.AccountRate, "account %s has %g tokens in a part of %g", account, p.Tokens, p.Burst)
	return taken
}

// wait waits for the turn and then for a token. The statement must be in the
// queue; wait removes it when it returns.
func (l *Limiter) wait(ctx context.Context, h *localLimit, account string, rate float64) error {
	defer l.leaveQueue(h)
	start := l.options.Clock.Now()
	for {
		remaining := l.remainingWait(h, start)
		if remaining <= 0 {
			return l.refuseTimeout(h, account, rate)
		}
		fired, stop := l.options.Clock.AfterFunc(remaining)
		select {
		case <-ctx.Done():
			stop()
			return refuseDeadline(account)
		case <-fired:
			// MaxWait may have grown while the statement waited.
			continue
		case <-h.turn:
			stop()
			defer func() { h.turn <- struct{}{} }()
			return l.waitForToken(ctx, h, account, rate, start)
		}
	}
}

// refuseTimeout returns the refusal of a statement that got no token in time.
// It names the rate as the cause only if the owner has answered lately.
func (l *Limiter) refuseTimeout(h *localLimit, account string, rate float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.bucket.OwnerSilent(l.options.Clock.Now()) {
		return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the limit of account %s could not be confirmed in time; try again", account)
	}
	return refuseOverLimit(account, rate)
}

func refuseDeadline(account string) error {
	return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the request ended while it waited for the limit of account %s", account)
}

func (l *Limiter) leaveQueue(h *localLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.waiting--
}

// remainingWait returns how much longer a statement that began to wait at start
// may wait, in milliseconds.
func (l *Limiter) remainingWait(h *localLimit, start clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	return h.bucket.MaxWait(now) - (now - start)
}

// waitForToken waits for the next token of the part. The caller must hold the
// turn.
func (l *Limiter) waitForToken(ctx context.Context, h *localLimit, account string, rate float64, start clock.Millis) error {
	for {
		remaining := l.remainingWait(h, start)
		pause, changed, taken := l.tryTake(h, account, remaining)
		if taken {
			return nil
		}
		if remaining <= 0 {
			return l.refuseTimeout(h, account, rate)
		}
		fired, stop := l.options.Clock.AfterFunc(pause)
		select {
		case <-ctx.Done():
			stop()
			return refuseDeadline(account)
		case <-changed:
		case <-fired:
		}
		stop()
	}
}

// tryTake takes a token and reports whether there was one. Without one it
// returns the longest time to wait before the next attempt, in milliseconds,
// and a channel that is closed when the owner answers earlier.
func (l *Limiter) tryTake(h *localLimit, account string, remaining clock.Millis) (clock.Millis, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.takeLocked(h, account) {
		return 0, nil, true
	}
	if untilToken, ok := h.bucket.NextToken(l.options.Clock.Now()); ok {
		remaining = min(remaining, max(untilToken, 1))
	}
	return remaining, h.changed, false
}

// dueReportsLocked returns the reports that are due, by the VM that owns the
// accounts, and removes idle accounts that have no part. A due report is sent along
// with those of the same owner's other accounts whose last report is at least half
// of limit.ReportInterval old. An owner whose survey is pending gets the reports of
// all its accounts, and is in the result even without any. A VM with a report in
// flight is not in the result. The caller must hold l.mu.
func (l *Limiter) dueReportsLocked(now clock.Millis) map[member.VM][]limit.Report {
	due := map[string]bool{}
	for account, h := range l.localLimits {
		if h.bucket.IdleTime(now) >= idleTimeout && h.waiting == 0 && h.bucket.Part(now) == (limit.Part{}) {
			delete(l.localLimits, account)
			continue
		}
		vm := l.ownerOf(account).Name
		due[vm] = due[vm] || l.pendingSurveys[vm] != 0 || h.bucket.ReportDue(h.waiting, now)
	}
	out := map[member.VM][]limit.Report{}
	for _, vm := range l.members {
		if l.pendingSurveys[vm.Name] != 0 && !l.inFlight[vm.Name] {
			out[vm] = nil
		}
	}
	for account, h := range l.localLimits {
		vm := l.ownerOf(account)
		if due[vm.Name] && !l.inFlight[vm.Name] && (l.pendingSurveys[vm.Name] != 0 || h.bucket.ReportDue(h.waiting, now) || h.bucket.TimeSinceReport(now) >= limit.ReportInterval/2) {
			out[vm] = append(out[vm], h.report(account, now))
		}
	}
	return out
}

// report returns the next report of the account, which gives the part back when
// the account is idle.
func (h *localLimit) report(account string, now clock.Millis) limit.Report {
	var r limit.Report
	if h.bucket.IdleTime(now) >= idleTimeout && h.waiting == 0 {
		h.bucket, r = h.bucket.WithRelease(account, now)
		return r
	}
	h.bucket, r = h.bucket.WithReport(account, h.waiting, now)
	return r
}
