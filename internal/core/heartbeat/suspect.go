package heartbeat

import (
	"maps"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// suspectSilent suspects the relay and the other roots if they do not answer, and
// children that no longer send beats. It drops suspicions of VMs that are no longer
// members. After a pause of this VM it only restarts the timeouts.
func (s State) suspectSilent(now clock.Millis) State {
	if now-s.lastTick > SuspicionTimeout {
		return s.restartTimeouts(now)
	}
	if s.parentName != "" && now-s.parent.lastReceived > SuspicionTimeout {
		s = s.withSuspect(s.parentName, now)
		s.nextBeat = now // to another relay
	}
	if s.IsRoot() {
		s = s.suspectRoots(now)
	}
	s = s.dropSilentChildren(now)
	for name := range s.suspectedAt {
		if !s.isMember(name) {
			s = s.withoutSuspect(name)
		}
	}
	return s
}

// suspectRoots suspects other roots that do not answer; the timeout of a new root starts
// now.
func (s State) suspectRoots(now clock.Millis) State {
	for _, root := range s.tree().Roots() {
		r, known := s.roots[root]
		switch {
		case root == s.self:
		case !known:
			s = s.withRoot(root, neighbour{lastReceived: now, summaryTime: DistantPast})
		case now-r.lastReceived > SuspicionTimeout:
			s = s.withSuspect(root, now)
		}
	}
	return s
}

// restartTimeouts restarts the timeouts of all neighbours after this VM itself was
// paused.
func (s State) restartTimeouts(now clock.Millis) State {
	s.parent.lastReceived = now
	for name, c := range s.children {
		c.lastReceived = now
		s = s.withChild(name, c)
	}
	for name, r := range s.roots {
		r.lastReceived = now
		s = s.withRoot(name, r)
	}
	return s
}

// dropSilentChildren removes children that no longer send beats, and suspects those
// that are still expected to. Children outside the member set remain until the last
// confirmation sent to them has expired, for earlierVersionPending.
func (s State) dropSilentChildren(now clock.Millis) State {
	expected := s.tree().Children(s.self)
	for name, c := range s.children {
		if now-c.lastReceived <= SuspicionTimeout || !s.isMember(name) && now-c.lastAnswered < ConfirmationTTL+MaxClockDrift {
			continue
		}
		s.children = maps.Clone(s.children)
		delete(s.children, name)
		if slices.Contains(expected, name) {
			s = s.withSuspect(name, now)
		}
	}
	return s
}
