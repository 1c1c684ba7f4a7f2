package limit

import (
	"fmt"
	"math/rand/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// simulation is a few VMs that share one account. Its oracle is one token bucket on
// the true time.
type simulation struct {
	random *rand.Rand
	// rough networks lose reports and answers, and hold them for long.
	rough bool
	now   clock.Millis
	vms   []*vmState
	// owners holds the owning VM of each version, from 1.
	owners   []int
	inFlight []message
	rate     float64
	burst    float64
	changes  []change
	tokens   float64
	served   int
	refused  int
	// removed is the number of VMs that are members no more.
	removed int
	// longestWait is the longest wait of a statement that was served.
	longestWait clock.Millis
	faults      []string
}

// change is a rate and burst that were in force until a moment.
type change struct {
	until clock.Millis
	rate  float64
	burst float64
}

type vmState struct {
	name         string
	clockPercent clock.Millis
	version      int
	// cutUntil is the moment until which nothing reaches or leaves the VM.
	cutUntil clock.Millis
	// confirmed is false once the confirmation lapsed; until is the end of a pause.
	confirmed   bool
	confirmedAt clock.Millis
	pausedUntil clock.Millis
	holder      Holder
	// owner is valid while ready; kept is set when the version before was ours too.
	owner    Owner
	ready    bool
	retained bool
	// reported is the VMs that have reported since the owner began; asked is the
	// moment of the last question to them, mark the begin itself.
	reported   map[int]bool
	surveyed   clock.Millis
	surveyMark clock.Millis
	// pendingMark is the mark to send with the next report, for the owner's question.
	pendingMark clock.Millis
	waiting     []clock.Millis
}

type message struct {
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

func newSimulation(seed uint64, rough bool, vms int, rate, burst float64) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 1)), rough: rough, rate: rate, burst: burst, tokens: burst, owners: []int{0}}
	for i := range vms {
		w.vms = append(w.vms, &vmState{clockPercent: clock.Millis(99 + i%3), version: 1, confirmed: true})
		w.restart(i)
	}
	return w
}

// clockResolution is what rounding the clocks to milliseconds may shift, in seconds.
const clockResolution = 0.002

// localTime returns the VM's own time; clocks differ by up to 1 %.
func (w *simulation) localTime(n *vmState) clock.Millis { return 1e6 + w.now*n.clockPercent/100 }

func (w *simulation) restart(i int) {
	n := w.vms[i]
	n.name, n.holder, n.ready, n.retained, n.waiting = fmt.Sprint(i, "/", w.random.Uint64()), NewHolder(w.localTime(n)), false, false, nil
}

func (w *simulation) paused(n *vmState) bool { return w.now < n.pausedUntil }

// acceptedVersion returns the version below which nobody acts.
func (w *simulation) acceptedVersion() int {
	least := len(w.owners)
	for _, n := range w.vms {
		if n.confirmed {
			least = min(least, n.version)
		}
	}
	return least
}

// updateVersion brings a VM to the next version, or ends its confirmation when it has
// been behind for long.
func (w *simulation) updateVersion(i int) {
	n := w.vms[i]
	latest := len(w.owners)
	if n.version == latest {
		n.confirmed, n.confirmedAt = true, w.now
		return
	}
	if w.now-n.confirmedAt > 4000 {
		n.confirmed = false
	}
	if w.paused(n) || w.random.IntN(200) > 0 {
		return
	}
	n.retained = n.ready && n.confirmed && latest == n.version+1 && w.owners[latest-1] == i
	n.version, n.confirmed, n.confirmedAt, n.ready = latest, true, w.now, n.retained
}

// handleReport is a report that arrives at a VM.
func (w *simulation) handleReport(f message) {
	n := w.vms[f.to]
	if !n.confirmed || w.owners[n.version-1] != f.to || !n.ready && w.acceptedVersion() < n.version {
		return
	}
	now := w.localTime(n)
	if !n.ready {
		n.owner, n.ready, n.reported, n.surveyMark = NewOwner(w.rate, w.burst, now, now), true, map[int]bool{}, w.now
	}
	o, g, ok := n.owner.WithLimit(w.rate, w.burst, now).WithReport(f.name, *f.report, now)
	n.owner = o
	if f.mark == n.surveyMark {
		n.reported[f.from] = true
	}
	if len(n.reported) == len(w.vms)-w.removed {
		n.owner = n.owner.WithAllReported(now)
	}
	if !o.WithinLimit() {
		w.faults = append(w.faults, fmt.Sprintf("%d ms: grants of %s exceed the account: %+v", w.now, n.name, o))
	}
	if ok {
		w.send(message{from: f.to, to: f.from, name: f.name, grant: &g})
	}
}

func (w *simulation) send(f message) {
	f.at = w.now + 1
	if w.rough && w.random.IntN(5) == 0 {
		f.at += clock.Millis(w.random.IntN(6000))
	}
	if !w.rough || w.random.IntN(6) > 0 {
		w.inFlight = append(w.inFlight, f)
	}
}

func (w *simulation) deliver() {
	flying := w.inFlight
	w.inFlight = nil
	for _, f := range flying {
		n := w.vms[f.to]
		switch {
		case f.at > w.now || w.paused(n):
			w.inFlight = append(w.inFlight, f)
		case w.now < n.cutUntil || w.now < w.vms[f.from].cutUntil:
		case f.report != nil:
			w.handleReport(f)
		case f.grant == nil:
			n.pendingMark = f.mark
		case f.name == n.name:
			n.holder = n.holder.WithGrant(*f.grant, w.localTime(n))
		}
	}
}

// demand lets a caller of a VM run a statement.
func (w *simulation) demand(i int) {
	n := w.vms[i]
	n.holder = n.holder.WithDemand(w.localTime(n))
	n.waiting = append(n.waiting, w.now)
}

func (w *simulation) runWaiting(n *vmState) {
	var taken bool
	now := w.localTime(n)
	for len(n.waiting) > 0 && n.confirmed {
		if n.holder, taken = n.holder.WithTake(now); !taken {
			break
		}
		w.longestWait = max(w.longestWait, w.now-n.waiting[0])
		n.waiting = n.waiting[1:]
		w.recordServed()
	}
	for len(n.waiting) > 0 && w.now-n.waiting[0] > n.holder.MaxWait(now) {
		n.waiting = n.waiting[1:]
		w.refused++
	}
}

// recordServed takes a served statement out of the oracle's bucket.
func (w *simulation) recordServed() {
	w.served++
	w.tokens--
	if rate, _ := w.limits(); w.tokens < -0.01-rate*clockResolution {
		w.faults = append(w.faults, fmt.Sprintf("%d ms: %.2f statements more than the rate and the burst", w.now, -w.tokens))
	}
}

// survey asks the VMs that have not reported to a new owner.
func (w *simulation) survey(i int) {
	n := w.vms[i]
	if !n.ready || n.retained || w.now-n.surveyed < 300 {
		return
	}
	n.surveyed = w.now
	for j := range w.vms {
		if !n.reported[j] {
			w.send(message{from: i, to: j, mark: n.surveyMark})
		}
	}
}

// limits are what VMs may still act on.
func (w *simulation) limits() (rate, burst float64) {
	rate, burst = w.rate, w.burst
	for _, c := range w.changes {
		if w.now < c.until {
			rate, burst = max(rate, c.rate), max(burst, c.burst)
		}
	}
	return rate, burst
}

// step lets one millisecond pass.
func (w *simulation) step() {
	w.now++
	rate, burst := w.limits()
	w.tokens = min(w.tokens+rate*1.01/1000, burst)
	w.deliver()
	for i, n := range w.vms {
		w.updateVersion(i)
		if w.paused(n) {
			continue
		}
		w.runWaiting(n)
		now := w.localTime(n)
		w.survey(i)
		if n.pendingMark > 0 || n.holder.ReportDue(len(n.waiting), now) && n.holder.IdleTime(now) < 10000 {
			var r Report
			n.holder, r = n.holder.WithReport("a", len(n.waiting), now)
			w.send(message{from: i, to: w.owners[n.version-1], name: n.name, report: &r, mark: n.pendingMark})
			n.pendingMark = 0
		}
	}
}
