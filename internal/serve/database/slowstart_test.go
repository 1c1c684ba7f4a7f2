package database

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// sentLog records when statements reach the servers of a fakeGroup. While down names a server, it
// accepts no connections and ends the statements that it gets with an error.
type sentLog struct {
	mu   sync.Mutex
	sent map[string][]time.Time
	down string
}

// group returns a group of f whose statements the log records.
func (l *sentLog) group(t *testing.T, f *fakeGroup) *Group {
	g := f.group(t, 12)
	l.sent = map[string][]time.Time{}
	dial := g.options.Protocol.DialFunc
	g.options.Protocol.DialFunc = func(ctx context.Context, s Server, account string) (*Conn, floor.ReplicationPosition, error) {
		if l.isDown(s.ID) {
			return nil, floor.ReplicationPosition{}, errors.New("refused")
		}
		c, position, err := dial(ctx, s, account)
		if err != nil {
			return nil, position, err
		}
		run := c.RunFunc
		c.RunFunc = func(r Request) (statement.Answer, error) {
			l.mu.Lock()
			l.sent[s.ID] = append(l.sent[s.ID], time.Now())
			l.mu.Unlock()
			if l.isDown(s.ID) {
				return statement.Answer{}, errors.New("the connection ended")
			}
			return run(r)
		}
		return c, position, nil
	}
	return g
}

func (l *sentLog) isDown(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down == server
}

func (l *sentLog) setDown(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = server
}

// mostInSecond returns the most statements that a server got in any second.
func (l *sentLog) mostInSecond(server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, first := 0, 0
	for i, at := range l.sent[server] {
		for at.Sub(l.sent[server][first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (l *sentLog) count(server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent[server])
}

// loadServer lets callers send statements to a server for a time, each in transactions of two. It
// returns how many were refused, and how many of these only after half of their wait.
func loadServer(p *pool, callers int, duration time.Duration) (refused, late int) {
	const wait = 400
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for range callers {
		all.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				conn, err := p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, wait)
				if err != nil {
					mu.Lock()
					refused++
					if time.Since(began) > wait/2*time.Millisecond {
						late++
					}
					mu.Unlock()
					time.Sleep(7 * time.Millisecond)
					continue
				}
				for range 2 {
					if _, err := conn.Run(Request{ID: "x", Timeout: 3000}); err != nil {
						conn.MarkBroken()
						break
					}
				}
				conn.Release()
			}
		})
	}
	all.Wait()
	return refused, late
}

// TestColdServer guards against more statements to a cold server than this VM's share, those inside
// transactions included, against waits whose refusal is known at once, and against a limit that
// stays in force on a warm server.
func TestColdServer(t *testing.T) { synctest.Test(t, playColdServer) }

func playColdServer(t *testing.T) {
	f, l := &fakeGroup{slots: 2, latency: 4 * time.Millisecond}, &sentLog{}
	g := l.group(t, f)
	share := 5
	var until atomic.Int64
	until.Store(int64(g.options.Clock.Now() + 60*clock.Second))
	g.options.ColdFunc = func(s Server) Cold {
		if s.ID == "q" {
			return Cold{Limited: true, Until: clock.Millis(until.Load())}
		}
		return Cold{}
	}
	g.options.ColdShareFunc = func(Server) int { return share }
	f.runTicks(g, testTimeout, g.Ready)
	refused, late := loadServer(g.pools["q"], 10, 3500*time.Millisecond)
	if most, n := l.mostInSecond("q"), l.count("q"); most > share || n < 3*share {
		t.Errorf("%d statements in a second and %d together, want at most %d and at least %d", most, n, share, 3*share)
	}
	if late*10 > refused {
		t.Errorf("%d of %d refusals came late, want at most a tenth", late, refused)
	}
	tried := map[string]bool{}
	conn, err := g.AcquireReader(context.Background(), ReadRequest{Requester: Requester{Account: "acme", Weight: 1}, Tried: tried, Wait: 100})
	if err != nil || tried["q"] {
		t.Errorf("a read went to %v (%v), want a server that is not cold", tried, err)
	} else {
		conn.Release()
	}
	share = 0
	if _, err := g.pools["q"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 400); !errors.Is(err, ErrPoolTimeout) {
		t.Errorf("without a share: %v, want a refusal", err)
	}
	until.Store(0)
	before := l.count("q")
	loadServer(g.pools["q"], 10, time.Second)
	if n := l.count("q") - before; n < 200 {
		t.Errorf("%d statements in a second once warm, want at least 200", n)
	}
}

// TestReturnedServer guards against a server that was gone and may have started anew, but gets full
// load before a later read of the directory says that it is warm.
func TestReturnedServer(t *testing.T) { synctest.Test(t, playReturnedServer) }

func playReturnedServer(t *testing.T) {
	f, l := &fakeGroup{slots: 2, latency: 4 * time.Millisecond}, &sentLog{}
	g := l.group(t, f)
	var readAt, reads atomic.Int64
	g.options.ColdFunc = func(Server) Cold { return Cold{Limited: true, ReadAt: clock.Millis(readAt.Load())} }
	g.options.ColdShareFunc = func(Server) int { return 5 }
	f.directoryFunc = func() {
		reads.Add(1)
		readAt.Store(int64(g.options.Clock.Now()))
	}
	f.runTicks(g, testTimeout, g.Ready)
	p := g.pools["q"]
	loadServer(p, 10, time.Second)
	l.setDown("q")
	loadServer(p, 10, time.Second)
	l.setDown("")
	l.mu.Lock()
	l.sent["q"] = nil
	l.mu.Unlock()
	loadServer(p, 10, 1400*time.Millisecond)
	if most, n := l.mostInSecond("q"), l.count("q"); most > 5 || n < 5 {
		t.Errorf("%d statements in a second and %d together, want at most 5 and at least 5", most, n)
	}
	f.runTicks(g, time.Second, func() bool { return reads.Load() > 0 })
	if n := reads.Load(); n != 1 {
		t.Errorf("the directory was read %d times after the return, want 1", n)
	}
	before := l.count("q")
	loadServer(p, 10, time.Second)
	if n := l.count("q") - before; n < 200 {
		t.Errorf("%d statements in the second after the read, want at least 200", n)
	}
}

// TestFailedServer guards against a server that gets full load while it fails or is left idle when
// it is back, without any stated limit.
func TestFailedServer(t *testing.T) { synctest.Test(t, playFailedServer) }

func playFailedServer(t *testing.T) {
	f, l := &fakeGroup{slots: 2, latency: 4 * time.Millisecond}, &sentLog{}
	g := l.group(t, f)
	f.runTicks(g, testTimeout, g.Ready)
	p := g.pools["q"]
	loadServer(p, 10, time.Second)
	l.setDown("q")
	failed := g.options.Counters.dials[dialForStatement][dialFailed].Get()
	loadServer(p, 10, 2*time.Second)
	if n := g.options.Counters.dials[dialForStatement][dialFailed].Get() - failed; n > 15 {
		t.Errorf("%d connections were tried in two seconds, want at most 15", n)
	}
	l.setDown("")
	time.Sleep(maxPause)
	before := l.count("q")
	loadServer(p, 10, time.Second)
	if n := l.count("q") - before; n < 350 {
		t.Errorf("%d statements in the second after the return, want at least 350", n)
	}
}

// maxPause is longer than the pause between two attempts to reach a server.
const maxPause = 350 * time.Millisecond

// TestMarkRecovering guards against full load on a server of a zone whose evacuation was cancelled.
func TestMarkRecovering(t *testing.T) { synctest.Test(t, playMarkRecovering) }

func playMarkRecovering(t *testing.T) {
	f, l := &fakeGroup{latency: 4 * time.Millisecond}, &sentLog{}
	g := l.group(t, f)
	f.runTicks(g, testTimeout, g.Ready)
	loadServer(g.pools["q"], 10, time.Second)
	g.MarkRecovering("q")
	g.MarkRecovering("unknown")
	if r := g.pools["q"].slow.ramp; r.Reason() != slowstart.Resumed || r.Baseline() == 0 {
		t.Errorf("reason %q, baseline %g, want a slow start with a baseline", r.Reason(), r.Baseline())
	}
	before := l.count("q")
	began := time.Now()
	loadServer(g.pools["q"], 10, time.Millisecond)
	if at := l.sent["q"][before+1].Sub(began); at < f.latency {
		t.Errorf("the second statement was sent after %s, want it after the first answer", at)
	}
	loadServer(g.pools["q"], 10, time.Second)
	if r := g.pools["q"].slow.ramp; !r.Open() {
		t.Errorf("not open after a second: %+v", r.Figures(g.options.Clock.Now()))
	}
}

// TestSameProcess guards against the limit of a cold server for one that only was slow: it answers
// on a connection from before, so it has not started anew.
func TestSameProcess(t *testing.T) { synctest.Test(t, playSameProcess) }

func playSameProcess(t *testing.T) {
	f, l := &fakeGroup{slots: 2, latency: 4 * time.Millisecond}, &sentLog{}
	g := l.group(t, f)
	f.runTicks(g, testTimeout, g.Ready)
	g.options.ColdFunc = func(Server) Cold { return Cold{Limited: true} }
	g.options.ColdShareFunc = func(Server) int { return 1 }
	p := g.pools["q"]
	var conns [2]*PooledConn
	for i := range conns {
		var err error
		if conns[i], err = p.acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 400); err != nil {
			t.Fatal(err)
		}
		_, _ = conns[i].Run(Request{ID: "x", Timeout: 1000})
	}
	time.Sleep(time.Second)
	l.setDown("q")
	_, _ = conns[0].Run(Request{ID: "x", Timeout: 1000})
	conns[0].Release()
	l.setDown("")
	_, _ = conns[1].Run(Request{ID: "x", Timeout: 1000})
	conns[1].Release()
	before := l.count("q")
	loadServer(p, 10, time.Second)
	if n := l.count("q") - before; n < 200 {
		t.Errorf("%d statements in a second, want at least 200", n)
	}
}

// TestTransactionAtReturnedServer guards against a transaction that cannot go on or commit after a
// server was silent for a moment, because this VM has no share of its limit if it is cold, although
// the connection shows that it has not started anew.
func TestTransactionAtReturnedServer(t *testing.T) {
	for name, c := range map[string]struct {
		left clock.Millis
		code statement.Code
	}{"warm": {0, statement.Success}, "cold": {60 * clock.Second, statement.Busy}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, l := &fakeGroup{}, &sentLog{}
				g := l.group(t, f)
				f.runTicks(g, testTimeout, g.Ready)
				until := g.options.Clock.Now() + c.left
				g.options.ColdFunc = func(Server) Cold { return Cold{Limited: true, Until: until} }
				g.options.ColdShareFunc = func(Server) int { return 0 }
				p := g.pools["p"]
				p.mu.Lock()
				pc := p.reserve()
				p.mu.Unlock()
				conn, err := p.dial(context.Background(), pc, "acme", dialForStatement)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				p.recordFailure()
				time.Sleep(100 * time.Millisecond)
				p.recordSuccess()
				if a, err := conn.Run(Request{ID: "x", Timeout: 1000}); err != nil || a.Code != c.code {
					t.Errorf("on the connection of before: %s, error %v, want %s", a.Code, err, c.code)
				}
				conn.Release()
			})
		})
	}
}
