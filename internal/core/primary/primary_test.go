package primary

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// script is one scripted run; see testdata/changes.yaml.
type script struct {
	Name  string       `yaml:"name"`
	Seed  uint64       `yaml:"seed"`
	Until clock.Millis `yaml:"until"`
	Steps []scriptStep `yaml:"steps"`
	// Repeat is how often the steps run in all, each time Period later.
	Repeat int          `yaml:"repeat"`
	Period clock.Millis `yaml:"period"`
	Want   scriptWant   `yaml:"want"`
}

// scriptStep is a fault or its end. Name is a server, a VM or a link, "from>to". The kind
// "split" cuts the links from a server to the other servers, and "hide" those to the VMs.
// AnswerDelay is for the kind "slow". The kinds "before" and "after" crash the next VM
// that runs Action, a key of actionKinds.
type scriptStep struct {
	At          clock.Millis `yaml:"at"`
	Kind        string       `yaml:"do"`
	Name        string       `yaml:"name"`
	AnswerDelay clock.Millis `yaml:"slow"`
	Action      string       `yaml:"verb"`
}

type scriptWant struct {
	// Terms is the number of terms that had a primary; if AtMost is set, fewer pass
	// too.
	Terms  int  `yaml:"terms"`
	AtMost bool `yaml:"most"`
	// Leaders names the servers of which one must be the last primary.
	Leaders []string `yaml:"leader"`
	// Gap bounds the time between two acknowledged writes.
	Gap clock.Millis `yaml:"gap"`
}

var actionKinds = map[string]ActionKind{"order": RecordClaim, "seal": Seal, "promote": Promote, "follow": Follow, "record": RecordPrimary}

func (w *world) apply(s scriptStep) {
	switch s.Kind {
	case "down", "up":
		w.server(s.Name).down = s.Kind == "down"
	case "split", "join":
		for _, o := range w.servers {
			w.cutLinks[s.Name+">"+o.name] = s.Kind == "split"
		}
	case "hide", "show":
		for _, v := range w.vms {
			w.cutLinks[s.Name+">"+v.voter.VM] = s.Kind == "hide"
		}
	case "cut", "mend":
		w.cutLinks[s.Name] = s.Kind == "cut"
	case "slow":
		w.server(s.Name).answerDelay = s.AnswerDelay
	case "fill":
		w.server(s.Name).connectionsExhausted = true
	case "pause", "resume":
		w.vm(s.Name).paused = s.Kind == "pause"
	case "stop":
		w.vm(s.Name).down = true
	case "storedown", "storeup":
		w.storeUp = s.Kind == "storeup"
	case "before", "after":
		w.crashPoint, w.crashOn = s.Kind, actionKinds[s.Action]
	default:
		panic("unknown step " + s.Kind)
	}
}

// TestChanges runs the scripts of faults. At the end of each it checks the oracle, the
// number of terms, the primary, the longest gap between acknowledged writes, and that the
// group has settled.
func TestChanges(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/changes.yaml", &scripts)
	for _, s := range scripts {
		t.Run(strings.ReplaceAll(s.Name, " ", "-"), func(t *testing.T) { s.play(t) })
	}
}

func (s script) play(t *testing.T) {
	w := newWorld(s.Seed)
	for i := range max(s.Repeat, 1) {
		for _, step := range s.Steps {
			w.run(clock.Millis(i)*s.Period + step.At)
			w.apply(step)
		}
	}
	w.run(s.Until)
	if diff := cmp.Diff([]string(nil), w.failures); diff != "" {
		t.Errorf("oracle (-want +got):\n%s", diff)
	}
	p := w.leader()
	if n := len(w.primaryByTerm); n != s.Want.Terms && (!s.Want.AtMost || n > s.Want.Terms) {
		t.Errorf("primaries by term are %v, want %d terms", w.primaryByTerm, s.Want.Terms)
	}
	if !strings.Contains(strings.Join(s.Want.Leaders, " "), p.name) {
		t.Errorf("the primary is %s, want one of %v", p.name, s.Want.Leaders)
	}
	if w.gap > s.Want.Gap {
		t.Errorf("the longest gap between acknowledged writes is %d ms, want at most %d", w.gap, s.Want.Gap)
	}
	w.checkSettled(t.Errorf)
}

// checkSettled checks that writes go on, that the primary has every acknowledged write,
// and that every server follows it, except one that is down or whose link to the VM named
// after the primary is cut. It also reports the failures of the oracle.
func (w *world) checkSettled(errorf func(string, ...any)) {
	p := w.leader()
	if w.now-w.ackedAt > clock.Second {
		errorf("the last acknowledged write was %d ms ago", w.now-w.ackedAt)
	}
	w.checkAckedWrites(p)
	for _, s := range w.servers {
		if !s.down && !w.cutLinks[s.name+">vm"+p.name] && s.leader != p.name {
			errorf("server %s follows %q in term %d, and %s is the primary of term %d", s.name, s.leader, s.term, p.name, p.term)
		}
	}
	for _, f := range w.failures {
		errorf("oracle: %s", f)
	}
}

// TestRestartedClaimant checks that a restarted observer claims under another name than
// its predecessor, which may have promoted a server already.
func TestRestartedClaimant(t *testing.T) {
	claimants := map[string]bool{}
	for range 2 {
		w := newWorld(1)
		// In the second round the observer starts as after one earlier start.
		w.vms[1].starts = len(claimants)
		w.startObserver(w.vms[1])
		w.run(clock.Second)
		o, actions := w.vms[1].observer.beginClaim(w.now)
		if !o.Claiming() || len(actions) != 1 {
			t.Fatalf("a claim begins with the actions %v, want one", actions)
		}
		claimants[actions[0].Claimant] = true
	}
	if len(claimants) != 2 {
		t.Errorf("claimants are %v, want two", claimants)
	}
}

// TestRandomFaults runs random faults against the oracle, then heals every fault and
// expects the group to settle.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.lossProbability = rapid.Float64Range(0, 0.4).Draw(t, "drop")
		w.duplicateProbability = rapid.Float64Range(0, 0.4).Draw(t, "double")
		w.maxDelay = rapid.IntRange(1, 1500).Draw(t, "delay")
		names, vms := []string{"a", "b", "c"}, []string{"vma", "vmb", "vmc"}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.run(w.now + clock.Millis(rapid.IntRange(25, 1500).Draw(t, "wait")))
			step := scriptStep{Kind: rapid.SampledFrom([]string{
				"down", "up", "split", "join", "hide", "show", "cut", "mend", "pause", "resume", "storedown", "storeup", "before", "after",
			}).Draw(t, "do")}
			switch step.Kind {
			case "pause", "resume":
				step.Name = rapid.SampledFrom(vms).Draw(t, "vm")
			case "cut", "mend":
				endpoints := append(append([]string{}, names...), vms...)
				step.Name = rapid.SampledFrom(endpoints).Draw(t, "from") + ">" + rapid.SampledFrom(endpoints).Draw(t, "to")
			case "before", "after":
				step.Action = rapid.SampledFrom([]string{"order", "seal", "promote", "follow", "record"}).Draw(t, "verb")
			default:
				step.Name = rapid.SampledFrom(names).Draw(t, "server")
			}
			w.apply(step)
			if len(w.failures) > 0 {
				t.Fatalf("oracle: %v", w.failures)
			}
		}
		w.heal()
		w.run(w.now + 20*clock.Second)
		w.checkSettled(t.Fatalf)
	})
}

func (w *world) heal() {
	w.cutLinks, w.lossProbability, w.duplicateProbability, w.maxDelay, w.storeUp, w.crashPoint = map[string]bool{}, 0, 0, 2, true, ""
	for _, s := range w.servers {
		s.down, s.answerDelay = false, 0
	}
	for _, v := range w.vms {
		v.paused = false
	}
}
