// Package tenure decides, for one VM, whether the primary that it knows of a database
// group may still be used, and how far the group's log had come at a given time,
// which bounds the staleness of reads.
//
// A claimant is a VM that replaces the primary. It first seals servers for a later term,
// or makes the primary step down, until nothing more can be acknowledged in the current
// term: the group is then sealed. It promotes another server only once Lease and
// MaxClockDrift have passed since then, or every VM has released the term. A VM uses a
// primary only while it has a proof younger than Lease that the group was not sealed. So
// no VM reads from or writes to the primary of a term once a later term has acknowledged
// anything, whichever VMs, servers and stores it can reach.
//
// A claimant seals the servers that the directory lists. A server that starts during a
// claim may be missing there: it is not sealed, receives the primary's log and lets it
// acknowledge commits. So an acknowledged commit is no proof, a replica proves nothing
// until it has been listed for WitnessDelay, and a VM that has released a term takes no
// proof of it until the claim has ended.
package tenure

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// Lease is how long a proof lets a VM use a primary, in milliseconds.
	Lease = clock.Millis(1000)
	// MaxClockDrift is the allowance for clocks that drift apart during a lease, in
	// milliseconds.
	MaxClockDrift = clock.Millis(50)
	// WitnessDelay is how long a replica must be listed before it counts for a proof, in
	// milliseconds. It is longer than an attempt of a claimant, which rereads the directory
	// after it has sealed servers: a replica that counts is in the claimant's list.
	WitnessDelay = clock.Millis(3700)
	// ClaimTimeout is how long after a release the claim may still be in progress, or an
	// order of its holder to promote a server may take effect, in milliseconds.
	ClaimTimeout = 10 * clock.Second
	// RenewAfter is the age of a proof at which a VM asks for another, in
	// milliseconds.
	RenewAfter = clock.Millis(400)
	// minSampleInterval is the least time between two samples, in milliseconds.
	minSampleInterval = clock.Millis(40)
	// maxSamples is the largest number of samples kept.
	maxSamples = 80
)

// logSample records that the log had reached position at some time not before at.
type logSample struct {
	at       clock.Millis
	position floor.ReplicationPosition
}

// Watch is what one VM knows of a database group: its term and primary, the proofs
// that the primary may be used, and samples of its log. It is immutable.
type Watch struct {
	syncReplicas int
	term         floor.Term
	leader       string
	// provedAt is the latest time at which the group certainly was not sealed for a
	// later term.
	provedAt clock.Millis
	// leaderProbeSent is the send time of the last probe that the leader answered as
	// primary.
	leaderProbeSent clock.Millis
	// unsealedAt holds, by replica, the send time of the last probe that it answered
	// unsealed.
	unsealedAt map[string]clock.Millis
	// samples are in order of time, the newest last.
	samples []logSample
	// processes is the last end of a process of a VM, whose acknowledgements are not reported any
	// more, servers the last time at which a server left the group with its log.
	processes departure
	servers   departure
	// releasedUntil is the time until which a claimant may rely on this VM's last release
	// of the term, or clock.DistantPast. Proofs up to then do not count.
	releasedUntil clock.Millis
	// witnessFrom holds, by replica, the time from which it counts for a proof; a replica
	// without an entry always counts.
	witnessFrom map[string]clock.Millis
}

// New returns a watch that knows nothing yet of a group whose commits need
// syncReplicas replicas besides the primary; less than 1 counts as 1.
func New(syncReplicas int) Watch {
	return Watch{syncReplicas: max(syncReplicas, 1), provedAt: clock.DistantPast, leaderProbeSent: clock.DistantPast, releasedUntil: clock.DistantPast, processes: departure{at: clock.DistantPast}, servers: departure{at: clock.DistantPast}, unsealedAt: map[string]clock.Millis{}, witnessFrom: map[string]clock.Millis{}}
}

// Leader returns the newest term known and its primary, or "" while the primary is
// not known.
func (w Watch) Leader() (floor.Term, string) { return w.term, w.leader }

// ProvedAt returns the latest time at which the leader certainly was the primary, or
// clock.DistantPast without a proof.
func (w Watch) ProvedAt() clock.Millis { return w.provedAt }

// LeaseValid reports whether the leader may be used at time now.
func (w Watch) LeaseValid(now clock.Millis) bool {
	return w.leader != "" && now < w.provedAt+Lease
}

// Floor returns the lowest known position that covers every commit acknowledged
// before the time since, and false if none is known. Positions that the leader
// reported after its lease had ended do not count.
func (w Watch) Floor(since clock.Millis) (floor.ReplicationPosition, bool) {
	for _, s := range w.samples {
		if s.at >= since && s.at < w.provedAt+Lease {
			return s.position, true
		}
	}
	return floor.ReplicationPosition{}, false
}

// LatestPosition returns the newest position known of the leader's term, which covers
// every acknowledged commit of earlier terms, and false if none is known.
func (w Watch) LatestPosition() (floor.ReplicationPosition, bool) {
	if len(w.samples) == 0 {
		return floor.ReplicationPosition{}, false
	}
	return w.samples[len(w.samples)-1].position, true
}

// PositionAt returns the newest position of the current term in a sample taken no
// later than the time at, and false if there is none.
func (w Watch) PositionAt(at clock.Millis) (floor.ReplicationPosition, bool) {
	for i := len(w.samples) - 1; i >= 0; i-- {
		if w.samples[i].at <= at {
			return w.samples[i].position, true
		}
	}
	return floor.ReplicationPosition{}, false
}

// RaiseFloor returns the floor of a read that must see both f and position, and false
// if that floor is not known yet. A position of an earlier term is replaced by the
// latest one of the current term, which covers it.
func (w Watch) RaiseFloor(f, position floor.ReplicationPosition) (floor.ReplicationPosition, bool) {
	if position.IsZero() || f.Covers(position) {
		return f, true
	}
	if position.Term < w.term {
		latest, ok := w.LatestPosition()
		return latest.Max(f), ok
	}
	return position, true
}

// WithTerm records that a term is in force, and its primary unless leader is "". A
// change discards the proofs, and a later term the samples and the release too. An earlier
// term changes nothing.
func (w Watch) WithTerm(term floor.Term, leader string) Watch {
	if term < w.term || term == w.term && (leader == "" || leader == w.leader) {
		return w
	}
	if term > w.term {
		w.samples, w.unsealedAt = nil, map[string]clock.Millis{}
		w.processes, w.servers, w.releasedUntil = w.processes.withTerm(), w.servers.withTerm(), clock.DistantPast
	}
	w.term, w.leader = term, leader
	w.provedAt, w.leaderProbeSent = clock.DistantPast, clock.DistantPast
	return w
}

// WithDeparture records that a process of a VM, which can no longer report what it
// acknowledged, had ended by the time at.
func (w Watch) WithDeparture(at clock.Millis) Watch {
	w.processes = w.processes.withTime(at, w.samples)
	return w
}

// DepartedEnd returns a position that covers every commit acknowledged by the processes that
// WithDeparture has recorded, and false if none is known.
func (w Watch) DepartedEnd() (floor.ReplicationPosition, bool) {
	return w.processes.end, !w.processes.end.IsZero()
}

// WithServerDeparture records that a server, whose log may be the only one of a replica with
// some commits, had left the group or lost its log by the time at.
func (w Watch) WithServerDeparture(at clock.Millis) Watch {
	w.servers = w.servers.withTime(at, w.samples)
	return w
}

// ServersDepartedEnd returns a position that covers every commit acknowledged with the help of
// the servers that WithServerDeparture has recorded, and false if none is known.
func (w Watch) ServersDepartedEnd() (floor.ReplicationPosition, bool) {
	return w.servers.end, !w.servers.end.IsZero()
}

// WithListed records that the directory lists a server since the time now, or lists it as
// started anew.
func (w Watch) WithListed(server string, now clock.Millis) Watch {
	w.witnessFrom = cloneTimes(w.witnessFrom)
	w.witnessFrom[server] = now + WitnessDelay
	return w
}

// WithUnlisted records that the directory no longer lists a server.
func (w Watch) WithUnlisted(server string) Watch {
	w.witnessFrom = cloneTimes(w.witnessFrom)
	delete(w.witnessFrom, server)
	return w
}

// isWitness reports whether a replica counts for a proof from the time at.
func (w Watch) isWitness(server string, at clock.Millis) bool {
	from, isNew := w.witnessFrom[server]
	return !isNew || at >= from
}

// WithStatus applies a server's answer to a tenure probe that was sent at the time
// sent.
func (w Watch) WithStatus(server string, status statement.ReplicationStatus, sent clock.Millis) Watch {
	if status.Primary {
		w = w.WithTerm(status.Term, server)
	} else {
		w = w.WithTerm(status.Term, "")
	}
	if status.Sealed > w.term {
		// A server that is sealed for a later term proves nothing.
		return w
	}
	switch {
	case status.Term != w.term:
		// A former primary proves nothing, nor does an answer that the leader gave before
		// its promotion.
		if status.Primary || server == w.leader {
			return w
		}
		// A replica whose log still ends in an earlier term counts as well: it would
		// have to be sealed for a later term like any other replica.
		w = w.withUnsealed(server, sent)
	case status.Primary && server == w.leader:
		w.leaderProbeSent = max(w.leaderProbeSent, sent)
		w = w.withSample(sent, status.Received)
	case !status.Primary && server == w.leader:
		return w.withoutLeader()
	case !status.Primary:
		w = w.withUnsealed(server, sent)
	}
	return w.withQuorumProof()
}

// withUnsealed records that a replica was not sealed for a later term at the time at.
func (w Watch) withUnsealed(server string, at clock.Millis) Watch {
	if !w.isWitness(server, at) {
		return w
	}
	w.unsealedAt = cloneTimes(w.unsealedAt)
	w.unsealedAt[server] = max(w.lastUnsealed(server), at)
	return w
}

// withoutLeader clears the leader after it reported that it no longer leads.
func (w Watch) withoutLeader() Watch {
	w.leader, w.provedAt, w.leaderProbeSent = "", clock.DistantPast, clock.DistantPast
	return w
}

// lastUnsealed returns the send time of the last probe that the replica answered
// unsealed, or clock.DistantPast.
func (w Watch) lastUnsealed(server string) clock.Millis {
	if at, ok := w.unsealedAt[server]; ok {
		return at
	}
	return clock.DistantPast
}

// withQuorumProof derives a proof from the probes: the leader has answered as primary,
// and as many replicas as a commit needs have answered unsealed. The proof dates from
// when the earliest of these probes was sent.
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

// WithPosition applies the end of a server's log, which came with the answer to a
// statement sent at the time sent.
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
	return w.withReplicaProgress(server, m)
}

// withProof records that the group was not sealed for a later term at the time at, unless
// a claimant may rely on this VM's release of the term then.
func (w Watch) withProof(at clock.Millis) Watch {
	if at > w.releasedUntil {
		w.provedAt = max(w.provedAt, at)
		w.processes, w.servers = w.processes.withProof(at), w.servers.withProof(at)
	}
	return w
}

// WithRelease gives up the current term at the request of a claimant that has sealed the
// group. No proof counts until WithReleaseEnd, or until the claim must have ended.
func (w Watch) WithRelease(now clock.Millis) Watch {
	w.releasedUntil, w.provedAt = now+ClaimTimeout, clock.DistantPast
	return w
}

// WithReleaseEnd records that the claim for which this VM released the term has ended at
// the time now at the latest, and has ordered no promotion. Later proofs count again.
func (w Watch) WithReleaseEnd(now clock.Millis) Watch {
	w.releasedUntil = min(w.releasedUntil, now)
	return w
}

// Released reports whether a claimant may rely on this VM's release of the term at the time
// now. The VM must then acknowledge no commit of the term.
func (w Watch) Released(now clock.Millis) bool { return now <= w.releasedUntil }

// WithCommit records that server acknowledged a write sent at the time sent. This is no
// proof: the replica that received the write may be missing from the directory, and so
// from the servers that a claimant seals.
func (w Watch) WithCommit(server string, m floor.ReplicationPosition, sent clock.Millis) Watch {
	if server == w.leader && m.Term == w.term {
		return w.withSample(sent, m)
	}
	return w.WithPosition(server, m, sent)
}

// withReplicaProgress derives a proof from a replica's log entry that the leader did
// not have at the time of a sample: a sealed server receives nothing, so the replica
// was not sealed at that time. With more than one synchronous replica, one of them
// proves too little.
func (w Watch) withReplicaProgress(server string, m floor.ReplicationPosition) Watch {
	if w.syncReplicas > 1 {
		return w
	}
	for i := len(w.samples) - 1; i >= 0; i-- {
		if s := w.samples[i]; s.position.Position < m.Position {
			if !w.isWitness(server, s.at) {
				return w
			}
			return w.withProof(s.at)
		}
	}
	return w
}

// withSample records that the leader's log had reached m at some time not before at. A
// sample too close to the last one, or older, is dropped.
func (w Watch) withSample(at clock.Millis, m floor.ReplicationPosition) Watch {
	w.processes, w.servers = w.processes.withSample(at, m), w.servers.withSample(at, m)
	n := len(w.samples)
	if n > 0 && at < w.samples[n-1].at+minSampleInterval {
		return w
	}
	first := 0
	if n >= maxSamples {
		first = n - maxSamples + 1
	}
	// The full slice expression keeps two watches from sharing appended samples.
	w.samples = append(w.samples[first:n:n], logSample{at: at, position: m})
	return w
}

func cloneTimes(m map[string]clock.Millis) map[string]clock.Millis {
	out := make(map[string]clock.Millis, len(m)+1)
	for k, v := range m {
		out[k] = v
	}
	return out
}
