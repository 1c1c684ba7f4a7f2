package window

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// seeds is the number of times that each script is played.
const seeds = 10

// phaseSpec is a phase of a script.
type phaseSpec struct {
	Length float64     `yaml:"length"`
	Factor float64     `yaml:"factor"`
	Demand [][]float64 `yaml:"demand"`
	// Burst is set if the server's own queue spoils the order without the rule.
	Burst bool `yaml:"burst"`
}

// figures are the means of a phase over all seeds.
type figures struct {
	// use is the part of the slots' time that was used, of that for which there was work.
	use, serverWait, urgentWait, urgentLate float64
	served                                  []int
	refused, busy                           int
	sizes                                   []int
}

func (f figures) String() string {
	return fmt.Sprintf("slots used %.3f, wait at server %5.1f ms, urgent %5.1f ms, 99th of 100 %6.1f ms, refused %5d, busy %3d, served %v, sizes %v",
		f.use, f.serverWait, f.urgentWait, f.urgentLate, f.refused, f.busy, f.served, f.sizes)
}

// summarize joins the results of one phase.
func summarize(results []*result) figures {
	var all result
	f := figures{served: make([]int, len(results[0].served)), sizes: results[0].sizes}
	for _, r := range results {
		all.used, all.needed = all.used+r.used, all.needed+r.needed
		all.urgentWaits = append(all.urgentWaits, r.urgentWaits...)
		all.serverWaits = append(all.serverWaits, r.serverWaits...)
		f.refused, f.busy = f.refused+r.refused, f.busy+r.busy
		for i, n := range r.served {
			f.served[i] += n
		}
	}
	f.use, f.serverWait, f.urgentWait = all.used/all.needed, mean(all.serverWaits), mean(all.urgentWaits)
	if slices.Sort(all.urgentWaits); len(all.urgentWaits) > 0 {
		f.urgentLate = all.urgentWaits[len(all.urgentWaits)*99/100]
	}
	return f
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// TestLoads guards against a queue in the server instead of the holders, and against a rule that
// leaves slots unused or lets urgent statements wait longer than without it. It logs the rules that
// were compared.
func TestLoads(t *testing.T) {
	var cases []struct {
		Name   string      `yaml:"name"`
		Server serverSpec  `yaml:"server"`
		Phases []phaseSpec `yaml:"phases"`
	}
	scripted.Read(t, "testdata/loads.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			before := playScript(c.Server, c.Phases, connectionsRule)
			part, slots := playScript(c.Server, c.Phases, partRule), playScript(c.Server, c.Phases, slotsRule)
			after := playScript(c.Server, c.Phases, responseRule)
			for i, p := range c.Phases {
				t.Logf("phase %d\n connections %s\n part        %s\n slots       %s\n response    %s", i, before[i], part[i], slots[i], after[i])
				checkPhase(t, i, p, before[i], after[i])
			}
		})
	}
}

// checkPhase compares the figures of a phase without and with the rule. The margins leave room for
// the random order in the server, which differs as soon as the windows do.
func checkPhase(t *testing.T, phase int, p phaseSpec, before, after figures) {
	t.Helper()
	if after.use < before.use-0.01 {
		t.Errorf("phase %d: %.3f of the slots' time is used, %.3f without the rule", phase, after.use, before.use)
	}
	if after.serverWait > before.serverWait*1.05+0.5 {
		t.Errorf("phase %d: the wait at the server is %.1f ms, %.1f ms without the rule", phase, after.serverWait, before.serverWait)
	}
	if after.urgentWait > before.urgentWait*1.05+0.5 || after.urgentLate > before.urgentLate*1.1+2 {
		t.Errorf("phase %d: urgent statements wait %.1f ms, 99th of 100 %.1f ms; without the rule %.1f and %.1f ms", phase, after.urgentWait, after.urgentLate, before.urgentWait, before.urgentLate)
	}
	if p.Burst && (after.urgentWait > before.urgentWait*0.6 || after.urgentLate > before.urgentLate*0.6) {
		t.Errorf("phase %d: in a burst urgent statements wait %.1f ms, 99th of 100 %.1f ms; without the rule %.1f and %.1f ms", phase, after.urgentWait, after.urgentLate, before.urgentWait, before.urgentLate)
	}
}

// playScript returns the figures of each phase.
func playScript(s serverSpec, phases []phaseSpec, r rule) []figures {
	byPhase := make([][]*result, len(phases))
	for seed := range uint64(seeds) {
		m := newModel(s, seed+1, r)
		factor, demand := 1.0, [][]float64(nil)
		for i, p := range phases {
			if p.Factor > 0 {
				factor = p.Factor
			}
			if p.Demand != nil {
				demand = p.Demand
			}
			byPhase[i] = append(byPhase[i], m.play(p.Length, factor, demand))
		}
	}
	var out []figures
	for _, results := range byPhase {
		out = append(out, summarize(results))
	}
	return out
}

// TestUnknownSlots guards against a server whose slots are not known and that is kept at a few statements.
func TestUnknownSlots(t *testing.T) {
	w := New(6)
	for i := range 1000 {
		w = w.WithAnswer(20, Limits{Connections: holderConnections}, clock.Millis(i))
	}
	if w.Size() != holderConnections {
		t.Errorf("the window is %d, want %d", w.Size(), holderConnections)
	}
}

// TestLongerWay guards against slots that stay unused for long after the way to the server has
// become longer, and against a round trip from before that counts for ever.
func TestLongerWay(t *testing.T) {
	l := Limits{Slots: 2, Connections: holderConnections}
	w, now := New(1), clock.Millis(0)
	play := func(way float64, length clock.Millis) int {
		for end := now + length; now < end; now += 10 {
			w = w.WithAnswer(way+4, l, now).WithRoundTrip(way, now)
		}
		return w.Size()
	}
	near, far, nearAgain := play(0, 10*clock.Second), play(16, 2*lowestPeriod+clock.Second), play(0, clock.Second)
	if near > 5 || far != holderConnections || nearAgain > 5 {
		t.Errorf("windows %d near, %d far and %d near again; want at most 5, %d and at most 5", near, far, nearAgain, holderConnections)
	}
}

// TestBusyServer guards against a holder that keeps sending to a server which refuses even one statement at a time, and against one that does not recover.
func TestBusyServer(t *testing.T) {
	l := Limits{Slots: 2, Connections: holderConnections}
	w := New(1)
	for range 3 {
		w = w.WithBusy(0, 0.5, 1000)
	}
	if w.Size() != 1 || !w.PausedAt(1010) || w.PausedAt(1000+busyPause<<busyDoublings*2) {
		t.Errorf("after three busy answers the window is %d and paused at 10 ms: %v", w.Size(), w.PausedAt(1010))
	}
	for i := range 100 {
		w = w.WithAnswer(20, l, clock.Millis(2000+10*i))
	}
	if w.Size() < l.Slots || w.PausedAt(3000) {
		t.Errorf("after 100 answers the window is %d, want the slots at least", w.Size())
	}
}
