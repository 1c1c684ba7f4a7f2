package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// In any window, all VMs together may run at most
// (rate*window + burst)*(1+excess) + slack operations.
const (
	window        = 5 * clock.Second
	excess        = 0.1
	slack         = 20.0
	roundInterval = clock.Millis(300)
	// minRoundInterval is the least time between two rounds of a VM, urgent ones too.
	minRoundInterval = clock.Millis(60)
	messageDelay     = clock.Millis(20)
	runLength        = 20 * clock.Second
)

// load is a test case of loads.yaml, which describes the fields.
type load struct {
	Name    string       `yaml:"name"`
	Rate    float64      `yaml:"rate"`
	Burst   float64      `yaml:"burst"`
	VMs     int          `yaml:"vms"`
	Demand  float64      `yaml:"demand"`
	Skew    float64      `yaml:"skew"`
	Factor  float64      `yaml:"factor"`
	Surge   clock.Millis `yaml:"surge"`
	Calm    clock.Millis `yaml:"calm"`
	Cut     clock.Millis `yaml:"cut"`
	Heal    clock.Millis `yaml:"heal"`
	Start   clock.Millis `yaml:"start"`
	Delay   clock.Millis `yaml:"delay"`
	Served  float64      `yaml:"served"`
	Refused *int         `yaml:"refused"`
}

// message is a message in flight, due at the time at. It has no report if the account is
// idle.
type message struct {
	at     clock.Millis
	from   int
	report Report
	idle   bool
}

// run runs a load and returns the times at which operations were served, how many
// were refused, and how many one token bucket would have served.
func (l load) run(seed uint64) (served []clock.Millis, refused, due int) {
	random := rand.New(rand.NewPCG(seed, 1))
	tolerance := (excess*(l.Rate*window.Duration().Seconds()+l.Burst) + slack) / window.Duration().Seconds()
	buckets := make([]Bucket, l.VMs)
	for i := range buckets {
		buckets[i] = New(l.Rate, l.Burst, 0).WithVMs(l.VMs, tolerance)
	}
	var messages []message
	contacts := make([]map[string]Contact, l.VMs)
	for i := range contacts {
		contacts[i] = map[string]Contact{}
	}
	reported, lastRound, urgent := make([]uint64, l.VMs), make([]clock.Millis, l.VMs), make([]bool, l.VMs)
	tokens := l.Burst * initialFill
	for now := clock.Millis(0); now < runLength; now++ {
		tokens = min(tokens+l.Rate/1000, l.Burst)
		messages = l.deliver(buckets, contacts, messages, now)
		for i := range buckets {
			regular := (now+clock.Millis(i)*roundInterval/clock.Millis(l.VMs))%roundInterval == 0
			if regular || urgent[i] && now-lastRound[i] >= minRoundInterval {
				b := buckets[i].WithContacts(latestOf(contacts[i]), func(name string) Contact { return contacts[i][name] }, now)
				b, r := b.WithReach(l.reach(contacts[i], now), now-nearTimeout, now).WithRound(now)
				r.Process = 1
				m := message{at: now + max(l.Delay, messageDelay), from: i, report: r, idle: b.Idle(now) && reported[i] == r.Spent}
				buckets[i], reported[i], lastRound[i], urgent[i] = b, r.Spent, now, false
				messages = append(messages, m)
			}
		}
		// The demand starts once the VMs have had time to receive messages.
		for now >= max(l.Start, clock.Second) && random.Float64() < l.demandAt(now)/1000 {
			i := l.randomVM(random)
			if tokens >= 1 {
				tokens--
				due++
			}
			b, ok := buckets[i].WithTake(0, now)
			buckets[i], urgent[i] = b, b.RoundUrgent(reported[i])
			if ok {
				served = append(served, now)
			} else {
				refused++
			}
			if l.demandAt(now) < 1000 {
				break
			}
		}
	}
	return served, refused, due
}

// demandAt returns the demand at now, in operations per second.
func (l load) demandAt(now clock.Millis) float64 {
	if l.Factor > 0 && now >= l.Surge && now < l.Calm {
		return l.Demand * l.Factor
	}
	return l.Demand
}

// randomVM returns the VM that gets the next operation.
func (l load) randomVM(random *rand.Rand) int {
	if random.Float64() < l.Skew {
		return 0
	}
	return random.IntN(l.VMs)
}

// latestOf returns the time of the last message, or the distant past if there was none.
func latestOf(contacts map[string]Contact) clock.Millis {
	latest := -SilenceTimeout
	for _, c := range contacts {
		latest = max(latest, c.Last)
	}
	return latest
}

// reach returns the VMs that a VM with these contacts reaches, as a part of all. Before the
// first messages it reaches all.
func (l load) reach(contacts map[string]Contact, now clock.Millis) float64 {
	if now < clock.Second {
		return 1
	}
	reached := 1
	for _, c := range contacts {
		if c.InReach(now) {
			reached++
		}
	}
	return float64(reached) / float64(l.VMs)
}

// deliver delivers the messages that are due and returns the rest.
func (l load) deliver(buckets []Bucket, contacts []map[string]Contact, messages []message, now clock.Millis) []message {
	pending := messages[:0]
	cut := now >= l.Cut && now < l.Heal
	for _, m := range messages {
		if m.at > now {
			pending = append(pending, m)
			continue
		}
		for i := range buckets {
			if i == m.from || cut && (i == 0 || m.from == 0) {
				continue
			}
			name := fmt.Sprintf("vm%d", m.from)
			c, known := contacts[i][name]
			if !known {
				c.Joined, c.Last = now, now
			}
			c = c.WithMessage(false, now)
			contacts[i][name] = c
			if !m.idle {
				m.report.Joined, m.report.Weight = c.Joined, 1/float64(l.VMs)
				buckets[i] = buckets[i].WithReach(l.reach(contacts[i], now), now, now).WithReport(name, m.report, now)
			}
		}
	}
	return pending
}

// maxInWindow returns the most operations served in any window.
func maxInWindow(served []clock.Millis) int {
	best, first := 0, 0
	for i, at := range served {
		for served[first] <= at-window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// TestLoads plays loads and checks that the callers are served and the limit is kept.
func TestLoads(t *testing.T) {
	var loads []load
	scripted.Read(t, "testdata/loads.yaml", &loads)
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			for seed := range uint64(5) {
				served, refused, due := l.run(seed)
				allowed := (l.Rate*window.Duration().Seconds()+l.Burst)*(1+excess) + slack
				if got := maxInWindow(served); float64(got) > allowed {
					t.Errorf("seed %d: %d operations in a window of %d ms, want at most %g", seed, got, window, allowed)
				}
				if share := float64(len(served)) / float64(due); share < l.Served {
					t.Errorf("seed %d: served %.3f of %d due, want %.2f", seed, share, due, l.Served)
				}
				if l.Refused != nil && refused > *l.Refused {
					t.Errorf("seed %d: %d operations refused, want at most %d", seed, refused, *l.Refused)
				}
			}
		})
	}
}

// TestReturn checks that an operation that did not run can be taken again.
func TestReturn(t *testing.T) {
	// The bucket starts with one token, half of its burst.
	b := New(1, 2, 0)
	b, first := b.WithTake(0, 0)
	b, second := b.WithTake(0, 0)
	b = b.WithReturn(0)
	_, third := b.WithTake(0, 0)
	if diff := cmp.Diff([]bool{true, false, true}, []bool{first, second, third}); diff != "" {
		t.Errorf("taken (-want +got):\n%s", diff)
	}
}

// TestAlone checks that a VM that receives no reports spends no more than its share of
// the tokens at the start and of the tolerance.
func TestAlone(t *testing.T) {
	b := New(100, 100, 0).WithVMs(5, 10)
	b, _ = b.WithRound(0)
	count := 0
	for now := clock.Millis(0); now < 20*clock.Second; now += 5 {
		var ok bool
		if now%roundInterval == 0 {
			b, _ = b.WithRound(now)
		}
		if b, ok = b.WithTake(0, now); ok {
			count++
		}
	}
	// One of five VMs gets a fifth of half a burst at the start, then a fifth of 10 a
	// second, and one more.
	if want := 10 + 20*2 + 1; count > want {
		t.Errorf("%d operations ran in 20 s, want at most %d", count, want)
	}
}

// TestLimitChanges checks that a higher burst adds its difference at once, that a lower one
// removes the tokens above it, and that a change of the rate or the burst alone takes effect.
func TestLimitChanges(t *testing.T) {
	b := New(10, 20, 0)
	got := []float64{b.tokens, b.WithLimit(10, 30, 0).tokens, b.WithLimit(10, 4, 0).tokens, b.WithLimit(5, 20, 0).rate}
	if diff := cmp.Diff([]float64{10, 20, 4, 5}, got); diff != "" {
		t.Errorf("tokens, with a higher and a lower burst, and the lower rate (-want +got):\n%s", diff)
	}
	full := b
	full.credit = 8
	if diff := cmp.Diff(4.0, full.WithLimit(10, 4, 0).credit); diff != "" {
		t.Errorf("credit with a lower burst (-want +got):\n%s", diff)
	}
}

// TestReturnsAreBounded checks that operations that are returned do not fill a bucket above
// its burst, nor the credit above the tokens.
func TestReturnsAreBounded(t *testing.T) {
	b := New(10, 20, 0)
	b.tokens, b.credit, b.spent = 20, 20, 1
	b = b.WithReturn(0).WithReturn(0)
	got := []float64{b.tokens, b.credit, float64(b.spent)}
	if diff := cmp.Diff([]float64{20, 20, 0}, got); diff != "" {
		t.Errorf("tokens, credit and spent (-want +got):\n%s", diff)
	}
}

// TestParts checks that the parts of two sides that lose each other add up to the bucket, although
// both spent from the whole before they noticed, and that they are added up again afterwards.
func TestParts(t *testing.T) {
	sides := [2]Bucket{New(100, 200, 0).WithVMs(4, 0), New(100, 200, 0).WithVMs(4, 0)}
	weights := [2]float64{0.25, 0.75}
	for i := range sides {
		// The last message came at 300 ms, when the bucket had 130 tokens.
		for now := clock.Millis(0); now <= 1300; now += 100 {
			sides[i] = sides[i].advance(now)
			if now == 600 {
				sides[i] = sides[i].charge(20*float64(i+1), now)
			}
		}
		sides[i] = sides[i].WithReach(weights[i], 300, 1300)
	}
	// 130 tokens and those of a second, less 20 and 40 operations.
	if diff := cmp.Diff(170.0, sides[0].tokens+sides[1].tokens, cmpopts.EquateApprox(0, 1e-6)); diff != "" {
		t.Errorf("tokens of both sides (-want +got):\n%s", diff)
	}
	_, r := sides[1].WithRound(1300)
	r.Process, r.Weight, r.Joined = 2, weights[1], 1300
	whole := sides[0].WithReach(1, 1300, 1300).WithReport("others", r, 1300)
	if diff := cmp.Diff(170.0, whole.tokens, cmpopts.EquateApprox(0, 1e-6)); diff != "" {
		t.Errorf("tokens once contact is restored (-want +got):\n%s", diff)
	}
}
