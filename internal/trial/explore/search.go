package explore

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"
)

// Options limit a search and report its progress.
type Options struct {
	// MaxStates and MaxMemory (in bytes) end a search early; 0 means no limit.
	MaxStates int
	MaxMemory uint64
	// ProgressFunc is called from time to time; nil drops the reports.
	ProgressFunc func(states, frontier int, depth int, elapsed time.Duration)
}

// Result is the outcome of a search.
type Result struct {
	// Violation describes the first broken promise, or is empty, and Steps is a shortest run
	// to it.
	Violation string
	Steps     []Step
	// States is the number of different states, Depth the number of events of the longest
	// runs, and Complete is set if every state within the bounds was seen.
	States   int
	Depth    int
	Complete bool
	Elapsed  time.Duration
}

// Step is an event, in words, and the state after it.
type Step struct {
	Event string
	After string
}

// arrival tells how a state was first reached.
type arrival struct {
	from  uint64
	event event
}

// progressInterval is the number of states between two progress reports.
const progressInterval = 1 << 19

// Search visits all states within the bounds, breadth first, and stops at the first that
// breaks a promise.
func (m *Model) Search(o Options) Result {
	began, events, e := time.Now(), m.events(), &encoder{}
	first := m.initial()
	root := first.hash(e, m.Size)
	seen := map[uint64]arrival{root: {}}
	frontier := []state{first}
	r := Result{Complete: true}
	for depth := 0; len(frontier) > 0 && r.Complete; depth++ {
		if m.Bounds.Depth > 0 && depth >= int(m.Bounds.Depth) {
			r.Complete = false
			break
		}
		r.Depth = depth + 1
		var next []state
		for i := range frontier {
			from := frontier[i].hash(e, m.Size)
			for _, ev := range events {
				s := frontier[i]
				if !m.apply(&s, ev) {
					continue
				}
				to := s.hash(e, m.Size)
				if _, known := seen[to]; known {
					continue
				}
				seen[to] = arrival{from: from, event: ev}
				if s.violation != holds {
					r.Violation, r.Steps = s.violation.String(), m.replay(path(seen, root, to))
					r.States, r.Elapsed, r.Complete = len(seen), time.Since(began), false
					return r
				}
				next = append(next, s)
				if len(seen)%progressInterval == 0 && m.full(o, len(seen), len(next), depth, time.Since(began)) {
					r.Complete = false
				}
			}
			if !r.Complete || o.MaxStates > 0 && len(seen) >= o.MaxStates {
				r.Complete = false
				break
			}
		}
		frontier = next
	}
	r.States, r.Elapsed = len(seen), time.Since(began)
	return r
}

// full reports progress, and whether the memory limit is reached.
func (m *Model) full(o Options, states, frontier, depth int, elapsed time.Duration) bool {
	if o.ProgressFunc != nil {
		o.ProgressFunc(states, frontier, depth, elapsed)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return o.MaxMemory > 0 && memory.Sys > o.MaxMemory
}

// path returns the events from one state to another.
func path(seen map[uint64]arrival, root, to uint64) []event {
	var out []event
	for to != root {
		a := seen[to]
		out = append(out, a.event)
		to = a.from
	}
	slices.Reverse(out)
	return out
}

// Walk makes random runs of at most length events from a seed, and returns the first that
// breaks a promise.
func (m *Model) Walk(seed uint64, runs, length int) Result {
	began, events := time.Now(), m.events()
	random := rand.New(rand.NewPCG(seed, 0))
	r := Result{}
	for range runs {
		s := m.initial()
		var done []event
		for len(done) < length {
			n, ok := m.randomStep(s, events, random, &done)
			if !ok {
				break
			}
			s = n
			r.States++
			if s.violation != holds {
				r.Violation, r.Steps, r.Elapsed = s.violation.String(), m.replay(done), time.Since(began)
				return r
			}
		}
		r.Depth = max(r.Depth, len(done))
	}
	r.Elapsed = time.Since(began)
	return r
}

// randomStep applies a random possible event, and returns false if there is none.
func (m *Model) randomStep(s state, events []event, random *rand.Rand, done *[]event) (state, bool) {
	for _, i := range random.Perm(len(events)) {
		n := s
		if events[i].isFault() && random.IntN(4) > 0 {
			continue
		}
		if m.apply(&n, events[i]) {
			*done = append(*done, events[i])
			return n, true
		}
	}
	return s, false
}

// Write prints the outcome, with its run as a table.
func (r Result) Write(out io.Writer) {
	for i, s := range r.Steps {
		_, _ = fmt.Fprintf(out, "%3d  %-58s %s\n", i+1, s.Event, s.After)
	}
	verdict := r.Violation
	if verdict == "" {
		verdict = "no promise is broken"
	}
	scope := "not all states within the bounds"
	if r.Complete {
		scope = "all states within the bounds"
	}
	_, _ = fmt.Fprintf(out, "%s (%d states, %d events deep, %s, %.1f s)\n", verdict, r.States, r.Depth, scope, r.Elapsed.Seconds())
}
