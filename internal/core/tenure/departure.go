package tenure

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// departure is the last time at which a process of a VM ended or a server left the group. What was
// acknowledged with its help is covered by any position that the leader's log reached later. It is
// immutable.
type departure struct {
	at clock.Millis
	// end is the first known position that the leader's log reached after at, or zero. It may
	// be of an earlier term than the current one.
	end floor.ReplicationPosition
	// proved is set once the term is known to have been in force at the time at or later, so that
	// nothing that has gone knew of a later one.
	proved bool
	// isEarlier is set from the start of a term until the first sample of its leader's log, which
	// also covers everything acknowledged in earlier terms.
	isEarlier bool
}

// withProof records that the current term was in force at the time now.
func (d departure) withProof(now clock.Millis) departure {
	d.proved = d.proved || now >= d.at
	return d
}

// withTerm records that a later term has begun. If that was after the departure, end stays; it
// may cover entries that the new leader lacks.
func (d departure) withTerm() departure {
	if !d.proved {
		d.end = floor.ReplicationPosition{}
	}
	d.isEarlier = true
	return d
}

// withTime records a departure by the time at. samples are those of the leader's log, in order
// of time.
func (d departure) withTime(at clock.Millis, samples []logSample) departure {
	if at <= d.at {
		return d
	}
	d = departure{at: at}
	for _, s := range samples {
		d = d.withSample(s.at, s.position)
	}
	return d
}

// withSample records that the leader's log had reached the position m at some time not before at.
func (d departure) withSample(at clock.Millis, m floor.ReplicationPosition) departure {
	if at <= d.at {
		return d
	}
	if d.end.IsZero() || d.isEarlier && d.end.Covers(m) {
		d.end = m
	}
	d.isEarlier = false
	return d
}
