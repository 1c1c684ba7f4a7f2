package slowstart

import "github.com/sycamoredoor/sycamoredoor/internal/core/member"

// Limit is the operators' limit of callers' statements to a cold server. The zero value means no
// limit.
type Limit struct {
	// PerSecond is the number of statements that a cold server runs in a second. All VMs together
	// may send PerSecond times Excess plus Slack. PerSecond or Excess 0 means no limit.
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

// The shares of a limit by rank, in units of 1/partsTotal. localParts are for the VMs of the server's
// zone in the order of their registration, outerParts for the other VMs. The first ranks have more
// because a small zone has no others. The outer ones are for a server in whose zone no VM runs.
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
// The rank of a VM is the number of VMs registered before it that are, like it, in the server's zone
// or outside. The first list that contains a VM's own registration has all of these, and later
// registrations do not change the rank. A VM that leaves the list has stopped; an old list that still
// has it only makes the rank of the VMs after it higher. So, however old the lists of some VMs are,
// the n-th running VM has at least rank n, no rank has a larger share than the one before it, and the
// shares add up to at most the limit.
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

// shareOf returns the share of total at a rank of parts. The remainder of the rounding goes to the
// first ranks, one statement each, so that no rank has more than the one before it.
func shareOf(total int, parts []int, rank int) int {
	divisor, rest := sum(parts), total
	for _, p := range parts {
		rest -= total * p / divisor
	}
	share := total * parts[rank] / divisor
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
// between statements. Each sender is first for a fraction of the numbers in proportion to its share.
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
