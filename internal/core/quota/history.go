package quota

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

const (
	// historyInterval is the length of an interval of the history.
	historyInterval = clock.Millis(300)
	// historyLength is the number of intervals: farTimeout and the time until the next round,
	// in which a VM notices that another one is out of reach.
	historyLength = int((farTimeout + 600) / historyInterval)
)

// spending counts operations by interval, the latest first, which began at the time latest.
type spending struct {
	latest clock.Millis
	counts [historyLength]float64
}

// at begins a new interval at time now if the latest is over. Without a spending it returns an
// empty one.
func (s *spending) at(now clock.Millis) *spending {
	var out spending
	if s != nil {
		out = *s
	}
	out.counts, out.latest = shifted(out.counts, out.latest, now, 0)
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

// shifted makes room for the intervals that have begun since the latest, filled with a value.
func shifted(values [historyLength]float64, latest, now clock.Millis, fill float64) ([historyLength]float64, clock.Millis) {
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

// history is what a bucket had and what was spent from it of late.
type history struct {
	// fills holds the tokens at the beginning of each interval, scaled to the whole burst.
	fills [historyLength]float64
	spending
}

// newHistory returns the history of a bucket that had the tokens fill until now.
func newHistory(fill float64, now clock.Millis) history {
	// All begin at a multiple of the interval, so that those of a bucket and a peer agree.
	start := now - now%historyInterval - clock.Millis(historyLength)*historyInterval
	return history{spending: spending{latest: start}}.at(now, fill)
}

// at begins a new interval at time now if the latest is over. The bucket then has the tokens
// fill, scaled to the whole burst.
func (h history) at(now clock.Millis, fill float64) history {
	h.fills, _ = shifted(h.fills, h.latest, now, fill)
	h.counts, h.latest = shifted(h.counts, h.latest, now, 0)
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

// replay returns the tokens at time now of a bucket with a part of the rate and the burst, which
// had that part of the tokens at the time since, and from which all operations were taken.
func (h history) replay(rate, burst, part float64, since, now clock.Millis) float64 {
	first := 0
	for first < historyLength-1 && h.latest-clock.Millis(first)*historyInterval > since {
		first++
	}
	tokens := h.fills[first] * part
	for i := first; i >= 0; i-- {
		length := historyInterval
		if i == 0 {
			length = now - h.latest
		}
		tokens = min(tokens+part*rate*length.Duration().Seconds(), part*burst) - h.counts[i]
	}
	return tokens
}
