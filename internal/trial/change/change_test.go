package change

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

const (
	routesSection = `routes:
  - {name: box, database: orders, kind: write, deadline: 10000}
`
	// sessionCount is the number of sessions of a load.
	sessionCount = 6
	// maxGap is the longest time allowed without an acknowledged write, in milliseconds.
	maxGap = 7 * clock.Second
	// waitTimeout bounds each wait of a test.
	waitTimeout = 60 * time.Second
	// changesVariable is the environment variable with the number of random changes.
	changesVariable = "SYCAMOREDOOR_CHANGES"
)

// startSystem starts three VMs and one database group, stops them at the end of the
// test and fails it if an invariant is violated.
func startSystem(t *testing.T) *system.System {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	ctx, cancel := context.WithCancel(context.Background())
	s, err := system.New(ctx, system.Options{
		Places:        []system.Place{{Zone: "abbotsford", Region: "mainland"}, {Zone: "chilliwack", Region: "mainland"}, {Zone: "kelowna", Region: "okanagan"}},
		Databases:     []string{"orders"},
		Servers:       backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, StatementTime: time.Millisecond, ApplyDelay: 30},
		Accounts:      []system.Account{{Name: "counter", Key: "jelly", Rate: 100000, Burst: 1000, Weight: 1}},
		RoutesSection: routesSection,
	})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := s.Wait(waitTimeout); err != nil {
			t.Error(err)
		}
	})
	return s
}

func waitUntil(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen in %v", event, waitTimeout)
		}
	}
}

// fault is a way to lose the primary: startFunc injects it, healFunc ends it.
type fault struct {
	name                string
	startFunc, healFunc func(g *backend.Group, primary *backend.Server)
}

// faults are the ways to lose the primary.
var faults = []fault{
	{
		// The server is down: its connections end and no new ones are accepted.
		"killed",
		func(_ *backend.Group, p *backend.Server) { p.SetDown(true) },
		func(_ *backend.Group, p *backend.Server) { p.SetDown(false) },
	},
	{
		// The server answers nobody and does not replicate.
		"isolated",
		func(g *backend.Group, p *backend.Server) { p.SetUnresponsive(true); partitionFromGroup(g, p, true) },
		func(g *backend.Group, p *backend.Server) { p.SetUnresponsive(false); partitionFromGroup(g, p, false) },
	},
	{
		// The server answers nobody, but replicates.
		"hidden",
		func(_ *backend.Group, p *backend.Server) { p.SetUnresponsive(true) },
		func(_ *backend.Group, p *backend.Server) { p.SetUnresponsive(false) },
	},
	{
		// The server answers, but does not replicate.
		"partitioned",
		func(g *backend.Group, p *backend.Server) { partitionFromGroup(g, p, true) },
		func(g *backend.Group, p *backend.Server) { partitionFromGroup(g, p, false) },
	},
}

// partitionFromGroup stops or restores replication between a server and all others.
func partitionFromGroup(g *backend.Group, p *backend.Server, partitioned bool) {
	for _, s := range g.Servers() {
		if s != p {
			g.SetPartitioned(p.Name(), s.Name(), partitioned)
		}
	}
}

// testPrimaryChange puts the system under load, makes the primary fail, waits for writes
// under a new one, ends the fault and checks every acknowledged write. It returns the
// longest time without an acknowledged write, in milliseconds.
func testPrimaryChange(t *testing.T, s *system.System, f fault, random *rand.Rand) clock.Millis {
	t.Helper()
	g := s.Groups["orders"]
	l := startLoad(s, random.Uint64())
	stopped := false
	defer func() {
		if !stopped {
			l.cancel()
			l.running.Wait()
		}
	}()
	waitUntil(t, "the first writes", func() bool { return l.acknowledgedCount() > sessionCount })
	time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	formerPrimary := g.Primary()
	f.startFunc(g, formerPrimary)
	waitUntil(t, "a new primary", func() bool { return g.Primary() != formerPrimary })
	countBefore := l.acknowledgedCount()
	waitUntil(t, "writes under the new primary", func() bool { return l.acknowledgedCount() > countBefore+sessionCount })
	f.healFunc(g, formerPrimary)
	waitUntil(t, "the former primary following the new one", func() bool { return allFollowPrimary(g) })
	l.cancel()
	l.running.Wait()
	stopped = true
	checkWrites(t, g, l)
	return l.longestGap()
}

// allFollowPrimary reports whether the primary is the leader of every server, also of
// itself.
func allFollowPrimary(g *backend.Group) bool {
	p := g.Primary()
	for _, s := range g.Servers() {
		if s.Leader() != p.Name() {
			return false
		}
	}
	return true
}

// checkWrites checks that no request was refused and no acknowledged write was lost.
func checkWrites(t *testing.T, g *backend.Group, l *load) {
	t.Helper()
	if diff := cmp.Diff([]string(nil), l.refusals); diff != "" {
		t.Errorf("refused requests (-want +got):\n%s", diff)
	}
	var lost []string
	for id := range l.acknowledged {
		if _, ok := g.Primary().Value("box", id); !ok {
			lost = append(lost, id)
		}
	}
	if diff := cmp.Diff([]string(nil), lost); diff != "" {
		t.Errorf("lost acknowledged writes (-want +got):\n%s", diff)
	}
}

// TestChangeOfPrimary makes the primary fail under load with each fault. The time without
// an acknowledged write must not exceed maxGap.
func TestChangeOfPrimary(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			gap := testPrimaryChange(t, startSystem(t), f, rand.New(rand.NewPCG(1, 1)))
			t.Logf("gap %d ms", gap)
			if gap > maxGap {
				t.Errorf("gap of %d ms is longer than %d ms", gap, maxGap)
			}
		})
	}
}

// TestStoreDown changes the primary by isolating it (faults[1]) while the platform's store
// is down.
func TestStoreDown(t *testing.T) {
	s := startSystem(t)
	s.Platform.SetDown(true)
	t.Logf("gap %d ms", testPrimaryChange(t, s, faults[1], rand.New(rand.NewPCG(2, 2))))
}

// TestStoreAnswerLost changes the primary by isolating it (faults[1]) while the platform's
// answers to writes are lost.
func TestStoreAnswerLost(t *testing.T) {
	s := startSystem(t)
	s.Platform.LoseWriteAnswers(1000)
	t.Logf("gap %d ms", testPrimaryChange(t, s, faults[1], rand.New(rand.NewPCG(3, 3))))
}

// TestZoneLost loses the first zone: it isolates the primary and stops vm1, the zone's
// only VM and the holder of the primary.
func TestZoneLost(t *testing.T) {
	s := startSystem(t)
	zoneLoss := faults[1]
	startFunc := zoneLoss.startFunc
	zoneLoss.startFunc = func(g *backend.Group, p *backend.Server) {
		startFunc(g, p)
		s.StopVM("vm1")
	}
	gap := testPrimaryChange(t, s, zoneLoss, rand.New(rand.NewPCG(5, 5)))
	t.Logf("gap %d ms", gap)
	if gap > maxGap {
		t.Errorf("gap of %d ms is longer than %d ms", gap, maxGap)
	}
}

// TestChangesInTurn changes the primary three times on one system, each time with a
// different fault. Each new primary fails soon after it began to acknowledge writes.
func TestChangesInTurn(t *testing.T) {
	s := startSystem(t)
	for i := range 3 {
		t.Logf("gap %d ms", testPrimaryChange(t, s, faults[i%len(faults)], rand.New(rand.NewPCG(4, uint64(i)))))
	}
}

// TestRandomChanges changes the primary with random faults, a quarter of the times with
// the platform's store down, each time on a new system. It makes three changes, or as
// many as changesVariable sets.
func TestRandomChanges(t *testing.T) {
	changes := 3
	if n, err := strconv.Atoi(os.Getenv(changesVariable)); err == nil {
		changes = n
	}
	gaps := make([]clock.Millis, 0, changes)
	for i := range changes {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			seed := uint64(i) + 100
			random := rand.New(rand.NewPCG(seed, seed))
			f := faults[random.IntN(len(faults))]
			s := startSystem(t)
			if random.IntN(4) == 0 {
				s.Platform.SetDown(true)
			}
			gap := testPrimaryChange(t, s, f, random)
			t.Logf("seed %d, %s: gap %d ms", seed, f.name, gap)
			gaps = append(gaps, gap)
		})
	}
	slices.Sort(gaps)
	if len(gaps) > 0 {
		n := len(gaps)
		t.Logf("%d changes: p50 %d ms, p99 %d ms, max %d ms", n, gaps[n/2], gaps[min(n*99/100, n-1)], gaps[n-1])
	}
}
