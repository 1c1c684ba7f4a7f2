// Package evacuation holds which availability zones the operator has evacuated, and decides which of
// two reports of them is newer. It addresses a zone that will soon lose its power or its network:
// within a bound, no VM may send callers' statements to its backend servers, although most VMs learn
// of the evacuation only from other VMs, in any order and more than once.
//
// A report is the complete set of evacuated zones as of a version of the store. Of two reports the
// one of the higher version holds, even if it has fewer zones.
package evacuation

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

const (
	// RestoreTime is how long a zone stays evacuated after the store was restored from a backup
	// that lacks the evacuation, in milliseconds. The operator, who has not cancelled it, writes
	// it again within that time.
	RestoreTime = 10 * clock.Second
	// defaultDeadline applies while no deadline is set, in milliseconds.
	defaultDeadline = 5 * clock.Second
)

// Bounds are the time limits of an evacuation, in milliseconds.
type Bounds struct {
	// Deadline is the time after the acknowledgement of the evacuation from which no statement of
	// a caller may reach a server of the zone.
	Deadline clock.Millis
	// Handover is how long a VM that has learned of the evacuation still uses such a server for
	// what no other server can run, while a primary is replaced and open transactions end. The
	// rest of Deadline is for the propagation of the evacuation to the VM.
	Handover clock.Millis
}

// NewBounds returns the bounds for a deadline in milliseconds; 0 stands for defaultDeadline.
func NewBounds(deadline clock.Millis) Bounds {
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	return Bounds{Deadline: deadline, Handover: deadline * 2 / 5}
}

// Set is the evacuated zones as of a version of the store. It is immutable.
type Set struct {
	// Revision is the version of the store as of which Zones is complete, 0 for none. Versions
	// increase across a restore of the store from a backup. Era is the number of such restores.
	Revision uint64
	Era      uint64
	// Zones is sorted.
	Zones []member.Zone
}

// Change is the evacuation of a zone or its cancellation.
type Change struct {
	Zone      member.Zone
	Evacuated bool
}

// With returns the set after changes, in their order, as of a version of the store.
func (s Set) With(changes []Change, revision, era uint64) Set {
	zones := slices.Clone(s.Zones)
	for _, c := range changes {
		zones = slices.DeleteFunc(zones, func(z member.Zone) bool { return z == c.Zone })
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	slices.Sort(zones)
	return Set{Revision: revision, Era: era, Zones: zones}
}

// State is what a VM knows of evacuations. It is immutable. The zero value is that before the first
// report.
type State struct {
	set Set
	// since holds the time from which each zone is known to be evacuated, to this VM or the one
	// that reported it.
	since map[member.Zone]clock.Millis
	// keptUntil holds zones that a restored store lacks, with the time until which they stay
	// evacuated.
	keptUntil map[member.Zone]clock.Millis
}

// Set returns the newest set.
func (s State) Set() Set { return s.set }

// WithSet returns the state after a report at time now. since holds the times from which the zones
// are known to be evacuated, as far as the report has them. A report that is not newer changes
// nothing.
//
// A zone without a reported time is evacuated from now. In the first report of a process it is
// evacuated from clock.DistantPast instead, so that Handover is over: the evacuation may be older
// than the process.
func (s State) WithSet(next Set, since map[member.Zone]clock.Millis, now clock.Millis) State {
	if next.Revision <= s.set.Revision {
		return s
	}
	out := State{set: next, since: map[member.Zone]clock.Millis{}, keptUntil: map[member.Zone]clock.Millis{}}
	for _, z := range next.Zones {
		out.since[z] = s.startOf(z, since, now)
	}
	for _, z := range s.Zones(now) {
		until, kept := s.keptUntil[z]
		switch {
		case slices.Contains(next.Zones, z):
			continue
		case s.set.Era < next.Era:
			until = now + RestoreTime
		case !kept:
			continue
		}
		out.since[z], out.keptUntil[z] = s.since[z], until
	}
	return out
}

// startOf returns the time from which a zone of a new report is evacuated.
func (s State) startOf(z member.Zone, reported map[member.Zone]clock.Millis, now clock.Millis) clock.Millis {
	start, isReported := reported[z]
	known, isKnown := s.Since(z, now)
	switch {
	case !isReported && isKnown:
		return known
	case !isReported && s.set.Revision == 0:
		return clock.DistantPast
	case !isReported:
		return now
	case isKnown:
		return min(start, known)
	}
	return min(start, now)
}

// Since returns the time from which a zone is evacuated, and false if it is not at time now.
func (s State) Since(z member.Zone, now clock.Millis) (clock.Millis, bool) {
	since, ok := s.since[z]
	if until, kept := s.keptUntil[z]; kept && now >= until {
		return 0, false
	}
	return since, ok
}

// Zones returns the zones that are evacuated at time now, sorted.
func (s State) Zones(now clock.Millis) []member.Zone {
	var out []member.Zone
	for z := range s.since {
		if _, ok := s.Since(z, now); ok {
			out = append(out, z)
		}
	}
	slices.Sort(out)
	return out
}
