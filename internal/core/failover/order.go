package failover

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// OrderTimeout is how long after the start of an attempt one of its orders to promote may
// still take effect, in milliseconds: the last order is sent within AttemptTimeout, and one
// that is not answered may be performed seconds later.
const OrderTimeout = 10 * clock.Second

// NeededTimeout is how long after it was recorded a position is needed, in milliseconds. A primary that has
// crashed may come back with its log; one that has not in this time counts as lost for good.
const NeededTimeout = 10 * clock.Second

// HasOrder reports whether an order to promote Target may take effect after the time now of
// the store's clock.
func (c Claim) HasOrder(now clock.Millis) bool {
	return c.Target != "" && now < c.orderedAt()+OrderTimeout
}

// orderedAt returns OrderedAt. Processes of before did not write it.
func (c Claim) orderedAt() clock.Millis {
	if c.OrderedAt == 0 {
		return c.ClaimedAt
	}
	return c.OrderedAt
}

// WithHolder returns the claim of another attempt, by the VM holder at time now of the store's
// clock, to replace a term and its primary. An order of the same term that may still take
// effect is kept, and so is a position that is needed still. While one of another term may, nobody may claim, and the result is false.
func (c Claim) WithHolder(holder string, term floor.Term, former string, now clock.Millis) (Claim, bool) {
	next := Claim{Holder: holder, Term: term, Former: former, ClaimedAt: now}
	if c.Term == term && now < c.NeededAt+NeededTimeout {
		next.Needed, next.NeededAt = c.Needed, c.NeededAt
	}
	if !c.HasOrder(now) {
		return next, true
	}
	next.Target, next.OrderedAt, next.OrderedEnd = c.Target, c.orderedAt(), c.OrderedEnd
	return next, c.Term == term
}

// WithOrder returns the claim with an order of its holder to promote a server whose log ends
// at end.
func (c Claim) WithOrder(server string, end floor.ReplicationPosition) Claim {
	c.Target, c.OrderedAt, c.OrderedEnd = server, c.ClaimedAt, end
	return c
}

// WithNeeded returns the claim with a position that its holder knows to be acknowledged, unless a further one
// is needed.
func (c Claim) WithNeeded(known floor.ReplicationPosition) Claim {
	if !c.Needed.Covers(known) {
		c.Needed, c.NeededAt = known, c.ClaimedAt
	}
	return c
}

// WithoutOrder returns the claim once its order has taken effect or certainly never will.
func (c Claim) WithoutOrder() Claim {
	c.Target, c.OrderedAt, c.OrderedEnd = "", 0, floor.ReplicationPosition{}
	return c
}

// PromotionTarget returns the ID of the server to promote: that of the function
// PromotionTarget, unless another was ordered before. Then the ordered one is promoted even if
// another log goes further by now: it had every acknowledged commit, and no VM has used the
// term since. While it is not sealed, or off the directory, its order may take effect at any
// time, so the result is "" and true. Only if it has lost a part of its log may another be
// promoted.
func (c Claim) PromotionTarget(servers []Server, syncReplicas int, acknowledged Acknowledged) (target string, awaitsOrdered bool) {
	if c.Target == "" {
		return PromotionTarget(servers, syncReplicas, acknowledged), false
	}
	i := indexOf(servers, c.Target)
	switch {
	case i < 0 || !servers[i].Sealed:
		return "", true
	case servers[i].LogEnd.Covers(c.OrderedEnd) && servers[i].LogEnd.Covers(acknowledged.Position):
		return c.Target, false
	}
	return PromotionTarget(servers, syncReplicas, acknowledged), false
}
