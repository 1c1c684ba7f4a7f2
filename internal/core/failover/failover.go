// Package failover decides when a database group gets another primary, which one,
// and when that is safe. Its functions know no clock, wire or store; a claimant
// in internal/serve/database carries the steps out.
//
// A group's commits are acknowledged by the primary once as many replicas as the
// group's synchronous number have them. A claimant seals servers until too few
// are left for that. From then on nothing is acknowledged in the old term, and
// the furthest log among the sealed has every commit that ever was.
package failover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

const (
	// LostAfter is the age of the last proof from which a primary is lost, in milliseconds.
	LostAfter = clock.Millis(900)
	// AnsweringLostAfter is the same while the primary answers, if only that it is busy.
	AnsweringLostAfter = clock.Millis(3000)
	// RankDelay separates the claims of VMs, so that mostly one claims.
	RankDelay = clock.Millis(250)
	// IsolatedDelay is how much longer a VM waits that hears no other.
	IsolatedDelay = clock.Millis(3000)
	// LiveHolderTimeout is how long a claimant that is there is left to do the next change too.
	LiveHolderTimeout = 5 * clock.Second
	// RemovedAfter is how long a server must be off the directory to count as gone
	// with its log.
	RemovedAfter = 5 * clock.Second
	// AttemptTimeout bounds one attempt of a claimant. It is over before another VM may
	// take the claim, also one that does not hear the claimant: two that work at once
	// would let go, or promote, what the other has sealed.
	AttemptTimeout = clock.Millis(3000)
	// SilentHolderTimeout is the age from which the claim of a VM that is not heard may be taken.
	SilentHolderTimeout = clock.Millis(3700)
)

// Server is a backend server of the group.
type Server struct {
	ID      string
	Leaving bool
	// Sealed is set once it is sealed for the claim's term; Log is then the end
	// of its log for good.
	Sealed bool
	Log    floor.ReplicationPosition
	// Former marks the primary of the old term. It is sealed by stepping down.
	Former bool
}

// SafeToPromote reports whether so many servers are sealed that the former primary can
// have nothing acknowledged any more, and the furthest sealed log has everything.
func SafeToPromote(servers []Server, syncReplicas int) bool {
	unsealed, sealed := 0, false
	for _, s := range servers {
		if s.Former && s.Sealed {
			// What was acknowledged is in the log of the primary that stepped down.
			return true
		}
		if s.Former {
			continue
		}
		sealed = sealed || s.Sealed
		if !s.Sealed {
			unsealed++
		}
	}
	return sealed && unsealed < max(syncReplicas, 1)
}

// PromotionTarget returns the sealed server to promote, or "": the one with the furthest
// log, among equals one that stays and is not the former primary.
func PromotionTarget(servers []Server) string {
	best := -1
	for i, s := range servers {
		if !s.Sealed {
			continue
		}
		if best < 0 || compareCandidates(s, servers[best]) > 0 {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return servers[best].ID
}

func compareCandidates(a, b Server) int {
	if a.Log != b.Log {
		if a.Log.Covers(b.Log) {
			return 1
		}
		return -1
	}
	if a.Leaving != b.Leaving {
		if b.Leaving {
			return 1
		}
		return -1
	}
	if a.Former != b.Former {
		if b.Former {
			return 1
		}
		return -1
	}
	return cmp.Compare(b.ID, a.ID)
}

// LossVotes is what the VMs that are there see of the primary.
type LossVotes struct {
	// Alive are the names of those there, with this one, and Lost those that have
	// lost the primary.
	Alive []string
	Lost  []string
	Self  string
	// KnownVMs is the number of VMs that should be there.
	KnownVMs int
	// LastHolder is the VM that made the last change.
	LastHolder string
}

// ClaimDelay returns how long this VM waits before it claims, counted from when the
// primary was lost to it, and false while most VMs still use the primary.
func (v LossVotes) ClaimDelay(group string) (clock.Millis, bool) {
	if !slices.Contains(v.Lost, v.Self) || 2*len(v.Lost) <= len(v.Alive) {
		return 0, false
	}
	delay := clock.Millis(v.rank(group)) * RankDelay
	if len(v.Alive) == 1 && v.KnownVMs > 1 {
		delay += IsolatedDelay
	}
	return delay, true
}

// rank orders the VMs that may claim; the one that made the last change is first.
func (v LossVotes) rank(group string) int {
	if v.Self == v.LastHolder {
		return 0
	}
	rank, own := 0, rendezvousScore(group, v.Self)
	for _, vm := range v.Lost {
		if vm != v.Self && (vm == v.LastHolder || rendezvousScore(group, vm) > own) {
			rank++
		}
	}
	return rank
}

// Rank returns the place of a VM among others for the work of a group.
func Rank(group, self string, vms []string) int {
	return LossVotes{Alive: vms, Lost: vms, Self: self}.rank(group)
}

func rendezvousScore(group, vm string) uint64 {
	return xxhash.Sum64String(group + "\x00" + vm)
}

// Claim is the record of a change of primary in the platform's store, one for
// each group; it is changed under a condition only.
type Claim struct {
	// Holder is the VM that has the claim.
	Holder string `json:"holder"`
	// Term is the one to be replaced.
	Term floor.Term `json:"term"`
	// Target is set before the promotion is ordered; whoever takes the claim over
	// orders the same, unless the target is lost.
	Target string `json:"target,omitempty"`
	// ClaimedAt is the moment of the claim by the store's clock, in milliseconds.
	ClaimedAt clock.Millis `json:"at"`
}

// CanTakeOver reports whether a VM may take a claim over at a moment of the store's
// clock; alive tells whether the holder is there.
func (c Claim) CanTakeOver(vm string, now clock.Millis, holderAlive bool) bool {
	if c.Holder == "" || c.Holder == vm {
		return true
	}
	if holderAlive {
		return now-c.ClaimedAt >= LiveHolderTimeout
	}
	return now-c.ClaimedAt >= SilentHolderTimeout
}
