package quota

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// historyInterval is the length of an interval of the history.
	historyInterval = clock.Millis(300)
	// historyLength is the number of intervals. They span farTimeout and the time until the next
	// round, in which a VM detects that another one is out of reach.
	historyLength = int((farTimeout + 600) / historyInterval)
)

// spending counts operations by interval, the latest first. The time latest is the beginning of
// the latest interval.
type spending struct {
	latest clock.Millis
	counts [historyLength]float64
}

// at begins a new interval at time now if the latest is over. For nil it returns empty counts.
func (s *spending) at(now clock.Millis) *spending {
	var out spending
	if s != nil {
		out = *s
	}
	out.counts, out.latest = shiftIntervals(out.counts, out.latest, now, 0)
	return &out
}

// with adds operations to the interval of the time now.
func (s *spending) with(operations float64, now clock.Millis) *spending {
	if s != nil && operations == 0 {
		return s
	}
	out := s.at(now)
	out.counts[0] += operations
	return out
}

// shiftIntervals inserts the intervals that have begun since the latest, each with the value
// fill, and returns them with the beginning of the new latest interval.
func shiftIntervals(values [historyLength]float64, latest, now clock.Millis, fill float64) ([historyLength]float64, clock.Millis) {
	begun := int((now - latest) / historyInterval)
	if begun <= 0 {
		return values, latest
	}
	var out [historyLength]float64
	for i := range min(begun, historyLength) {
		out[i] = fill
	}
	if begun < historyLength {
		copy(out[begun:], values[:])
	}
	return out, latest + clock.Millis(begun)*historyInterval
}

// history holds the recent tokens of a bucket and what was spent from it.
type history struct {
	// fills holds the tokens at the beginning of each interval, scaled to the whole burst.
	fills [historyLength]float64
	spending
}

// newHistory returns the history of a bucket that has had fill tokens until now.
func newHistory(fill float64, now clock.Millis) history {
	// All begin at a multiple of the interval, so that those of a bucket and a peer agree.
	start := now - now%historyInterval - clock.Millis(historyLength)*historyInterval
	return history{spending: spending{latest: start}}.at(now, fill)
}

// at begins a new interval at time now if the latest is over. fill is the number of tokens of the
// bucket then, scaled to the whole burst.
func (h history) at(now clock.Millis, fill float64) history {
	h.fills, _ = shiftIntervals(h.fills, h.latest, now, fill)
	h.counts, h.latest = shiftIntervals(h.counts, h.latest, now, 0)
	return h
}

// taken adds operations to the latest interval.
func (h history) taken(operations float64) history {
	h.counts[0] += operations
	return h
}

// without removes what a peer has spent.
func (h history) without(s *spending, now clock.Millis) history {
	counts := s.at(now).counts
	for i := range h.counts {
		h.counts[i] -= counts[i]
	}
	return h
}

// replay returns the tokens at time now of a bucket that had a fraction of the tokens at the time
// since, and has had that fraction of the rate and the burst from then on, less all operations
// since.
func (h history) replay(rate, burst, fraction float64, since, now clock.Millis) float64 {
	first := 0
	for first < historyLength-1 && h.latest-clock.Millis(first)*historyInterval > since {
		first++
	}
	tokens := h.fills[first] * fraction
	for i := first; i >= 0; i-- {
		length := historyInterval
		if i == 0 {
			length = now - h.latest
		}
		tokens = min(tokens+fraction*rate*length.Duration().Seconds(), fraction*burst) - h.counts[i]
	}
	return tokens
}
