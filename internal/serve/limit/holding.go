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

// idle is how long an account without statements keeps a part, in milliseconds.
const idle = 10 * clock.Second

// holding is the VM's part of one account, and who waits for it.
type holding struct {
	holder  limit.Holder
	waiting int
	// turn holds one token; the statement that has it waits for the next token of
	// the part, the others for the turn.
	turn chan struct{}
	// changed is closed when an answer came.
	changed chan struct{}
}

func newHolding(now clock.Millis) *holding {
	h := &holding{holder: limit.NewHolder(now), turn: make(chan struct{}, 1), changed: make(chan struct{})}
	h.turn <- struct{}{}
	return h
}

func (h *holding) change() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Take lets one statement of an account run, or refuses it as not run. It waits
// for a token while the account may be due one. An account without a limit in
// the configuration has none.
func (l *Limiter) Take(ctx context.Context, account string) error {
	d := l.document(ctx)
	if d == nil {
		return refuseNow()
	}
	a, ok := d.Account(account)
	if !ok {
		return nil
	}
	h, taken, room := l.enter(account, a.Burst)
	switch {
	case taken:
		l.counters.granted(account)
		return nil
	case !room:
		l.counters.refused(account)
		return refuse(account, a.Rate)
	}
	l.counters.held.Inc()
	err := l.wait(ctx, h, account, a.Rate)
	if err != nil {
		l.counters.refused(account)
		return err
	}
	l.counters.granted(account)
	return nil
}

const (
	// confirmWait is how long a statement waits while the VM may not act, as in the
	// moment in which it takes up a change of configuration.
	confirmWait = 2 * clock.Second
	// confirmPause is the pause between two looks.
	confirmPause = 5 * clock.Millis(1)
)

// document returns the configuration that the VM may act on, or nil when it may
// act on none for confirmWait.
func (l *Limiter) document(ctx context.Context) *document.Document {
	deadline := l.options.Clock.Now() + confirmWait
	for {
		d := l.options.DocumentFunc()
		if d != nil || l.options.Clock.Now() >= deadline || l.options.Clock.Sleep(ctx, confirmPause) != nil {
			return d
		}
	}
}

func refuse(account string, rate float64) error {
	return outcome.Refuse(outcome.ReasonRateLimit, outcome.CodeRateLimit, "account %s is over its rate of %g statements per second", account, rate)
}

func refuseNow() error {
	return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the VM has no confirmed configuration now; connect again")
}

// enter counts the statement and takes a token at once if nobody waits for one.
// Without a token it reports whether there is room to wait.
func (l *Limiter) enter(account string, burst float64) (h *holding, taken, room bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if h = l.holdings[account]; h == nil {
		h = newHolding(now)
		l.holdings[account] = h
	}
	h.holder = h.holder.WithDemand(now)
	if h.waiting == 0 && l.take(h, account) {
		return h, true, false
	}
	if float64(h.waiting) >= burst {
		return h, false, false
	}
	h.waiting++
	l.wake()
	return h, false, true
}

// take spends a token. It needs the lock.
func (l *Limiter) take(h *holding, account string) bool {
	if !l.refresh(l.options.Clock.Now()) {
		return false
	}
	now := l.options.Clock.Now()
	var taken bool
	h.holder, taken = h.holder.WithTake(now)
	p := h.holder.Part(now)
	invariant.Check(p.Tokens >= 0 && p.Tokens <= p.Burst, invariant.AccountRate, "account %s has %g tokens in a part of %g", account, p.Tokens, p.Burst)
	return taken
}

// wait waits for the turn, and then for a token.
func (l *Limiter) wait(ctx context.Context, h *holding, account string, rate float64) error {
	defer l.leave(h)
	began := l.options.Clock.Now()
	for {
		left := l.left(h, began)
		if left <= 0 {
			return l.refuseLate(h, account, rate)
		}
		fired, stop := l.options.Clock.AfterFunc(left)
		select {
		case <-ctx.Done():
			stop()
			return refuseDeadline(account)
		case <-fired:
			continue
		case <-h.turn:
			stop()
			defer func() { h.turn <- struct{}{} }()
			return l.next(ctx, h, account, rate, began)
		}
	}
}

// refuseLate says why a wait ended without a token.
func (l *Limiter) refuseLate(h *holding, account string, rate float64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.holder.OwnerSilent(l.options.Clock.Now()) {
		return outcome.Refuse(outcome.ReasonVMUnreachable, outcome.CodeUnavailable, "the limit of account %s could not be confirmed in time; try again", account)
	}
	return refuse(account, rate)
}

func refuseDeadline(account string) error {
	return outcome.Refuse(outcome.ReasonDeadline, outcome.CodeTimeout, "the request ended while it waited for the limit of account %s", account)
}

func (l *Limiter) leave(h *holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.waiting--
}

func (l *Limiter) left(h *holding, began clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	return h.holder.MaxWait(now) - (now - began)
}

// next waits for the next token of the part.
func (l *Limiter) next(ctx context.Context, h *holding, account string, rate float64, began clock.Millis) error {
	for {
		left := l.left(h, began)
		pause, changed, taken := l.look(h, account, left)
		if taken {
			return nil
		}
		if left <= 0 {
			return l.refuseLate(h, account, rate)
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

// look takes a token, or says how long to wait at most before the next look.
func (l *Limiter) look(h *holding, account string, left clock.Millis) (clock.Millis, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.take(h, account) {
		return 0, nil, true
	}
	if next, ok := h.holder.NextToken(l.options.Clock.Now()); ok {
		left = min(left, max(next, 1))
	}
	return left, h.changed, false
}

// collect returns the reports that are due, by the owner's VM. It needs the lock.
func (l *Limiter) collect(now clock.Millis) map[member.VM][]limit.Report {
	due := map[string]bool{}
	for account, h := range l.holdings {
		if h.holder.IdleTime(now) >= idle && h.waiting == 0 && h.holder.Part(now) == (limit.Part{}) {
			delete(l.holdings, account)
			continue
		}
		vm := l.ownerOf(account).Name
		due[vm] = due[vm] || l.asked[vm] != 0 || h.holder.ReportDue(h.waiting, now)
	}
	out := map[member.VM][]limit.Report{}
	for _, vm := range l.members {
		if l.asked[vm.Name] != 0 && !l.busy[vm.Name] {
			out[vm] = nil
		}
	}
	for account, h := range l.holdings {
		vm := l.ownerOf(account)
		if due[vm.Name] && !l.busy[vm.Name] && (l.asked[vm.Name] != 0 || h.holder.ReportDue(h.waiting, now) || h.holder.SinceReport(now) >= limit.ReportInterval/2) {
			out[vm] = append(out[vm], h.report(account, now))
		}
	}
	return out
}

func (h *holding) report(account string, now clock.Millis) limit.Report {
	var r limit.Report
	if h.holder.IdleTime(now) >= idle && h.waiting == 0 {
		h.holder, r = h.holder.WithRelease(account, now)
		return r
	}
	h.holder, r = h.holder.WithReport(account, h.waiting, now)
	return r
}
