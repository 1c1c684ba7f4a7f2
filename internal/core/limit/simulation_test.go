package limit

import (
	"fmt"
	"math/rand/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// simulation runs a few VMs that share one account, in simulated time. Its oracle is a
// single token bucket with the rate and the burst of the account.
type simulation struct {
	random *rand.Rand
	// lossy makes the network lose some messages, and delay others for up to 6 s.
	lossy bool
	now   clock.Millis
	vms   []*vmState
	// owners holds the index of the owner for each configuration version, from 1.
	owners       []int
	inFlight     []message
	rate         float64
	burst        float64
	formerLimits []formerLimit
	// tokens is the number of tokens in the oracle's bucket.
	tokens  float64
	served  int
	refused int
	// removed is the number of VMs that are no longer members.
	removed int
	// longestWait is the longest wait of a statement that was served.
	longestWait clock.Millis
	faults      []string
}

// formerLimit is a replaced limit, on which VMs may act until the given time.
type formerLimit struct {
	until clock.Millis
	rate  float64
	burst float64
}

// vmState is one VM of the simulation.
type vmState struct {
	// name changes with each start of the process.
	name string
	// clockPercent is the speed of the VM's clock in percent of the simulated time.
	clockPercent clock.Millis
	version      int
	// cutUntil is the time until which no message reaches or leaves the VM.
	cutUntil clock.Millis
	// confirmed is set while the VM's configuration version is confirmed, and
	// confirmedAt is when it last was; pausedUntil is the end of a pause.
	confirmed   bool
	confirmedAt clock.Millis
	pausedUntil clock.Millis
	holder      Holder
	// owner is valid while ready; retained is set when the VM was the owner in the
	// previous version too and kept its state.
	owner    Owner
	ready    bool
	retained bool
	// reporters holds the VMs whose reports have answered a survey of this VM since it
	// became ready, and surveyed is the time of the last survey. surveyID identifies the
	// surveys; it is the time at which the VM became ready.
	reporters map[int]bool
	surveyed  clock.Millis
	surveyID  clock.Millis
	// pendingSurvey is the ID of the survey that the next report answers; 0 is none.
	pendingSurvey clock.Millis
	// waiting holds the times at which the waiting statements arrived.
	waiting []clock.Millis
}

// message is a report, a grant or a survey in flight.
type message struct {
	// at is the time of delivery.
	at   clock.Millis
	from int
	to   int
	// name is that of the process that sent the report. The grant in answer to it has the
	// same name, so that a restarted VM ignores the grant.
	name   string
	report *Report
	grant  *Grant
	// surveyID identifies the survey that the report answers; 0 is none. A message with
	// neither report nor grant is the survey itself.
	surveyID clock.Millis
}

func newSimulation(seed uint64, lossy bool, vms int, rate, burst float64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), lossy: lossy, rate: rate, burst: burst, tokens: burst, owners: []int{0}}
	for i := range vms {
		s.vms = append(s.vms, &vmState{clockPercent: clock.Millis(99 + i%3), version: 1, confirmed: true})
		s.restart(i)
	}
	return s
}

// clockResolution is the error in seconds from rounding clocks to milliseconds.
const clockResolution = 0.002

// localTime returns the time of the VM's clock, which is up to 1 % slow or fast.
func (s *simulation) localTime(v *vmState) clock.Millis { return 1e6 + s.now*v.clockPercent/100 }

// restart replaces the process of a VM by one without state.
func (s *simulation) restart(i int) {
	v := s.vms[i]
	v.name, v.holder, v.ready, v.retained, v.waiting = fmt.Sprint(i, "/", s.random.Uint64()), NewHolder(s.localTime(v)), false, false, nil
}

func (s *simulation) paused(v *vmState) bool { return s.now < v.pausedUntil }

// acceptedVersion returns the version below which no VM acts any more.
func (s *simulation) acceptedVersion() int {
	least := len(s.owners)
	for _, v := range s.vms {
		if v.confirmed {
			least = min(least, v.version)
		}
	}
	return least
}

// updateVersion moves a VM to the latest version at a random time, and ends its
// confirmation once it has been behind for 4 s.
func (s *simulation) updateVersion(i int) {
	v := s.vms[i]
	latest := len(s.owners)
	if v.version == latest {
		v.confirmed, v.confirmedAt = true, s.now
		return
	}
	if s.now-v.confirmedAt > 4000 {
		v.confirmed = false
	}
	if s.paused(v) || s.random.IntN(200) > 0 {
		return
	}
	v.retained = v.ready && v.confirmed && latest == v.version+1 && s.owners[latest-1] == i
	v.version, v.confirmed, v.confirmedAt, v.ready = latest, true, s.now, v.retained
}

// handleReport delivers a report to a VM and sends its grant. The VM drops the report
// if its version is not confirmed, if it is not the owner in that version, or if it is a
// new owner while another VM may still act on an earlier version.
func (s *simulation) handleReport(m message) {
	v := s.vms[m.to]
	if !v.confirmed || s.owners[v.version-1] != m.to || !v.ready && s.acceptedVersion() < v.version {
		return
	}
	now := s.localTime(v)
	if !v.ready {
		v.owner, v.ready, v.reporters, v.surveyID = NewOwner(s.rate, s.burst, now, now), true, map[int]bool{}, s.now
	}
	o, g, ok := v.owner.WithLimit(s.rate, s.burst, now).WithReport(m.name, *m.report, now)
	v.owner = o
	if m.surveyID == v.surveyID {
		v.reporters[m.from] = true
	}
	if len(v.reporters) == len(s.vms)-s.removed {
		v.owner = v.owner.WithAllReported(now)
	}
	if !o.WithinLimit() {
		s.faults = append(s.faults, fmt.Sprintf("%d ms: grants of %s exceed the account: %+v", s.now, v.name, o))
	}
	if ok {
		s.send(message{from: m.to, to: m.from, name: m.name, grant: &g})
	}
}

// send puts a message in flight; a lossy network may lose or delay it.
func (s *simulation) send(m message) {
	m.at = s.now + 1
	if s.lossy && s.random.IntN(5) == 0 {
		m.at += clock.Millis(s.random.IntN(6000))
	}
	if !s.lossy || s.random.IntN(6) > 0 {
		s.inFlight = append(s.inFlight, m)
	}
}

// deliver delivers the messages that are due. A paused VM gets them after its pause.
// A message is lost if its sender or its receiver is cut off when it would be delivered.
func (s *simulation) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		v := s.vms[m.to]
		switch {
		case m.at > s.now || s.paused(v):
			s.inFlight = append(s.inFlight, m)
		case s.now < v.cutUntil || s.now < s.vms[m.from].cutUntil:
		case m.report != nil:
			s.handleReport(m)
		case m.grant == nil:
			v.pendingSurvey = m.surveyID
		case m.name == v.name:
			v.holder = v.holder.WithGrant(*m.grant, s.localTime(v))
		}
	}
}

// addStatement adds a statement that a caller of a VM wants to run.
func (s *simulation) addStatement(i int) {
	v := s.vms[i]
	v.holder = v.holder.WithDemand(s.localTime(v))
	v.waiting = append(v.waiting, s.now)
}

// runWaiting serves the waiting statements for which there are tokens, and refuses
// those that have waited too long.
func (s *simulation) runWaiting(v *vmState) {
	var taken bool
	now := s.localTime(v)
	for len(v.waiting) > 0 && v.confirmed {
		if v.holder, taken = v.holder.WithTake(now); !taken {
			break
		}
		s.longestWait = max(s.longestWait, s.now-v.waiting[0])
		v.waiting = v.waiting[1:]
		s.recordServed()
	}
	for len(v.waiting) > 0 && s.now-v.waiting[0] > v.holder.MaxWait(now) {
		v.waiting = v.waiting[1:]
		s.refused++
	}
}

// recordServed takes one token from the oracle's bucket, and records a fault when
// there is none, apart from rounding.
func (s *simulation) recordServed() {
	s.served++
	s.tokens--
	if rate, _ := s.limits(); s.tokens < -0.01-rate*clockResolution {
		s.faults = append(s.faults, fmt.Sprintf("%d ms: %.2f statements more than the rate and the burst allow", s.now, -s.tokens))
	}
}

// survey lets a new owner ask the VMs that have not answered it yet for a report of what
// they hold, at most once in 300 ms.
func (s *simulation) survey(i int) {
	v := s.vms[i]
	if !v.ready || v.retained || s.now-v.surveyed < 300 {
		return
	}
	v.surveyed = s.now
	for j := range s.vms {
		if !v.reporters[j] {
			s.send(message{from: i, to: j, surveyID: v.surveyID})
		}
	}
}

// limits returns the highest rate and burst that VMs may still act on.
func (s *simulation) limits() (rate, burst float64) {
	rate, burst = s.rate, s.burst
	for _, c := range s.formerLimits {
		if s.now < c.until {
			rate, burst = max(rate, c.rate), max(burst, c.burst)
		}
	}
	return rate, burst
}

// step advances the simulation by one millisecond. The oracle's bucket fills at the
// speed of the fastest clock, 1 % above the rate. A VM without a statement for 10 s
// reports only in answer to a survey.
func (s *simulation) step() {
	s.now++
	rate, burst := s.limits()
	s.tokens = min(s.tokens+rate*1.01/1000, burst)
	s.deliver()
	for i, v := range s.vms {
		s.updateVersion(i)
		if s.paused(v) {
			continue
		}
		s.runWaiting(v)
		now := s.localTime(v)
		s.survey(i)
		if v.pendingSurvey > 0 || v.holder.ReportDue(len(v.waiting), now) && v.holder.IdleTime(now) < 10000 {
			var r Report
			v.holder, r = v.holder.WithReport("a", len(v.waiting), now)
			s.send(message{from: i, to: s.owners[v.version-1], name: v.name, report: &r, surveyID: v.pendingSurvey})
			v.pendingSurvey = 0
		}
	}
}
