package limit

import (
	"fmt"
	"math/rand/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// world is a few VMs that share one account. Its oracle is one token bucket on
// the true time.
type world struct {
	random *rand.Rand
	// rough networks lose reports and answers, and hold them for long.
	rough bool
	now   clock.Millis
	nodes []*node
	// owners holds the owning VM of each version, from 1.
	owners  []int
	flying  []flight
	rate    float64
	burst   float64
	changes []change
	tokens  float64
	served  int
	refused int
	// gone is the number of VMs that are members no more.
	gone int
	// longest is the longest wait of a statement that was served.
	longest clock.Millis
	faults  []string
}

// change is a rate and burst that were in force until a moment.
type change struct {
	until clock.Millis
	rate  float64
	burst float64
}

type node struct {
	name    string
	percent clock.Millis
	version int
	// cut is the moment until which nothing reaches or leaves the VM.
	cut clock.Millis
	// acts is false once the confirmation lapsed; until is the end of a pause.
	acts   bool
	since  clock.Millis
	until  clock.Millis
	holder Holder
	// owner is valid while ready; kept is set when the version before was ours too.
	owner Owner
	ready bool
	kept  bool
	// heard is the VMs that have reported since the owner began; asked is the
	// moment of the last question to them, mark the begin itself.
	heard map[int]bool
	asked clock.Millis
	mark  clock.Millis
	// poked is the mark to send with the next report, for the owner's question.
	poked clock.Millis
	waits []clock.Millis
}

type flight struct {
	at     clock.Millis
	from   int
	to     int
	name   string
	report *Report
	grant  *Grant
	// mark is that of the owner's question; a flight with neither report nor
	// grant is the question.
	mark clock.Millis
}

func newWorld(seed uint64, rough bool, nodes int, rate, burst float64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), rough: rough, rate: rate, burst: burst, tokens: burst, owners: []int{0}}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{percent: clock.Millis(99 + i%3), version: 1, acts: true})
		w.crash(i)
	}
	return w
}

// resolution is what rounding the clocks to milliseconds may shift, in seconds.
const resolution = 0.002

// local returns the VM's own time; clocks differ by up to 1 %.
func (w *world) local(n *node) clock.Millis { return 1e6 + w.now*n.percent/100 }

func (w *world) crash(i int) {
	n := w.nodes[i]
	n.name, n.holder, n.ready, n.kept, n.waits = fmt.Sprint(i, "/", w.random.Uint64()), NewHolder(w.local(n)), false, false, nil
}

func (w *world) paused(n *node) bool { return w.now < n.until }

// accepted returns the version below which nobody acts.
func (w *world) accepted() int {
	least := len(w.owners)
	for _, n := range w.nodes {
		if n.acts {
			least = min(least, n.version)
		}
	}
	return least
}

// follow brings a VM to the next version, or ends its confirmation when it has
// been behind for long.
func (w *world) follow(i int) {
	n := w.nodes[i]
	latest := len(w.owners)
	if n.version == latest {
		n.acts, n.since = true, w.now
		return
	}
	if w.now-n.since > 4000 {
		n.acts = false
	}
	if w.paused(n) || w.random.IntN(200) > 0 {
		return
	}
	n.kept = n.ready && n.acts && latest == n.version+1 && w.owners[latest-1] == i
	n.version, n.acts, n.since, n.ready = latest, true, w.now, n.kept
}

// serve is a report that arrives at a VM.
func (w *world) serve(f flight) {
	n := w.nodes[f.to]
	if !n.acts || w.owners[n.version-1] != f.to || !n.ready && w.accepted() < n.version {
		return
	}
	now := w.local(n)
	if !n.ready {
		n.owner, n.ready, n.heard, n.mark = NewOwner(w.rate, w.burst, now, now), true, map[int]bool{}, w.now
	}
	o, g, ok := n.owner.WithLimit(w.rate, w.burst, now).WithReport(f.name, *f.report, now)
	n.owner = o
	if f.mark == n.mark {
		n.heard[f.from] = true
	}
	if len(n.heard) == len(w.nodes)-w.gone {
		n.owner = n.owner.WithKnown(now)
	}
	if !o.Whole() {
		w.faults = append(w.faults, fmt.Sprintf("%d ms: grants of %s exceed the account: %+v", w.now, n.name, o))
	}
	if ok {
		w.send(flight{from: f.to, to: f.from, name: f.name, grant: &g})
	}
}

func (w *world) send(f flight) {
	f.at = w.now + 1
	if w.rough && w.random.IntN(5) == 0 {
		f.at += clock.Millis(w.random.IntN(6000))
	}
	if !w.rough || w.random.IntN(6) > 0 {
		w.flying = append(w.flying, f)
	}
}

func (w *world) deliver() {
	flying := w.flying
	w.flying = nil
	for _, f := range flying {
		n := w.nodes[f.to]
		switch {
		case f.at > w.now || w.paused(n):
			w.flying = append(w.flying, f)
		case w.now < n.cut || w.now < w.nodes[f.from].cut:
		case f.report != nil:
			w.serve(f)
		case f.grant == nil:
			n.poked = f.mark
		case f.name == n.name:
			n.holder = n.holder.WithGrant(*f.grant, w.local(n))
		}
	}
}

// demand lets a caller of a VM run a statement.
func (w *world) demand(i int) {
	n := w.nodes[i]
	n.holder = n.holder.WithDemand(w.local(n))
	n.waits = append(n.waits, w.now)
}

func (w *world) run(n *node) {
	var taken bool
	now := w.local(n)
	for len(n.waits) > 0 && n.acts {
		if n.holder, taken = n.holder.WithTake(now); !taken {
			break
		}
		w.longest = max(w.longest, w.now-n.waits[0])
		n.waits = n.waits[1:]
		w.count()
	}
	for len(n.waits) > 0 && w.now-n.waits[0] > n.holder.Patience(now) {
		n.waits = n.waits[1:]
		w.refused++
	}
}

// count takes a served statement out of the oracle's bucket.
func (w *world) count() {
	w.served++
	w.tokens--
	if rate, _ := w.limits(); w.tokens < -0.01-rate*resolution {
		w.faults = append(w.faults, fmt.Sprintf("%d ms: %.2f statements more than the rate and the burst", w.now, -w.tokens))
	}
}

// survey asks the VMs that have not reported to a new owner.
func (w *world) survey(i int) {
	n := w.nodes[i]
	if !n.ready || n.kept || w.now-n.asked < 300 {
		return
	}
	n.asked = w.now
	for j := range w.nodes {
		if !n.heard[j] {
			w.send(flight{from: i, to: j, mark: n.mark})
		}
	}
}

// limits are what VMs may still act on.
func (w *world) limits() (rate, burst float64) {
	rate, burst = w.rate, w.burst
	for _, c := range w.changes {
		if w.now < c.until {
			rate, burst = max(rate, c.rate), max(burst, c.burst)
		}
	}
	return rate, burst
}

// step lets one millisecond pass.
func (w *world) step() {
	w.now++
	rate, burst := w.limits()
	w.tokens = min(w.tokens+rate*1.01/1000, burst)
	w.deliver()
	for i, n := range w.nodes {
		w.follow(i)
		if w.paused(n) {
			continue
		}
		w.run(n)
		now := w.local(n)
		w.survey(i)
		if n.poked > 0 || n.holder.Due(len(n.waits), now) && n.holder.Idle(now) < 10000 {
			var r Report
			n.holder, r = n.holder.WithReport("a", len(n.waits), now)
			w.send(flight{from: i, to: w.owners[n.version-1], name: n.name, report: &r, mark: n.poked})
			n.poked = 0
		}
	}
}
