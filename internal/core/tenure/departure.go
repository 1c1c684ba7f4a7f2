package tenure

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// departure is a time by which something has gone that knew of commits: what was acknowledged
// with its help is covered by any position that the leader's log reached later. It is immutable.
type departure struct {
	at clock.Millis
	// end is the first known position that the leader's log reached after at in the current
	// term, or zero.
	end floor.ReplicationPosition
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
	if d.end.IsZero() && at > d.at {
		d.end = m
	}
	return d
}
