package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/overlay"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// partitionLoad is a case of partition.yaml, which describes the fields.
type partitionLoad struct {
	Name       string             `yaml:"name"`
	VMs        int                `yaml:"vms"`
	Zones      int                `yaml:"zones"`
	Side       float64            `yaml:"side"`
	OneWay     bool               `yaml:"oneway"`
	Split      clock.Millis       `yaml:"split"`
	Heal       clock.Millis       `yaml:"heal"`
	Dead       int                `yaml:"dead"`
	QuietStart clock.Millis       `yaml:"quiet"`
	Length     clock.Millis       `yaml:"length"`
	Accounts   []partitionAccount `yaml:"accounts"`
}

// partitionAccount is an account of a partitionLoad.
type partitionAccount struct {
	Name   string       `yaml:"name"`
	Rate   float64      `yaml:"rate"`
	Burst  float64      `yaml:"burst"`
	Demand float64      `yaml:"demand"`
	Factor float64      `yaml:"factor"`
	Surge  clock.Millis `yaml:"surge"`
	Calm   clock.Millis `yaml:"calm"`
	Where  string       `yaml:"where"`
	During float64      `yaml:"during"`
	After  float64      `yaml:"after"`
	Served float64      `yaml:"served"`
	Later  float64      `yaml:"later"`
}

// detectionTime is the time after which the VMs choose other relays for those that do not
// answer, and choiceSpread the time within which all have done so.
const (
	detectionTime = clock.Millis(2500)
	choiceSpread  = clock.Millis(600)
)

// partitionVM is a VM of a partitioned installation.
type partitionVM struct {
	limiter *limiter
	node    overlay.Node
	region  int
	side    bool
	dead    bool
	// lag delays this VM's choice of other relays.
	lag               clock.Millis
	urgent, farUrgent bool
	lastRound         clock.Millis
	lastFar           clock.Millis
}

// partitionMessage is a message on its way to a VM.
type partitionMessage struct {
	from, to *partitionVM
	g        inner.Gossip
}

// partitionRun is a run of a partitionLoad.
type partitionRun struct {
	load     partitionLoad
	clock    *clock.Fake
	now      clock.Millis
	vms      []*partitionVM
	messages map[clock.Millis][]partitionMessage
	random   *rand.Rand
}

func newPartitionRun(l partitionLoad, seed uint64) *partitionRun {
	r := &partitionRun{load: l, clock: clock.NewFake(0), messages: map[clock.Millis][]partitionMessage{}, random: rand.New(rand.NewPCG(seed, 2))}
	accounts := map[string]catalog.Account{}
	for _, a := range l.Accounts {
		accounts[a.Name] = catalog.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst}
	}
	for i := range l.VMs {
		zone := i % l.Zones
		v := &partitionVM{
			node: overlay.Node{Name: fmt.Sprintf("vm%d", i), Zone: member.Zone(fmt.Sprint(zone))}, region: zone * 2 / l.Zones,
			side: float64(i) < l.Side*float64(l.VMs), dead: i >= l.VMs-l.Dead,
			lag: clock.Millis(r.random.IntN(int(choiceSpread))), lastRound: -clock.Millis(r.random.IntN(int(simulatedInterval))),
		}
		r.vms = append(r.vms, v)
	}
	r.random.Shuffle(l.VMs, func(i, j int) { r.vms[i].side, r.vms[j].side = r.vms[j].side, r.vms[i].side })
	for i, v := range r.vms {
		v.limiter = newLimiter(r.clock.Clock(), Tolerance{Fraction: 0.1, Slack: 20, Window: 5})
		v.limiter.region = fmt.Sprint(v.region)
		v.limiter.vmCountFunc, v.limiter.processFunc = func() int { return l.VMs }, func() uint64 { return uint64(i + 1) }
		v.limiter.roleFunc = func() gossip.Role { return r.role(v) }
		v.limiter.regionGossipFunc = func() { v.urgent = true }
		v.limiter.gossipFunc = func() { v.urgent, v.farUrgent = true, true }
		v.limiter.accountFunc = func(name string) (catalog.Account, bool) { return accounts[name], true }
		v.limiter.createBuckets(accounts)
	}
	return r
}

// isCut reports whether messages between two VMs are lost at this time.
func (r *partitionRun) isCut(from, to *partitionVM) bool {
	cut := r.now >= r.load.Split && r.now < r.load.Heal && from.side != to.side && (!r.load.OneWay || to.side)
	return cut || from.dead || to.dead
}

// nodes returns the VMs as one of them sees them. A cut one way shows itself on both sides: a
// VM that gets no answer takes the other one for down.
func (r *partitionRun) nodes(v *partitionVM) []overlay.Node {
	apart := r.now >= r.load.Split+detectionTime+v.lag && r.now < r.load.Heal+v.lag
	out := make([]overlay.Node, 0, len(r.vms))
	for _, other := range r.vms {
		n := other.node
		n.Down = other.dead && r.now > detectionTime+v.lag || apart && other.side != v.side
		out = append(out, n)
	}
	return out
}

func (r *partitionRun) role(v *partitionVM) gossip.Role {
	if !overlay.UsesRelays(len(r.vms)) {
		return gossip.Equal
	}
	for _, name := range overlay.Relays(r.nodes(v), v.node.Zone) {
		if name == v.node.Name {
			return gossip.Relay
		}
	}
	return gossip.Follower
}

// step advances the time by a millisecond, delivers the messages that are due and runs the
// rounds that are.
func (r *partitionRun) step() {
	r.now++
	r.clock.Advance(1)
	for _, m := range r.messages[r.now] {
		if r.isCut(m.from, m.to) {
			continue
		}
		first := m.g.Scope == inner.ScopeVM
		if !first {
			relays := overlay.Relays(r.nodes(m.to), m.from.node.Zone)
			first = len(relays) > 0 && relays[0] == m.from.node.Name
		}
		m.to.limiter.mergeGossip(m.g, first)
	}
	delete(r.messages, r.now)
	for _, v := range r.vms {
		if since := r.now - v.lastRound; !v.dead && (since >= simulatedInterval || v.urgent && since >= simulatedMinInterval) {
			r.round(v)
		}
	}
}

// contents holds the scope of the messages of each content.
var contents = map[overlay.Content]inner.Scope{overlay.Own: inner.ScopeVM, overlay.Zone: inner.ScopeZone, overlay.Summary: inner.ScopeAll}

// round sends the messages of one VM. Those to the other region are sent less often.
func (r *partitionRun) round(v *partitionVM) {
	v.limiter.beginRound()
	far := v.farUrgent || r.now-v.lastFar >= simulatedFarInterval
	v.lastRound, v.urgent, v.farUrgent = r.now, false, false
	if far {
		v.lastFar = r.now
	}
	nodes := r.nodes(v)
	relays := overlay.Relays(nodes, v.node.Zone)
	sent := map[overlay.Content]inner.Gossip{}
	for _, t := range overlay.Targets(v.node.Name, nodes) {
		var to *partitionVM
		for _, other := range r.vms {
			if other.node.Name == t.Name {
				to = other
			}
		}
		if to.region != v.region && !far {
			continue
		}
		if _, ok := sent[t.Content]; !ok {
			sent[t.Content] = r.content(v, contents[t.Content], relays)
		}
		at := r.now + simulatedDelay
		r.messages[at] = append(r.messages[at], partitionMessage{from: v, to: to, g: sent[t.Content]})
	}
}

// content returns the message of a VM for a scope, as gossipFor does.
func (r *partitionRun) content(v *partitionVM, s inner.Scope, relays []string) inner.Gossip {
	g := inner.Gossip{From: v.node.Name, Process: v.limiter.processFunc(), Scope: s, Zone: v.node.Zone, Region: v.limiter.region}
	if s != inner.ScopeZone || relays[0] == v.node.Name {
		g.Covered, g.Known = v.limiter.coverage(s)
		g.Usages = v.limiter.usages(s)
	}
	return g
}

// partitionResult is what callers of one account got: when operations were served, and counts
// before contact is restored and after.
type partitionResult struct {
	served        []clock.Millis
	during, after partitionCounts
}

// partitionCounts counts the operations that were served, those that one token bucket would have
// served (due), and those of them that were refused (lost).
type partitionCounts struct{ served, due, lost int }

func (c partitionCounts) lostShare() float64 { return float64(c.lost) / float64(max(c.due, 1)) }

func (c partitionCounts) servedShare() float64 { return float64(c.served) / float64(max(c.due, 1)) }

// run runs the load and returns the result of each account.
func (r *partitionRun) run() []partitionResult {
	l := r.load
	out, tokens := make([]partitionResult, len(l.Accounts)), make([]float64, len(l.Accounts))
	for i, a := range l.Accounts {
		tokens[i] = a.Burst
	}
	for r.now < l.Length {
		r.step()
		for i, a := range l.Accounts {
			tokens[i] = min(tokens[i]+a.Rate/1000, a.Burst)
			demand := a.Demand / 1000
			for r.now >= l.QuietStart && r.random.Float64() < 1-1/(1+demand*max(a.Factor, 1)) {
				v := r.vms[r.random.IntN(len(r.vms))]
				surge := r.now >= a.Surge && r.now < a.Calm && (a.Where != "side" || v.side)
				if v.dead || a.Factor > 1 && !surge && r.random.Float64()*a.Factor > 1 {
					continue
				}
				r.take(v, a, &tokens[i], &out[i])
			}
		}
	}
	return out
}

// take takes an operation at a VM and records the result beside that of one token bucket.
func (r *partitionRun) take(v *partitionVM, a partitionAccount, tokens *float64, out *partitionResult) {
	counts := &out.during
	if r.now >= r.load.Heal {
		counts = &out.after
	}
	ok := v.limiter.take(catalog.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst}, 0)
	if ok {
		out.served = append(out.served, r.now)
		counts.served++
	}
	if *tokens < 1 {
		return
	}
	*tokens--
	counts.due++
	if !ok {
		counts.lost++
	}
}

// TestPartition plays partitions between VMs. It guards against sides that each spend the whole
// rate of an account, and against refusals of accounts within their rate because one side is
// charged with what the other has spent.
func TestPartition(t *testing.T) {
	var loads []partitionLoad
	scripted.Read(t, "testdata/partition.yaml", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				for i, got := range newPartitionRun(l, seed).run() {
					a := l.Accounts[i]
					allowed := (a.Rate*5+a.Burst)*1.1 + 20
					most := float64(mostInWindow(got.served))
					t.Logf("seed %d, %s: at most %.0f operations in a window (%.0f allowed); until contact and after it %.3f and %.3f of due refused, %.3f and %.3f served",
						seed, a.Name, most, allowed, got.during.lostShare(), got.after.lostShare(), got.during.servedShare(), got.after.servedShare())
					if most > allowed {
						t.Errorf("seed %d, %s: %.0f operations in a window, want at most %.0f", seed, a.Name, most, allowed)
					}
					if a.Served == 0 && (got.during.lostShare() > a.During || got.after.lostShare() > a.After) {
						t.Errorf("seed %d, %s: %.3f of what was due refused until contact and %.3f after it, want at most %g and %g",
							seed, a.Name, got.during.lostShare(), got.after.lostShare(), a.During, a.After)
					}
					if got.during.servedShare() < a.Served || got.after.servedShare() < a.Later {
						t.Errorf("seed %d, %s: served %.3f of what was due until contact and %.3f after it, want %g and %g",
							seed, a.Name, got.during.servedShare(), got.after.servedShare(), a.Served, a.Later)
					}
				}
			}
		})
	}
}
