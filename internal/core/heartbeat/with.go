package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// WithMemberSet applies a version and its member sets, as read from the store or
// fetched from another VM. A version that is not later changes nothing.
func (s State) WithMemberSet(set MemberSet, now clock.Millis) (State, []Message) {
	if set.Version <= s.memberSet.Version {
		return s, nil
	}
	if s.memberSet.Version == 0 {
		s.newlyJoined = !contains(set.Members, s.self) && !contains(set.OldMembers, s.self)
	}
	s.memberSet = set
	s.newestVersion = max(s.newestVersion, set.Version)
	s.majoritySince = confirmation{version: set.Version, at: DistantPast}
	if !s.isMember(s.self) {
		// A read of the store may have confirmed this version while the VM was still a
		// member.
		s.confirmed = confirmation{at: DistantPast}
	}
	s.nextBeat = now
	return s.withRelayTree().Tick(now)
}

// WithStoreRead applies a read of the store that began at startedAt and found version
// to be the newest. For a member this is a confirmation. A VM outside the member set acts
// only on a confirmation from its relay, which accounts for it in
// Summary.EarlierVersionPending.
func (s State) WithStoreRead(version uint64, startedAt clock.Millis) State {
	s.newestVersion = max(s.newestVersion, version)
	if version == s.newestVersion && s.isMember(s.self) {
		s.confirmed = s.confirmed.later(confirmation{version: version, at: startedAt})
	}
	return s
}

// WithVMList applies the names in the platform's list of VMs, which listID identifies,
// and records for Ended since when other members have been missing from it.
func (s State) WithVMList(names []string, listID uint64, now clock.Millis) State {
	s.listID = max(s.listID, listID)
	unlistedSince := map[string]clock.Millis{}
	for _, set := range [][]member.VM{s.memberSet.Members, s.memberSet.OldMembers} {
		for _, v := range set {
			if slices.Contains(names, v.Name) || v.Name == s.self {
				continue
			}
			unlistedSince[v.Name] = now
			if since, ok := s.unlistedSince[v.Name]; ok {
				unlistedSince[v.Name] = since
			}
		}
	}
	s.unlistedSince = unlistedSince
	return s
}

// later returns the confirmation of the later version or, for one version, the one of
// the later time.
func (c confirmation) later(o confirmation) confirmation {
	if o.version > c.version || o.version == c.version && o.at > c.at {
		return o
	}
	return c
}

func (s State) withChild(name string, c neighbour) State {
	s.children = maps.Clone(s.children)
	s.children[name] = c
	return s
}

func (s State) withRoot(name string, r neighbour) State {
	s.roots = maps.Clone(s.roots)
	s.roots[name] = r
	return s
}

func (s State) withSuspect(name string, now clock.Millis) State {
	if _, known := s.suspectedAt[name]; known {
		return s
	}
	s.suspectedAt = maps.Clone(s.suspectedAt)
	s.suspectedAt[name] = now
	return s
}

// withoutSuspect ends a suspicion. The timeout of a suspected root starts again.
func (s State) withoutSuspect(name string) State {
	if _, ok := s.suspectedAt[name]; !ok {
		return s
	}
	s.suspectedAt = maps.Clone(s.suspectedAt)
	delete(s.suspectedAt, name)
	s.roots = maps.Clone(s.roots)
	delete(s.roots, name)
	return s
}
