// Package allowance decides how much of a process's memory and descriptors each connection may
// use, which connection is closed when they run short, and how long a message may take. It
// addresses clients that send or hold many large messages, send or read slowly, or connect without
// sending a request, and would exhaust the memory or the descriptors of the process.
package allowance

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// budgetShare is the part of the memory setting that connections may use, as a divisor. The
	// collector lets the heap grow to about twice what is in use, and a VM without callers uses 30
	// to 40 MiB.
	budgetShare = 4
	// minBudget lets one message of 1 MiB be forwarded, with its copies, at any memory setting.
	minBudget = 12 << 20
	// smallSize and mediumSize are the sizes up to which an owner's bytes count as small and as
	// medium, in bytes.
	smallSize  = 16 << 10
	mediumSize = 128 << 10
)

// Limits are the limits of one process.
type Limits struct {
	// Memory is the number of bytes that all connections together may use.
	Memory int64
	// Connections is the number of connections that may be open in all, from callers and to
	// backend servers. ServerReserve of them are reserved for backend servers.
	Connections   int
	ServerReserve int
}

const (
	// minHeadroom and maxHeadroom bound the descriptors that are kept for VMs, the store, the
	// probe, metrics and connections that are about to close; between them it is a tenth of the
	// limit. A VM without callers uses about 20.
	minHeadroom = 24
	maxHeadroom = 64
	// minServerReserve and maxServerReserve bound the descriptors that are reserved for backend
	// servers; between them it is 15 % of the limit.
	minServerReserve = 12
	maxServerReserve = 192
)

// NewLimits returns the limits for a process with a memory setting in bytes and a limit of
// descriptors.
func NewLimits(memory int64, descriptors int) Limits {
	return Limits{
		Memory:        max(memory/budgetShare, minBudget),
		Connections:   descriptors - min(max(descriptors/10, minHeadroom), maxHeadroom),
		ServerReserve: min(max(descriptors*15/100, minServerReserve), maxServerReserve),
	}
}

// PermitsCaller reports whether a caller's connection may be added to the open ones, callers from
// callers and servers to backend servers.
func (l Limits) PermitsCaller(callers, servers int64) bool {
	return callers < int64(l.Connections)-max(int64(l.ServerReserve), servers)
}

// PermitsServer is PermitsCaller for a connection to a backend server.
func (l Limits) PermitsServer(callers, servers int64) bool {
	return callers+servers < int64(l.Connections)
}

// Request is an owner's request for memory.
type Request struct {
	// Size is the number of bytes requested, and Held the number that the owner already holds,
	// without those of the connection itself.
	Size int64
	Held int64
	// Account is the number of bytes that all owners of the same account hold.
	Account int64
	// Lasting is set for bytes that are held while the owner is idle. LastingHeld is the number of
	// such bytes that all owners hold.
	Lasting     bool
	LastingHeld int64
}

// Permits reports whether a request may be granted while used bytes are in use. Requests for small
// messages may use the whole memory, those for medium ones three quarters and those for large ones
// half, so that large messages do not block small ones. Of the part that medium or large messages may
// use, one account may hold at most three quarters, and idle sessions half.
func (l Limits) Permits(used int64, r Request) bool {
	bound := l.Memory
	switch held := r.Held + r.Size; {
	case held <= smallSize:
		return used+r.Size <= bound
	case held <= mediumSize:
		bound = bound * 3 / 4
	default:
		bound /= 2
	}
	return used+r.Size <= bound && r.Account+r.Size <= bound*3/4 && (!r.Lasting || r.LastingHeld+r.Size <= bound/2)
}

// Phase is what a connection is doing.
type Phase int32

// The phases of a connection.
const (
	// Silent is before the first byte.
	Silent Phase = iota
	// Idle is between two messages.
	Idle
	// Receiving is while a message is incomplete.
	Receiving
	// Working is while a statement runs.
	Working
	// Sending is while an answer is being sent.
	Sending
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"silent", "idle", "receiving", "working", "sending"}[p]
}

// Activity is what a connection has done in its present phase.
type Activity struct {
	Phase Phase
	// Since is when the message or answer began, LastMoved when its last byte moved, and Moved
	// how many bytes of it have.
	Since     clock.Millis
	LastMoved clock.Millis
	Moved     int64
	// Held is the number of bytes that it holds in addition to those of the connection itself.
	Held int64
}

const (
	// A message or an answer may take messageGrace milliseconds in addition to its time at
	// minThroughput, in bytes per millisecond: 1 MiB may take 76 s.
	messageGrace  = 10 * clock.Second
	minThroughput = 16
	// stallTime is how long a connection must have been without progress in the middle of a message
	// or an answer before it is closed to free memory, in milliseconds. A packet that is lost twice
	// is sent again within that time.
	stallTime = 2 * clock.Second
	// leastAge is how long a connection without a byte, or an idle session, must have been inactive
	// before it is closed to free a descriptor, in milliseconds.
	leastAge = clock.Second
)

// IsOverdue reports whether a message or an answer has taken too long.
func (a Activity) IsOverdue(now clock.Millis) bool {
	return (a.Phase == Receiving || a.Phase == Sending) && now-a.Since > messageGrace+clock.Millis(a.Moved/minThroughput)
}

// isStalled reports whether a message or an answer has made no progress for stallTime.
func (a Activity) isStalled(now clock.Millis) bool {
	return (a.Phase == Receiving || a.Phase == Sending) && now-a.LastMoved >= stallTime
}

// StalledRank ranks a connection that may be closed to free memory: the highest is closed first,
// and 0 means that it may not be closed.
func (a Activity) StalledRank(now clock.Millis) int64 {
	if a.Held == 0 || !a.isStalled(now) {
		return 0
	}
	return int64(now - a.LastMoved)
}

// The base ranks of the kinds of connection that may be closed to free a descriptor. The time of
// inactivity in milliseconds is added, so that within a kind the longest inactive one is first.
const (
	idleRank    = 1 << 40
	stalledRank = 2 << 40
	silentRank  = 3 << 40
)

// DescriptorRank ranks a connection that may be closed to free a descriptor, as StalledRank does:
// first those that have sent nothing, then those that are stalled in a message, then idle sessions.
func (a Activity) DescriptorRank(now clock.Millis) int64 {
	inactive := now - a.LastMoved
	switch {
	case a.isStalled(now):
		return stalledRank + int64(inactive)
	case inactive < leastAge:
		return 0
	case a.Phase == Silent:
		return silentRank + int64(inactive)
	case a.Phase == Idle:
		return idleRank + int64(inactive)
	}
	return 0
}
