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
	// UnprovedAfter is the same while the primary answers, if only that it is busy.
	UnprovedAfter = clock.Millis(3000)
	// RankPause separates the claims of VMs, so that mostly one claims.
	RankPause = clock.Millis(250)
	// AlonePause is how much longer a VM waits that hears no other.
	AlonePause = clock.Millis(3000)
	// HolderTime is how long a claimant that is there is left to do the next change too.
	HolderTime = 5 * clock.Second
	// GoneAfter is how long a server must be off the directory to count as gone
	// with its log.
	GoneAfter = 5 * clock.Second
	// AttemptTime bounds one attempt of a claimant. It is over before another VM may
	// take the claim, also one that does not hear the claimant: two that work at once
	// would let go, or promote, what the other has sealed.
	AttemptTime = clock.Millis(3000)
	// OrphanAfter is the age from which the claim of a VM that is not heard may be taken.
	OrphanAfter = clock.Millis(3700)
)

// Member is a backend server of the group.
type Member struct {
	ID      string
	Leaving bool
	// Sealed is set once it is sealed for the claim's term; Log is then the end
	// of its log for good.
	Sealed bool
	Log    floor.ReplicationPosition
	// Former marks the primary of the old term. It is sealed by stepping down.
	Former bool
}

// Safe reports whether so many servers are sealed that the former primary can
// have nothing acknowledged any more, and the furthest sealed log has everything.
func Safe(members []Member, synced int) bool {
	open, sealed := 0, false
	for _, m := range members {
		if m.Former && m.Sealed {
			// What was acknowledged is in the log of the primary that stepped down.
			return true
		}
		if m.Former {
			continue
		}
		sealed = sealed || m.Sealed
		if !m.Sealed {
			open++
		}
	}
	return sealed && open < max(synced, 1)
}

// Target returns the sealed server to promote, or "": the one with the furthest
// log, among equals one that stays and is not the former primary.
func Target(members []Member) string {
	best := -1
	for i, m := range members {
		if !m.Sealed {
			continue
		}
		if best < 0 || compare(m, members[best]) > 0 {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return members[best].ID
}

func compare(a, b Member) int {
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

// Sight is what the VMs that are there see of the primary.
type Sight struct {
	// VMs are the names of those there, with this one, and Lost those that have
	// lost the primary.
	VMs  []string
	Lost []string
	Self string
	// Known is the number of VMs that should be there.
	Known int
	// Holder is the VM that made the last change.
	Holder string
}

// Delay returns how long this VM waits before it claims, counted from when the
// primary was lost to it, and false while most VMs still use the primary.
func (s Sight) Delay(group string) (clock.Millis, bool) {
	if !slices.Contains(s.Lost, s.Self) || 2*len(s.Lost) <= len(s.VMs) {
		return 0, false
	}
	delay := clock.Millis(s.rank(group)) * RankPause
	if len(s.VMs) == 1 && s.Known > 1 {
		delay += AlonePause
	}
	return delay, true
}

// rank orders the VMs that may claim; the one that made the last change is first.
func (s Sight) rank(group string) int {
	if s.Self == s.Holder {
		return 0
	}
	rank, own := 0, score(group, s.Self)
	for _, v := range s.Lost {
		if v != s.Self && (v == s.Holder || score(group, v) > own) {
			rank++
		}
	}
	return rank
}

// Rank returns the place of a VM among others for the work of a group.
func Rank(group, self string, vms []string) int {
	return Sight{VMs: vms, Lost: vms, Self: self}.rank(group)
}

func score(group, vm string) uint64 {
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
	// At is the moment of the claim by the store's clock, in milliseconds.
	At clock.Millis `json:"at"`
}

// Takes reports whether a VM may take a claim over at a moment of the store's
// clock; alive tells whether the holder is there.
func (c Claim) Takes(vm string, now clock.Millis, alive bool) bool {
	if c.Holder == "" || c.Holder == vm {
		return true
	}
	if alive {
		return now-c.At >= HolderTime
	}
	return now-c.At >= OrphanAfter
}
