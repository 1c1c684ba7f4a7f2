// Package tenure decides, at one VM, whether the primary that it knows of a
// database group may still be used, and how far the log of the group had come at
// a moment, so that reads are as fresh as they must be.
//
// A VM uses a primary only while it has a proof younger than Lease that the
// group had not begun to seal a later term. A claimant promotes another server
// only Lease and Drift after the last seal. So no VM reads from or writes to a
// primary of a term once a later one has acknowledged anything, whichever VMs,
// servers and stores it can reach.
package tenure

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// Lease is how long a proof lets a VM use a primary, in milliseconds.
	Lease = clock.Millis(1000)
	// MaxClockDrift covers clocks that run apart during a lease, in milliseconds.
	MaxClockDrift = clock.Millis(50)
	// RenewAfter is the age of a proof from which a VM asks for another, in milliseconds.
	RenewAfter = clock.Millis(400)
	// minSampleInterval is the least distance of two samples, in milliseconds.
	minSampleInterval = clock.Millis(40)
	// maxSamples is the number of samples.
	maxSamples = 80
	// DistantPast is a moment before every other.
	DistantPast = clock.Millis(-1 << 40)
)

// logSample says that the log had reached mark in a moment not before at.
type logSample struct {
	at   clock.Millis
	mark floor.ReplicationPosition
}

// Watch is what one VM knows of a database group. It is never changed.
type Watch struct {
	syncReplicas int
	term         floor.Term
	leader       string
	// provedAt is the moment up to which no later term had been sealed for certain.
	provedAt clock.Millis
	// leaderProbeSent is the moment of the last question that the leader answered as primary.
	leaderProbeSent clock.Millis
	// unsealedAt holds, by replica, the moment of the last question that it answered unsealed.
	unsealedAt map[string]clock.Millis
	// samples are in order of their moments, and end with the newest.
	samples []logSample
	// releasedAt is the moment up to which no proof counts, since a claimant was
	// told so.
	releasedAt clock.Millis
}

// New returns a watch that knows nothing of a group whose commits are on the
// primary and as many replicas.
func New(syncReplicas int) Watch {
	return Watch{syncReplicas: max(syncReplicas, 1), provedAt: DistantPast, leaderProbeSent: DistantPast, releasedAt: DistantPast, unsealedAt: map[string]clock.Millis{}}
}

// Leader returns the newest term known and its primary, or "" while none is known.
func (w Watch) Leader() (floor.Term, string) { return w.term, w.leader }

// ProvedAt returns the moment up to which the leader was the primary for certain.
func (w Watch) ProvedAt() clock.Millis { return w.provedAt }

// LeaseValid reports whether the leader may be used at a moment.
func (w Watch) LeaseValid(now clock.Millis) bool {
	return w.leader != "" && now < w.provedAt+Lease
}

// Floor returns a mark that covers every commit acknowledged before the moment
// since, and false when none is known. It is the lowest of those that do. What
// the leader said while it was not proved to lead counts for nothing.
func (w Watch) Floor(since clock.Millis) (floor.ReplicationPosition, bool) {
	for _, s := range w.samples {
		if s.at >= since && s.at < w.provedAt+Lease {
			return s.mark, true
		}
	}
	return floor.ReplicationPosition{}, false
}

// LatestPosition returns the newest mark known of the leader's term, which covers every
// commit of earlier terms that was acknowledged, and false when none is known.
func (w Watch) LatestPosition() (floor.ReplicationPosition, bool) {
	if len(w.samples) == 0 {
		return floor.ReplicationPosition{}, false
	}
	return w.samples[len(w.samples)-1].mark, true
}

// PositionAt returns the newest state that the log is known to have had at a
// moment, in the present term.
func (w Watch) PositionAt(at clock.Millis) (floor.ReplicationPosition, bool) {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if w.samples[i].at <= at {
			return w.samples[i].mark, true
		}
	}
	return floor.ReplicationPosition{}, false
}

// RaiseFloor returns the floor for a read that must see mark too. A mark of an
// earlier term says only that a commit of then is to be seen; every position of
// the present term covers it.
func (w Watch) RaiseFloor(f, mark floor.ReplicationPosition) (floor.ReplicationPosition, bool) {
	if mark.IsZero() || f.Covers(mark) {
		return f, true
	}
	if mark.Term < w.term {
		latest, ok := w.LatestPosition()
		return latest.Max(f), ok
	}
	return mark, true
}

// WithTerm takes in that a term is in force, and its primary if that is known.
func (w Watch) WithTerm(term floor.Term, leader string) Watch {
	if term < w.term || term == w.term && (leader == "" || leader == w.leader) {
		return w
	}
	if term > w.term {
		w.samples, w.unsealedAt = nil, map[string]clock.Millis{}
	}
	w.term, w.leader = term, leader
	w.provedAt, w.leaderProbeSent, w.releasedAt = DistantPast, DistantPast, DistantPast
	return w
}

// WithStatus takes in the answer of a server to a question about its tenure that
// was sent at a moment.
func (w Watch) WithStatus(server string, t statement.ReplicationStatus, sent clock.Millis) Watch {
	if t.Primary {
		w = w.WithTerm(t.Term, server)
	} else {
		w = w.WithTerm(t.Term, "")
	}
	if t.Sealed > w.term {
		return w
	}
	switch {
	case t.Term != w.term:
		// A replica that has not received the present term yet would be sealed for a
		// later one like any other.
		if t.Primary || server == w.leader {
			return w
		}
		w = w.withUnsealed(server, sent)
	case t.Primary && server == w.leader:
		w.leaderProbeSent = max(w.leaderProbeSent, sent)
		w = w.withSample(sent, t.Received)
	case !t.Primary && server == w.leader:
		return w.withoutLeader()
	case !t.Primary:
		w = w.withUnsealed(server, sent)
	}
	return w.withQuorumProof()
}

// withUnsealed takes in that a replica was not sealed for a later term at a moment.
func (w Watch) withUnsealed(server string, at clock.Millis) Watch {
	w.unsealedAt = cloneTimes(w.unsealedAt)
	w.unsealedAt[server] = max(w.lastUnsealed(server), at)
	return w
}

// withoutLeader forgets a leader that says that it leads no more.
func (w Watch) withoutLeader() Watch {
	w.leader, w.provedAt, w.leaderProbeSent = "", DistantPast, DistantPast
	return w
}

func (w Watch) lastUnsealed(server string) clock.Millis {
	if at, ok := w.unsealedAt[server]; ok {
		return at
	}
	return DistantPast
}

// withQuorumProof finds the proof that the answers to questions give: the primary and as
// many replicas as a commit needs have answered unsealed.
func (w Watch) withQuorumProof() Watch {
	for server := range w.unsealedAt {
		at := w.unsealedAt[server]
		unsealed := 0
		for _, other := range w.unsealedAt {
			if other >= at {
				unsealed++
			}
		}
		if unsealed >= w.syncReplicas {
			w = w.withProof(min(at, w.leaderProbeSent))
		}
	}
	return w
}

// WithPosition takes in the end of a server's log, as it came with an answer to a
// statement that was sent at a moment.
func (w Watch) WithPosition(server string, m floor.ReplicationPosition, sent clock.Millis) Watch {
	if m.IsZero() || m.Term < w.term {
		return w
	}
	if m.Term > w.term {
		return w.WithTerm(m.Term, "")
	}
	if server == w.leader {
		return w.withSample(sent, m)
	}
	return w.withReplicaProgress(m)
}

// withProof takes in that no later term had been sealed at a moment.
func (w Watch) withProof(at clock.Millis) Watch {
	if at > w.releasedAt {
		w.provedAt = max(w.provedAt, at)
	}
	return w
}

// WithRelease gives the present term up at the wish of a claimant that has sealed
// the group: only what is proved from now on counts, which is nothing until the
// servers are let go.
func (w Watch) WithRelease(now clock.Millis) Watch {
	w.releasedAt, w.provedAt = now, DistantPast
	return w
}

// Report is what another VM tells of a group, in moments of this VM's clock
// that what it tells is not older than.
type Report struct {
	Term   floor.Term
	Leader string
	// ProvedAt is Never without a proof.
	ProvedAt clock.Millis
	// Position is a state that the leader's log had reached At.
	Position   floor.Position
	PositionAt clock.Millis
}

// WithReport takes in what another VM tells.
func (w Watch) WithReport(r Report) Watch {
	if r.Term < w.term {
		return w
	}
	if r.Term > w.term || w.leader == "" {
		w = w.WithTerm(r.Term, r.Leader)
	}
	if r.Leader == "" || r.Leader != w.leader {
		return w
	}
	if r.Position > 0 {
		w = w.withSample(r.PositionAt, floor.ReplicationPosition{Term: r.Term, Position: r.Position})
	}
	return w.withProof(r.ProvedAt)
}

// Report returns what to tell other VMs, in moments of this VM's clock.
func (w Watch) Report() Report {
	r := Report{Term: w.term, Leader: w.leader, ProvedAt: w.provedAt}
	if n := len(w.samples); n > 0 {
		r.Position, r.PositionAt = w.samples[n-1].mark.Position, w.samples[n-1].at
	}
	return r
}

// WithCommit takes in that the leader acknowledged a write that was sent at a
// moment, which a sealed group cannot do.
func (w Watch) WithCommit(server string, m floor.ReplicationPosition, sent clock.Millis) Watch {
	if server == w.leader && m.Term == w.term {
		return w.withProof(sent).withSample(sent, m)
	}
	return w.WithPosition(server, m, sent)
}

// withReplicaProgress takes in that a replica has an entry which the leader did not
// have at the moment of a sample: a server receives nothing once it is sealed.
// With more than one synchronous replica one of them proves too little.
func (w Watch) withReplicaProgress(m floor.ReplicationPosition) Watch {
	if w.syncReplicas > 1 {
		return w
	}
	for i := len(w.samples) - 1; i >= 0; i-- {
		if s := w.samples[i]; s.mark.Position < m.Position {
			return w.withProof(s.at)
		}
	}
	return w
}

func (w Watch) withSample(at clock.Millis, m floor.ReplicationPosition) Watch {
	n := len(w.samples)
	if n > 0 && at < w.samples[n-1].at+minSampleInterval {
		return w
	}
	first := 0
	if n >= maxSamples {
		first = n - maxSamples + 1
	}
	// A full slice expression, so that no two watches share what is appended.
	w.samples = append(w.samples[first:n:n], logSample{at: at, mark: m})
	return w
}

func cloneTimes(m map[string]clock.Millis) map[string]clock.Millis {
	out := make(map[string]clock.Millis, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	return out
}
