package frontend

import (
	"maps"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// selfName names this VM among the sources of its zone's totals.
const selfName = ""

// total sums the use of one account over many VMs.
type total struct {
	// spent is in operations; sentSpent is the count that was last sent.
	spent     uint64
	sentSpent uint64
	// reports holds the last report of each source, a VM or a zone.
	reports map[string]sourceReport
}

// surgeFill is the part of an account's burst that is a surge if the VMs of one zone spend
// it between two messages to the other zones.
const surgeFill = 0.35

// surges reports whether the VMs have spent so much of a burst since the last message to the
// other zones that the next one should be sent early.
func (t *total) surges(burst float64) bool {
	return float64(int64(t.spent-t.sentSpent)) > surgeFill*burst
}

// sourceReport is the last report of a source and the time at which it came.
type sourceReport struct {
	quota.Report
	received clock.Millis
}

// demandAt returns the demand of the source at time now: 0 if no message has come for
// quota.SilenceTimeout, or if messages have left the account out for quota.OverdueAfter.
func (r sourceReport) demandAt(now clock.Millis, c quota.Contact) float64 {
	if now-max(c.Last, r.received) >= quota.SilenceTimeout || c.Last-r.received > quota.OverdueAfter {
		return 0
	}
	return r.Demand
}

// add adds what a source has spent since its last report, or the whole count of a new process of a VM.
// The first count of a source is not added, nor the first one after an interruption, because the
// source spent it from its own fraction of the limit.
func (t *total) add(source string, r quota.Report, now clock.Millis) {
	last, known := t.reports[source]
	switch {
	case known && last.received < r.Joined:
	case known && last.Process == r.Process:
		t.spent += r.Spent - last.Spent
	case !known && now-r.Joined > quota.JoinTime:
		// The source left the account out until now.
		t.spent += r.RecentlySpent()
	case known && !r.Aggregate:
		t.spent += r.Spent
	}
	t.reports[source] = sourceReport{Report: r, received: now}
}

// dropSources drops the reports of the sources for whose names gone returns true. A source that
// comes into contact again counts from its next report in any case.
func (t *total) dropSources(gone func(source string) bool) {
	maps.DeleteFunc(t.reports, func(source string, _ sourceReport) bool { return gone(source) })
}

// report returns the total as the aggregate report at time now, without the process and the
// tokens. The function contactFunc returns the contact with a source.
func (t *total) report(now clock.Millis, contactFunc func(source string) quota.Contact) quota.Report {
	out := quota.Report{Spent: t.spent, Aggregate: true}
	for source, r := range t.reports {
		out.Demand += r.demandAt(now, contactFunc(source))
	}
	return out
}

// accountTotals holds the total of each account.
type accountTotals map[string]*total

// add adds a report of a source to the total of an account.
func (t accountTotals) add(account, source string, r quota.Report, now clock.Millis) {
	if t[account] == nil {
		t[account] = &total{reports: map[string]sourceReport{}}
	}
	t[account].add(source, r, now)
}

// usages returns the totals at time now as usages of a message. It leaves out accounts
// without demand whose last count has been sent. The function fillFunc returns the tokens of
// an account.
func (t accountTotals) usages(
	now clock.Millis, contactFunc func(source string) quota.Contact, fillFunc func(account string, now clock.Millis) float64,
) []inner.Usage {
	out := make([]inner.Usage, 0, len(t))
	for name, v := range t {
		r := v.report(now, contactFunc)
		if r.Demand == 0 && r.Spent == v.sentSpent {
			continue
		}
		v.sentSpent = r.Spent
		out = append(out, inner.Usage{Account: name, Spent: r.Spent, Demand: float32(r.Demand), Tokens: float32(fillFunc(name, now))})
	}
	return out
}
