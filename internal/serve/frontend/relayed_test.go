package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// The times of the simulated gossip in milliseconds, as in serve/gossip.
const (
	simulatedInterval    = clock.Millis(300)
	simulatedMinInterval = clock.Millis(60)
	simulatedFarInterval = clock.Millis(900)
	simulatedDelay       = clock.Millis(20)
	simulatedLength      = 24 * clock.Second
	// quietStart is the time before the first operation, in which messages are exchanged.
	quietStart = 4 * clock.Second
)

// relayedLoad is a case of relayed.yaml, which describes the fields.
type relayedLoad struct {
	Name   string       `yaml:"name"`
	Zones  int          `yaml:"zones"`
	VMs    int          `yaml:"vms"`
	Rate   float64      `yaml:"rate"`
	Burst  float64      `yaml:"burst"`
	Demand float64      `yaml:"demand"`
	Skew   float64      `yaml:"skew"`
	Factor float64      `yaml:"factor"`
	Surge  clock.Millis `yaml:"surge"`
	Calm   clock.Millis `yaml:"calm"`
	Served float64      `yaml:"served"`
}

// relayedVM is a VM of a simulated installation. The first VM of a zone is its relay.
type relayedVM struct {
	limiter *limiter
	name    string
	zone    int
	relay   bool
	// urgent asks for an early round, farUrgent also for messages to other zones.
	urgent, farUrgent bool
	lastRound         clock.Millis
	lastFar           clock.Millis
}

// relayedMessage arrives at a VM at the time at.
type relayedMessage struct {
	at clock.Millis
	to *relayedVM
	g  inner.Gossip
}

// installation is a simulated installation of limiters with relays.
type installation struct {
	load     relayedLoad
	clock    *clock.Fake
	now      clock.Millis
	vms      []*relayedVM
	messages []relayedMessage
	account  catalog.Account
}

func newInstallation(l relayedLoad) *installation {
	in := &installation{load: l, clock: clock.NewFake(0), account: catalog.Account{Name: "acme", Rate: l.Rate, Burst: l.Burst}}
	for i := range l.VMs {
		v := &relayedVM{name: fmt.Sprintf("vm%d", i), zone: i % l.Zones, relay: i < l.Zones, lastRound: -clock.Millis(i) % simulatedInterval}
		v.limiter = newLimiter(in.clock.Clock(), Tolerance{Fraction: 0.1, Slack: 20, Window: 5})
		v.limiter.region = fmt.Sprint(v.zone)
		v.limiter.vmCountFunc, v.limiter.processFunc = func() int { return l.VMs }, func() uint64 { return uint64(i + 1) }
		v.limiter.roleFunc = func() gossip.Role {
			if v.relay {
				return gossip.Relay
			}
			return gossip.Follower
		}
		v.limiter.regionGossipFunc = func() { v.urgent = true }
		v.limiter.gossipFunc = func() { v.urgent, v.farUrgent = true, true }
		v.limiter.accountFunc = func(string) (catalog.Account, bool) { return in.account, true }
		v.limiter.createBuckets(map[string]catalog.Account{in.account.Name: in.account})
		in.vms = append(in.vms, v)
	}
	return in
}

// step advances the time by a millisecond, delivers the messages that are due and runs the
// rounds that are.
func (in *installation) step() {
	in.now++
	in.clock.Advance(1)
	pending := in.messages[:0:0]
	for _, m := range in.messages {
		if m.at > in.now {
			pending = append(pending, m)
			continue
		}
		m.to.limiter.mergeGossip(m.g, true)
	}
	in.messages = pending
	for _, v := range in.vms {
		if in.now-v.lastRound >= simulatedInterval || v.urgent && in.now-v.lastRound >= simulatedMinInterval {
			in.round(v)
		}
	}
}

// round sends the messages of one VM.
func (in *installation) round(v *relayedVM) {
	v.limiter.beginRound()
	far := v.farUrgent || in.now-v.lastFar >= simulatedFarInterval
	v.lastRound, v.urgent, v.farUrgent = in.now, false, false
	if !v.relay {
		in.send(v, in.vms[v.zone], inner.ScopeVM, v.limiter.usages(inner.ScopeVM))
		return
	}
	hints := v.limiter.usages(inner.ScopeAll)
	var totals []inner.Usage
	if far {
		v.lastFar, totals = in.now, v.limiter.usages(inner.ScopeZone)
	}
	for _, other := range in.vms {
		switch {
		case other.zone == v.zone && !other.relay:
			in.send(v, other, inner.ScopeAll, hints)
		case other.relay && other != v && far:
			in.send(v, other, inner.ScopeZone, totals)
		}
	}
}

func (in *installation) send(from, to *relayedVM, s inner.Scope, usages []inner.Usage) {
	covered, known := from.limiter.coverage(s)
	in.messages = append(in.messages, relayedMessage{at: in.now + simulatedDelay, to: to, g: inner.Gossip{
		Covered: covered, Known: known, From: from.name, Process: from.limiter.processFunc(), Scope: s, Region: fmt.Sprint(from.zone), Zone: member.Zone(fmt.Sprint(from.zone)), Usages: usages,
	}})
}

// run runs the load. It returns when operations were served, and how many one token bucket
// would have served.
func (in *installation) run(seed uint64) (served []clock.Millis, due int) {
	l, random := in.load, rand.New(rand.NewPCG(seed, 1))
	tokens := l.Burst
	for in.now < simulatedLength {
		in.step()
		tokens = min(tokens+l.Rate/1000, l.Burst)
		if in.now < quietStart {
			continue
		}
		demand := l.Demand
		if l.Factor > 0 && in.now >= l.Surge && in.now < l.Calm {
			demand *= l.Factor
		}
		if random.Float64() < demand/1000 {
			v := in.vms[random.IntN(len(in.vms))]
			if random.Float64() < l.Skew {
				v = in.vms[len(in.vms)-1]
			}
			if tokens >= 1 {
				tokens--
				due++
			}
			if v.limiter.take(in.account, 0) {
				served = append(served, in.now)
			}
		}
	}
	return served, due
}

// mostInWindow returns the most operations in any window of the tolerance.
func mostInWindow(served []clock.Millis) int {
	best, first := 0, 0
	for i, at := range served {
		for served[first] <= at-5*clock.Second {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// TestRelayedLoads plays loads of one account at installations with relays. It checks that
// the limit is kept in each window, and that callers within it are served.
func TestRelayedLoads(t *testing.T) {
	var loads []relayedLoad
	scripted.Read(t, "testdata/relayed.yaml", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				served, due := newInstallation(l).run(seed)
				allowed := (l.Rate*5+l.Burst)*1.1 + 20
				most := mostInWindow(served)
				share := float64(len(served)) / float64(due)
				t.Logf("seed %d: at most %d operations in a window (%.0f allowed), %.3f served", seed, most, allowed, share)
				if float64(most) > allowed {
					t.Errorf("seed %d: %d operations in a window, want at most %.0f", seed, most, allowed)
				}
				if share < l.Served {
					t.Errorf("seed %d: %.3f of %d due operations served, want %.2f", seed, share, due, l.Served)
				}
			}
		})
	}
}
