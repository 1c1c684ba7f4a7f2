package window

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// serverSpec is a server of a script; capacity is the length of its queue, urgent and long the
// mean work of the two kinds in milliseconds.
type serverSpec struct {
	Slots    int     `yaml:"slots"`
	Capacity int     `yaml:"capacity"`
	Urgent   float64 `yaml:"urgent"`
	Long     float64 `yaml:"long"`
	Holders  int     `yaml:"holders"`
	// Even is set if all statements of a kind have the same work.
	Even bool `yaml:"even"`
	// Hop is the time of a message between holder and server in milliseconds.
	Hop float64 `yaml:"hop"`
}

const (
	// workSpread is the standard deviation of the logarithm of work: 1 statement of 50 takes
	// five times the median.
	workSpread = 0.75
	// probeInterval is in milliseconds.
	probeInterval = 2000
	// holderConnections and holderQueue are the limits of a holder in each script.
	holderConnections = 11
	holderQueue       = 64
)

// rule is a rule for the size of a holder's window, by what it changes in the limits. All of them
// shrink it after busy answers.
type rule func(l Limits, holders int) Limits

// responseRule is the rule of the package.
func responseRule(l Limits, _ int) Limits { return l }

// connectionsRule is the rule before this package: only busy answers tell of other holders.
func connectionsRule(l Limits, _ int) Limits {
	l.Slots = 0
	return l
}

// slotsRule lets each holder have one statement more than the slots.
func slotsRule(l Limits, _ int) Limits {
	return Limits{Connections: l.Slots + 1}
}

// partRule divides the slots, and one statement more, by the number of holders.
func partRule(l Limits, holders int) Limits {
	return Limits{Connections: max((l.Slots+1)/holders, 1)}
}

// job is a statement; times are in milliseconds.
type job struct {
	holder, priority             int
	work                         float64
	arrivedAt, sentAt, startedAt float64
}

// event is a function that runs at a time; order makes events of the same time deterministic.
type event struct {
	at    float64
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelHolder queues by priority, then by arrival.
type modelHolder struct {
	window  Window
	limits  Limits
	queues  [2][]*job
	running int
}

func (h *modelHolder) waiting() int { return len(h.queues[0]) + len(h.queues[1]) }

// result is what callers get in a phase.
type result struct {
	served        []int
	refused, busy int
	// urgentWaits are the waits in holder and server together, serverWaits those in the server.
	urgentWaits, serverWaits []float64
	// used is the time that slots were in use while work waited, needed the time that they could
	// have been.
	used, needed float64
	// sizes are the sizes of the windows at the end.
	sizes []int
}

// model is a server with unordered queue and its holders.
type model struct {
	spec    serverSpec
	random  *rand.Rand
	now     float64
	events  events
	order   int
	holders []*modelHolder
	queue   []*job
	inSlots int
	factor  float64
	phase   int
	result  *result
}

func newModel(s serverSpec, seed uint64, r rule) *model {
	m := &model{spec: s, random: rand.New(rand.NewPCG(seed, 1)), factor: 1}
	for range s.Holders {
		l := r(Limits{Slots: s.Slots, Connections: holderConnections}, s.Holders)
		m.holders = append(m.holders, &modelHolder{window: New(s.Holders), limits: l})
	}
	m.probe()
	return m
}

// probe lets the holders ask the server something that needs no slot.
func (m *model) probe() {
	for _, h := range m.holders {
		h.window = h.window.WithRoundTrip(math.Floor(2*m.spec.Hop), clock.Millis(m.now))
	}
	m.after(probeInterval, m.probe)
}

func (m *model) after(delay float64, run func()) {
	m.order++
	heap.Push(&m.events, event{at: m.now + delay, order: m.order, run: run})
}

// play runs a phase with the given demand, in statements per second by holder and kind.
func (m *model) play(length, factor float64, demand [][]float64) *result {
	m.phase++
	m.result = &result{served: make([]int, len(m.holders))}
	m.factor = factor
	for holder, d := range demand {
		for priority, rate := range d {
			if rate > 0 {
				m.scheduleArrival(m.phase, holder, priority, rate)
			}
		}
	}
	end := m.now + length
	for len(m.events) > 0 && m.events[0].at < end {
		e := heap.Pop(&m.events).(event)
		m.measure(e.at)
		e.run()
	}
	m.measure(end)
	for _, h := range m.holders {
		m.result.sizes = append(m.result.sizes, h.window.Size())
	}
	return m.result
}

// measure accounts the time up to the next event.
func (m *model) measure(until float64) {
	elapsed := until - m.now
	m.now = until
	waiting := len(m.queue)
	for _, h := range m.holders {
		waiting += h.waiting()
	}
	m.result.used += elapsed * float64(m.inSlots)
	m.result.needed += elapsed * float64(min(m.spec.Slots, m.inSlots+waiting))
}

func (m *model) scheduleArrival(phase, holder, priority int, rate float64) {
	m.after(m.random.ExpFloat64()*1000/rate, func() {
		if phase != m.phase {
			return
		}
		m.scheduleArrival(phase, holder, priority, rate)
		work := []float64{m.spec.Urgent, m.spec.Long}[priority]
		if !m.spec.Even {
			work *= math.Exp(workSpread*m.random.NormFloat64() - workSpread*workSpread/2)
		}
		h := m.holders[holder]
		if len(h.queues[priority]) >= holderQueue {
			m.result.refused++
			return
		}
		h.queues[priority] = append(h.queues[priority], &job{holder: holder, priority: priority, work: work, arrivedAt: m.now})
		m.dispatch(h)
	})
}

func (m *model) dispatch(h *modelHolder) {
	if h.window.PausedAt(clock.Millis(m.now)) {
		m.after(20, func() { m.dispatch(h) })
		return
	}
	for h.waiting() > 0 && h.running < h.window.Size() {
		i := 0
		if len(h.queues[0]) == 0 {
			i = 1
		}
		j := h.queues[i][0]
		h.queues[i] = h.queues[i][1:]
		h.running++
		j.sentAt = m.now
		m.after(m.spec.Hop, func() { m.receive(j) })
	}
}

// receive takes a statement at the server, or refuses it as busy.
func (m *model) receive(j *job) {
	if m.inSlots >= m.spec.Slots && len(m.queue) >= m.spec.Capacity {
		m.result.busy++
		m.after(m.spec.Hop, func() {
			h := m.holders[j.holder]
			h.running--
			h.window = h.window.WithBusy(h.running, m.random.Float64(), clock.Millis(m.now))
			m.dispatch(h)
		})
		return
	}
	m.queue = append(m.queue, j)
	m.start()
}

// start fills the slots with statements of the queue in random order.
func (m *model) start() {
	for m.inSlots < m.spec.Slots && len(m.queue) > 0 {
		i := m.random.IntN(len(m.queue))
		j := m.queue[i]
		m.queue = slices.Delete(m.queue, i, i+1)
		m.inSlots++
		j.startedAt = m.now
		m.after(j.work*m.factor, func() {
			m.inSlots--
			m.start()
			m.after(m.spec.Hop, func() { m.answer(j) })
		})
	}
}

func (m *model) answer(j *job) {
	h := m.holders[j.holder]
	h.running--
	h.window = h.window.WithAnswer(math.Floor(m.now-j.sentAt), h.limits, clock.Millis(m.now))
	m.result.served[j.holder]++
	m.result.serverWaits = append(m.result.serverWaits, j.startedAt-j.sentAt-m.spec.Hop)
	if j.priority == 0 {
		m.result.urgentWaits = append(m.result.urgentWaits, j.startedAt-j.arrivedAt-m.spec.Hop)
	}
	m.dispatch(h)
}
