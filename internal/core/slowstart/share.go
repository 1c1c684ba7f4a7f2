package slowstart

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Limit is the operators' limit of callers' statements to a cold server. The zero value is no
// limit.
type Limit struct {
	// PerSecond is what a cold server runs in a second. Excess is the factor by which all VMs
	// together may exceed it, Slack the number of statements beyond that. PerSecond or Excess 0
	// means no limit.
	PerSecond float64
	Excess    float64
	Slack     float64
}

// statements returns the limit in statements in any second, or 0 without a limit.
func (l Limit) statements() int {
	if l.PerSecond <= 0 || l.Excess <= 0 {
		return 0
	}
	return int(min(l.PerSecond*l.Excess+max(l.Slack, 0), maxStatements))
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.PerSecond > 0 && l.Excess > 0 }

// maxStatements caps a limit, so that it can be divided without overflow.
const maxStatements = 1 << 20

// The parts of a limit, in parts of partsTotal. localParts are those of the VMs of the server's
// zone in the order of their registration, outerParts those of the other VMs. The first ranks
// have more, because a small zone has no others. The outer ones serve a server in whose zone no
// VM runs.
var (
	localParts = [...]int{6, 4, 3, 3, 2, 2}
	outerParts = [...]int{2, 1, 1}
)

const partsTotal = 24

// Sender is a VM that may send statements to a cold server.
type Sender struct {
	VM member.VM
	// Share is the number of statements that it may send in any second.
	Share int
}

// Senders returns the VMs that may send to a cold server in a zone, from the list of registered
// VMs in the order of their registration. VMs without a share are left out.
//
// The share of a VM depends only on the VMs that were registered before it: it counts those that
// are in the server's zone, or outside, as it is itself. A VM knows all of these from the first
// list that contains its own registration, whoever registers later. One that leaves the list has
// stopped, and a VM that counts it still has a higher rank than it might have. So, however old the
// lists of some are, the n-th of the VMs that run has rank n at least, a later rank has no larger
// share, and the shares add up to the limit at most.
func Senders(registered []member.VM, zone member.Zone, l Limit) []Sender {
	total := l.statements()
	outerTotal := total * sum(outerParts[:]) / partsTotal
	local, outer := 0, 0
	var out []Sender
	for _, v := range registered {
		share := 0
		switch {
		case v.Zone == zone && local < len(localParts):
			share = shareOf(total-outerTotal, localParts[:], local)
			local++
		case v.Zone != zone && outer < len(outerParts):
			share = shareOf(outerTotal, outerParts[:], outer)
			outer++
		}
		if share > 0 {
			out = append(out, Sender{VM: v, Share: share})
		}
	}
	return out
}

// shareOf returns the share of total at a rank of parts. What rounding leaves goes to the first
// ranks, one each, so that no rank has more than the one before it.
func shareOf(total int, parts []int, rank int) int {
	of, rest := sum(parts), total
	for _, p := range parts {
		rest -= total * p / of
	}
	share := total * parts[rank] / of
	if rank < rest {
		share++
	}
	return share
}

func sum(parts []int) int {
	out := 0
	for _, p := range parts {
		out += p
	}
	return out
}

// Order returns the senders in the order in which a statement should try them. number differs
// between statements; each sender is first for a part of the numbers that follows its share.
func Order(senders []Sender, number uint64) []member.VM {
	total := 0
	for _, s := range senders {
		total += s.Share
	}
	if total == 0 {
		return nil
	}
	first, left := 0, int(number%uint64(total))
	for left >= senders[first].Share {
		left -= senders[first].Share
		first++
	}
	out := make([]member.VM, 0, len(senders))
	for i := range senders {
		out = append(out, senders[(first+i)%len(senders)].VM)
	}
	return out
}

// window is the time in which at most a share is sent, in milliseconds. It is longer than a
// second, so that statements that the network delays by different times stay within it.
const window = clock.Second + 100*clock.Millis(1)

// Quota counts the statements to a cold server against the share of this VM. It is immutable.
type Quota struct {
	// reserved counts the statements that are granted and not sent yet.
	reserved int
	// sent holds the send times within the last window.
	sent []clock.Millis
}

// MaySend reports whether a statement fits into a share at time now.
func (q Quota) MaySend(share int, now clock.Millis) bool {
	return q.reserved+len(q.recent(now)) < share
}

// ExpectedWait returns the time in milliseconds until a statement may be sent that has this many
// before it, if all reserved ones are sent now. It is false without a share.
func (q Quota) ExpectedWait(share, ahead int, now clock.Millis) (clock.Millis, bool) {
	if share <= 0 {
		return 0, false
	}
	recent := q.recent(now)
	// The statement goes once all but share-1 of those before it are older than the window.
	expired := len(recent) + q.reserved + ahead - (share - 1)
	if expired <= 0 {
		return 0, true
	}
	rounds := clock.Millis(0)
	for expired > len(recent) && expired > share {
		expired -= share
		rounds += window
	}
	if expired <= len(recent) {
		return rounds + recent[expired-1] + window - now, true
	}
	return rounds + window, true
}

// WithReserved counts a statement that is granted.
func (q Quota) WithReserved() Quota {
	q.reserved++
	return q
}

// WithReturned takes back the grant of a statement that is not sent.
func (q Quota) WithReturned() Quota {
	q.reserved = max(q.reserved-1, 0)
	return q
}

// WithSent records that a statement is sent at time now.
func (q Quota) WithSent(now clock.Millis) Quota {
	recent := q.recent(now)
	q.sent = append(recent[:len(recent):len(recent)], now)
	return q
}

// recent returns the send times within the window before now.
func (q Quota) recent(now clock.Millis) []clock.Millis {
	for i, at := range q.sent {
		if now-at < window {
			return q.sent[i:]
		}
	}
	return nil
}
