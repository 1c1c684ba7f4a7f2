package heartbeat

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// subtreeSummary summarizes this VM and those it relays for, as far as they act on
// this VM's version and their summaries have not expired. It lists no members once
// this VM knows of a later version.
func (s State) subtreeSummary(now clock.Millis) Summary {
	summary := Summary{Version: s.memberSet.Version}
	if s.newestVersion > s.memberSet.Version || s.memberSet.Version == 0 {
		return summary
	}
	summary.Members, summary.OldMembers = newBitset(s.memberSet.Members, s.self), newBitset(s.memberSet.OldMembers, s.self)
	summary.EarlierVersionPending = s.earlierVersionPending(now)
	for _, c := range s.children {
		summary = summary.merge(c, now)
	}
	return summary
}

// earlierVersionPending reports whether a VM outside the member set, such as one that
// has just started, may still act on an earlier version that this VM confirmed. If
// this VM has just restarted, its earlier process may have confirmed one.
func (s State) earlierVersionPending(now clock.Millis) bool {
	if !s.newlyJoined && now-s.startedAt < ConfirmationTTL+MaxClockDrift {
		return true
	}
	for name, c := range s.children {
		if !s.isMember(name) && c.minVersion < s.memberSet.Version && now-c.lastAnswered < ConfirmationTTL+MaxClockDrift {
			return true
		}
	}
	return false
}

// merge adds a neighbour's summary if it is of the same version and has not expired.
func (s Summary) merge(from neighbour, now clock.Millis) Summary {
	if from.summary.Version != s.Version || now-from.summarySentAfter > SummaryTTL {
		return s
	}
	s.Members = s.Members.union(from.summary.Members)
	s.OldMembers = s.OldMembers.union(from.summary.OldMembers)
	s.EarlierVersionPending = s.EarlierVersionPending || from.summary.EarlierVersionPending
	s.Age = max(s.Age, now-from.summaryTime)
	return s
}

// withMajority records, at a root, a confirmation of the version if a majority acts on
// it, and then whether the version is accepted.
func (s State) withMajority(now clock.Millis) State {
	if s.memberSet.Version == 0 || s.newestVersion > s.memberSet.Version || !s.IsRoot() {
		return s
	}
	summary := s.subtreeSummary(now)
	for _, r := range s.roots {
		summary = summary.merge(r, now)
	}
	if isMajority(summary.Members.count(), s.memberSet.Members) && (len(s.memberSet.OldMembers) == 0 || isMajority(summary.OldMembers.count(), s.memberSet.OldMembers)) {
		s.confirmed = s.confirmed.later(confirmation{version: summary.Version, at: now - summary.Age})
	}
	return s.withAcceptance(summary, now)
}

// withAcceptance marks the version as accepted once no VM can act on an earlier one. A
// majority must act on it, and one of these must hold: all members of both sets act on it
// and no VM outside the member set may still act on an earlier one; it is the first
// version with a member set; or the majority was first seen so long ago that every
// confirmation of an earlier version has expired.
//
// Members for which Ended is true act on nothing, so they count here. They never count
// for a confirmation, since they may have known of a later version.
func (s State) withAcceptance(summary Summary, now clock.Millis) State {
	members, old := s.countActingOrEnded(summary.Members, s.memberSet.Members, now), s.countActingOrEnded(summary.OldMembers, s.memberSet.OldMembers, now)
	if !isMajority(members, s.memberSet.Members) || len(s.memberSet.OldMembers) > 0 && !isMajority(old, s.memberSet.OldMembers) {
		return s
	}
	if s.majoritySince.version != summary.Version || s.majoritySince.at == DistantPast {
		s.majoritySince = confirmation{version: summary.Version, at: now}
	}
	allOnVersion := !summary.EarlierVersionPending && members >= len(s.memberSet.Members) && old >= len(s.memberSet.OldMembers)
	if allOnVersion || s.memberSet.First || now-s.majoritySince.at >= ConfirmationTTL+MaxClockDrift {
		s.acceptedVersion = max(s.acceptedVersion, summary.Version)
	}
	return s
}

func isMajority(n int, set []member.VM) bool { return n > len(set)/2 }

// countActingOrEnded counts the members of a set that act on the version or that have
// ended according to the platform's list.
func (s State) countActingOrEnded(acting Bitset, set []member.VM, now clock.Millis) int {
	out := 0
	for i, v := range set {
		if acting.has(i) || s.Ended(v.Name, now) {
			out++
		}
	}
	return out
}

// Ended reports whether a member has been missing from the platform's list for
// EndedAfter. Such a VM is taken to have ended and to act on no version any more.
func (s State) Ended(name string, now clock.Millis) bool {
	since, unlisted := s.unlistedSince[name]
	return unlisted && now-since >= EndedAfter
}
