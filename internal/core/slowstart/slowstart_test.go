package slowstart

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// fakeServer is a server of ramps.yaml.
type fakeServer struct {
	Service   clock.Millis
	Slots     int
	Factor    clock.Millis
	WarmAt    clock.Millis `yaml:"warmAt"`
	AnswersAt clock.Millis `yaml:"answersAt"`
	// running holds the end and the start of each statement.
	running []span
}

type span struct{ sent, end clock.Millis }

func (s *fakeServer) send(now clock.Millis) {
	if now < s.AnswersAt {
		s.running = append(s.running, span{now, now + 1})
		return
	}
	service := s.Service
	if now < s.WarmAt {
		service *= s.Factor
	}
	begin := now
	if n := len(s.running); n >= s.Slots {
		begin = s.running[n-s.Slots].end
	}
	s.running = append(s.running, span{now, begin + service})
}

// rampCase is a case of ramps.yaml, which describes the fields.
type rampCase struct {
	Name        string
	Begin       Reason
	Baseline    float64
	Server      fakeServer
	OpenBy      clock.Millis `yaml:"openBy"`
	NarrowUntil clock.Millis `yaml:"narrowUntil"`
	InFlight    int          `yaml:"inFlight"`
	Sent        int
}

// TestRamps guards against servers that are flooded while they warm up or fail, and against ones
// that are left idle although they are fast.
func TestRamps(t *testing.T) {
	var cases []rampCase
	scripted.Read(t, "testdata/ramps.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { playRamp(t, c) })
	}
}

func playRamp(t *testing.T, c rampCase) {
	const wanted = 8
	r := Ramp{}.WithBaseline(c.Baseline)
	if c.Begin != "" {
		r = r.WithBegin(c.Begin, 0)
	}
	sent, openAt := 0, clock.Millis(-1)
	for now := clock.Millis(0); now < 20*clock.Second; now++ {
		s := &c.Server
		for len(s.running) > 0 && s.running[0].end <= now {
			if now <= s.AnswersAt && s.AnswersAt > 0 {
				r = r.WithFailure(now)
			} else {
				r = r.WithAnswer(float64(now-s.running[0].sent), wanted, now)
			}
			s.running = s.running[1:]
		}
		for len(s.running) < wanted && r.MaySend(len(s.running), now) {
			s.send(now)
			r = r.WithSent(now)
			sent++
		}
		if n := len(s.running); now < c.NarrowUntil && n > c.InFlight {
			t.Fatalf("%d statements in flight at %d ms, want at most %d", n, now, c.InFlight)
		}
		if now == s.AnswersAt && c.Sent > 0 && sent > c.Sent {
			t.Errorf("%d attempts before the server answered, want at most %d", sent, c.Sent)
		}
		if !r.Open() || now < s.AnswersAt {
			openAt = -1
		} else if openAt < 0 {
			openAt = now
		}
		if now == c.OpenBy && openAt < 0 {
			t.Errorf("not open at %d ms: %+v", now, r.Figures(now))
		}
	}
}

// TestSingleFailure guards against a statement that ends by its own timeout while the server answers
// others: it must not bound these.
func TestSingleFailure(t *testing.T) {
	r := Ramp{}.WithAnswer(5, 8, 1000).WithFailure(1050)
	if !r.Open() {
		t.Error("one failure after a recent answer began a slow start")
	}
	if r = r.WithFailure(1060); r.Open() || !r.Down() {
		t.Error("two failures in a row began no slow start")
	}
}

// limitCase is a case of limits.yaml, which describes the fields.
type limitCase struct {
	Name    string
	VMs     map[string]int `yaml:"vms"`
	Limit   Limit
	Delay   clock.Millis
	Events  []string
	AtLeast int `yaml:"atLeast"`
}

// fakeVM is a VM that sends all that it may.
type fakeVM struct {
	vm    member.VM
	list  []member.VM
	quota Quota
	// listAt is the time at which it gets the present list; it is not running once stopped.
	listAt  clock.Millis
	cut     bool
	stopped bool
}

// share returns what the VM may send by its own list.
func (v *fakeVM) share(l Limit) int {
	for _, s := range Senders(v.list, "a", l) {
		if s.VM.Name == v.vm.Name {
			return s.Share
		}
	}
	return 0
}

type fakeFleet struct {
	vms        []*fakeVM
	registered []member.VM
	delay      clock.Millis
}

func (f *fakeFleet) join(zone string, now clock.Millis) {
	v := &fakeVM{vm: member.VM{Name: fmt.Sprintf("vm%d", len(f.vms)), Zone: member.Zone(zone)}}
	f.vms = append(f.vms, v)
	f.registered = append(slices.Clone(f.registered), v.vm)
	f.announce(now)
	v.list, v.listAt = f.registered, 0
}

func (f *fakeFleet) leave(n int, now clock.Millis) {
	f.vms[n].stopped = true
	f.registered = slices.DeleteFunc(slices.Clone(f.registered), func(v member.VM) bool { return v.Name == f.vms[n].vm.Name })
	f.announce(now)
}

// announce lets each VM get the list after a delay of its own.
func (f *fakeFleet) announce(now clock.Millis) {
	for i, v := range f.vms {
		if v.listAt == 0 {
			v.listAt = now + f.delay*clock.Millis(i%5+1)/5
		}
	}
}

// apply applies an event; the zone or the VM is its argument.
func (f *fakeFleet) apply(verb, argument string, now clock.Millis) {
	n := 0
	if verb != "join" {
		_, _ = fmt.Sscan(argument, &n)
	}
	switch verb {
	case "join":
		f.join(argument, now)
	case "leave":
		f.leave(n, now)
	case "crash":
		f.vms[n].stopped = true
	default:
		f.vms[n].cut = verb == "cut"
	}
}

// TestLimits guards against VMs that together exceed the limit of a cold server in any second while
// their lists of VMs differ, and against a server that is left idle.
func TestLimits(t *testing.T) {
	var cases []limitCase
	scripted.Read(t, "testdata/limits.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { playLimit(t, c) })
	}
}

func playLimit(t *testing.T, c limitCase) {
	f := &fakeFleet{delay: c.Delay}
	for zone := 'a'; zone <= 'z'; zone++ {
		for range c.VMs[string(zone)] {
			f.join(string(zone), 0)
		}
	}
	for _, v := range f.vms {
		v.list, v.listAt = f.registered, 0
	}
	const end = 12 * clock.Second
	var sent []clock.Millis
	for now := clock.Millis(1); now < end; now += 5 {
		for _, e := range c.Events {
			var at clock.Millis
			var verb, argument string
			if _, err := fmt.Sscan(e, &at, &verb, &argument); err != nil {
				t.Fatal(err)
			}
			if at >= now && at < now+5 {
				f.apply(verb, argument, now)
			}
		}
		for _, v := range f.vms {
			if v.listAt > 0 && now >= v.listAt && !v.cut {
				v.list, v.listAt = f.registered, 0
			}
			for share := v.share(c.Limit); !v.stopped && v.quota.MaySend(share, now); {
				v.quota = v.quota.WithSent(now)
				sent = append(sent, now)
			}
		}
	}
	most, late := 0, 0
	for i, first := 0, 0; i < len(sent); i++ {
		for sent[i]-sent[first] >= clock.Second {
			first++
		}
		most = max(most, i-first+1)
		if sent[i] >= end-5*clock.Second {
			late++
		}
	}
	if allowed := c.Limit.statements(); most > allowed {
		t.Errorf("%d statements in a second, want at most %d", most, allowed)
	}
	if late < c.AtLeast {
		t.Errorf("%d statements in the last five seconds, want at least %d", late, c.AtLeast)
	}
}

// TestSharesOfAnyLists guards against shares that exceed the limit when each VM has a list of its own
// time, whatever came and went.
func TestSharesOfAnyLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{PerSecond: rapid.Float64Range(0, 200).Draw(t, "rate"), Excess: 1.5, Slack: 5}
		var f fakeFleet
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			running := slices.DeleteFunc(slices.Clone(f.vms), func(v *fakeVM) bool { return v.stopped })
			switch kind := rapid.IntRange(0, 3).Draw(t, "kind"); {
			case kind == 0 && len(running) > 0:
				f.leave(slices.Index(f.vms, rapid.SampledFrom(running).Draw(t, "leaves")), 1)
			case kind == 1 && len(running) > 0:
				rapid.SampledFrom(running).Draw(t, "updated").list = f.registered
			default:
				f.join(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), 1)
			}
			total := 0
			for _, v := range f.vms {
				if !v.stopped {
					total += v.share(l)
				}
			}
			if total > l.statements() {
				t.Fatalf("the shares are %d, want at most %d", total, l.statements())
			}
		}
	})
}

// TestExpectedWait guards against a wait that is too short or that never ends.
func TestExpectedWait(t *testing.T) {
	var q Quota
	for _, at := range []clock.Millis{100, 200, 300} {
		q = q.WithSent(at)
	}
	for _, c := range []struct {
		share, ahead int
		want         clock.Millis
		ok           bool
	}{{0, 0, 0, false}, {4, 0, 0, true}, {3, 0, 800, true}, {3, 1, 900, true}, {3, 3, 1900, true}, {1, 0, 1000, true}} {
		got, ok := q.ExpectedWait(c.share, c.ahead, 400)
		if got != c.want || ok != c.ok {
			t.Errorf("share %d, %d ahead: wait %d %v, want %d %v", c.share, c.ahead, got, ok, c.want, c.ok)
		}
	}
}
