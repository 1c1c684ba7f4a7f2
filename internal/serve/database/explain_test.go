package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/fair"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
	"github.com/sycamoredoor/sycamoredoor/internal/core/window"
)

// drawGroup returns a group whose primary p, if it has one, is in region x and whose replicas q and
// r are in y, in a drawn state.
func drawGroup(t *rapid.T, g *Group) {
	now := g.options.Clock.Now()
	pick := rapid.IntRange(0, 2)
	g.options.DrainTimeout = clock.Second
	if pick.Draw(t, "drained") == 0 {
		g.leavingSince["p"] = now - 2*clock.Second
	}
	switch pick.Draw(t, "primary") {
	case 0:
		g.setWatch(g.watch.WithTerm(1, "p"))
	case 1:
		g.setWatch(g.watch.WithReport(tenure.Report{Term: 1, Leader: "p", ProvedAt: now}))
	}
	if pick.Draw(t, "doubted") == 0 {
		g.leaderDoubtedAt = now
	}
	for _, id := range []string{"p", "q", "r"} {
		p := g.pools[id]
		s := p.entry()
		s.Leaving = pick.Draw(t, "leaving "+id) == 0
		p.server.Store(&s)
		// Latencies decay with time, but equal ones remain so.
		p.latency, p.latencyAt = 1000*float64(pick.Draw(t, "latency "+id)), now+clock.Second
		p.remoteRunning = pick.Draw(t, "running "+id)
		g.positions[id] = floor.ReplicationPosition{Term: 1, Position: floor.Position(pick.Draw(t, "position "+id))}
		g.positionSeenAt[id] = clock.DistantPast
	}
}

// TestExplainedServer guards against an explanation that names another server than the one that is
// used, or another error, or that changes what is chosen next.
func TestExplainedServer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := regionalGroup(t)
		g.watch = tenure.New(1)
		drawGroup(rt, g)
		r := ReadRequest{
			Requester: Requester{Account: "acme", Regions: regions.Only(rapid.SampledFrom([][]string{nil, {"x"}, {"y"}, {"z"}}).Draw(rt, "regions"))},
			Floor:     floor.ReplicationPosition{Term: 1, Position: 1},
			Tried:     map[string]bool{"q": rapid.Bool().Draw(rt, "tried q")},
		}
		reader := g.ExplainReader(r)
		want := ""
		if p := g.chooseReader(r); p != nil {
			want = p.entry().ID
		}
		if d := cmp.Diff(want, reader.Server.ID); d != "" {
			rt.Fatalf("server of a read (-real +explained):\n%s", d)
		}
		if want == "" && reader.Err != g.noReaderError(r.Requester.Regions) {
			rt.Fatalf("error of a read: %v", reader.Err)
		}
		// This VM holds the connections itself, so that it needs a lease.
		primary := g.ExplainPrimary(r.Requester.Regions, true)
		conn, err := g.AcquirePrimary(t.Context(), r.Requester, 0)
		want = errorText(err)
		if err == nil {
			want = conn.Server().ID
			conn.Release()
		}
		got := primary.Server.ID
		if primary.Err != nil {
			got = primary.Err.Error()
		}
		if d := cmp.Diff(want, got); d != "" {
			rt.Fatalf("primary (-real +explained):\n%s", d)
		}
	})
}

// TestExplainedQueue guards against an expected wait or a refusal that differ from what a request
// meets in the queue, and against an explanation that joins it.
func TestExplainedQueue(t *testing.T) {
	for _, c := range []struct {
		waiting int
		wait    clock.Millis
		want    QueueState
	}{
		{0, 0, QueueState{Running: 2, Window: 2, ExpectedWait: 10, MaxOpen: 4}},
		{3, 1000, QueueState{Length: 3, Running: 2, Window: 2, ExpectedWait: 40, MaxOpen: 4}},
		{queueLimit, 60 * clock.Second, QueueState{Length: queueLimit, Running: 2, Window: 2, ExpectedWait: 10 * (queueLimit + 1), MaxOpen: 4, Err: ErrPoolTimeout}},
		{3, 50, QueueState{Length: 3, Running: 2, Window: 2, ExpectedWait: 40, MaxOpen: 4, Err: ErrPoolTimeout}},
	} {
		g := regionalGroup(t)
		p := g.pools["q"]
		// The window of one of 13 holders begins at 2.
		p.window, p.running, p.drainTime = window.New(13), 2, 10
		for range c.waiting {
			p.queue.Push(&fair.Item{Account: "acme", Weight: 1, Cost: 1, Value: &waiter{ready: make(chan *PooledConn, 1)}})
		}
		r := Requester{Account: "acme", Weight: 1}
		for range 2 {
			got, ok := g.ExplainQueue("q", r, c.wait)
			refused := got.Err != nil
			got.Err = nil
			want := c.want
			want.Err = nil
			if d := cmp.Diff(want, got); d != "" || !ok || refused != (c.want.Err != nil) {
				t.Errorf("%d waiting, refused %t (-want +got):\n%s", c.waiting, refused, d)
			}
		}
		if _, err := p.enqueue(r, c.wait); err != c.want.Err {
			t.Errorf("%d waiting: a request gets %v, want %v", c.waiting, err, c.want.Err)
		}
	}
}

// TestExplainedSlowServer guards against an explanation that sends a statement to a server that does
// not answer, or whose limit while it is cold is used up, although a request is refused at once.
func TestExplainedSlowServer(t *testing.T) {
	for name, slowFunc := range map[string]func(*pool){
		"down": func(p *pool) {
			p.answeredAt = clock.DistantPast
			p.recordFailure()
		},
		"cold": func(p *pool) {
			now := p.group.options.Clock.Now()
			p.group.options.ColdFunc = func(Server) Cold { return Cold{Limited: true, Until: now + 60*clock.Second} }
			p.group.options.ColdShareFunc = func(Server) int { return 1 }
			p.slow.quota = p.slow.quota.WithSent(now)
		},
	} {
		g := regionalGroup(t)
		p := g.pools["q"]
		slowFunc(p)
		r := Requester{Account: "acme", Weight: 1}
		got, ok := g.ExplainQueue("q", r, 10)
		_, err := p.enqueue(r, 10)
		if err == nil || !ok || got.Err != err {
			t.Errorf("%s: a request gets %v, explained as %v", name, err, got.Err)
		}
	}
}
