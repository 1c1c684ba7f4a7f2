package database

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/failover"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// fakeGroup is an in-memory database group with primary p and replicas q and r.
type fakeGroup struct {
	mu sync.Mutex
	// slots is the number of statements that a server runs at once; it refuses more
	// as busy. 0 means any number. latency is how long each statement runs.
	slots   int
	latency time.Duration
	// overshootFunc, if set, returns by how much the next statement takes longer.
	overshootFunc func() time.Duration
	// running counts the statements in flight by server; refused and served count the
	// statements that were refused as busy and that ran.
	running map[string]int
	refused int
	served  int
	// busy makes the servers refuse status queries as busy.
	busy bool
	// accounts counts the connections that were opened, by account.
	accounts map[string]int
	// maxConns is the number of connections that a server accepts, 0 for any number;
	// open counts the open ones, refusedConns the refused ones.
	maxConns     int
	open         map[string]int
	refusedConns int
	// position is the log position in the answers to statements; zero means none.
	position floor.ReplicationPosition
	// claimReads counts the reads of the claim record.
	claimReads int
	// claimable lets a VM take the claim. sealed lists the server of each seal command,
	// promoted that of each promotion request.
	claimable bool
	sealed    []string
	promoted  []string
	// directoryFunc is called when a claim rereads the directory.
	directoryFunc func()
	// unsealFunc is called when a server is unsealed.
	unsealFunc func()
	// steppedDown is set once p has stepped down. unreachable names the servers that answer
	// no command, and logEnds holds the ends of the servers' logs, 1 for one without an entry.
	steppedDown bool
	unreachable map[string]bool
	logEnds     map[string]floor.Position
	// leading names the server that leads term 2, if there is one; leaderStopped is set once it
	// has stepped down.
	leading       string
	leaderStopped bool
	// sealedNow holds the term of each seal in force, by server. restart ends it.
	sealedNow map[string]floor.Term
	// sealDelays holds how late a server gets a seal command. commits, if set, is the number of commits so far:
	// one follows the first seal, and the replica that is not sealed receives it.
	sealDelays map[string]time.Duration
	commits    floor.Position
	// promoteFunc is called, with the lock, at each promotion request, which is answered with
	// promoteErr.
	promoteFunc func()
	promoteErr  error
}

func (f *fakeGroup) protocol() Protocol {
	return Protocol{
		DialFunc: func(_ context.Context, s Server, account string) (*Conn, floor.ReplicationPosition, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.maxConns > 0 && f.open[s.ID] >= f.maxConns {
				f.refusedConns++
				return nil, floor.ReplicationPosition{}, &RefusalError{Code: statement.TooManyConnections, Detail: "full"}
			}
			f.open[s.ID]++
			f.accounts[account]++
			return &Conn{
				RunFunc: func(Request) (statement.Answer, error) { return f.run(s), nil },
				CommandFunc: func(c Command, term floor.Term, _ clock.Millis) (statement.ReplicationStatus, error) {
					return f.command(s, c, term)
				},
				CloseFunc: func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.open[s.ID]--
				},
			}, floor.ReplicationPosition{}, nil
		},
		RollbackFunc: func() string { return "ROLLBACK" },
	}
}

func (f *fakeGroup) run(s Server) statement.Answer {
	f.mu.Lock()
	if f.slots > 0 && f.running[s.ID] >= f.slots {
		f.refused++
		f.mu.Unlock()
		return statement.Refuse(statement.Busy, s.ID, statement.Idle)
	}
	f.running[s.ID]++
	latency := f.latency
	if f.overshootFunc != nil {
		latency += f.overshootFunc()
	}
	f.mu.Unlock()
	time.Sleep(latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[s.ID]--
	f.served++
	a := statement.LocalSuccess(statement.Idle)
	a.Position = f.position
	return a
}

// command answers a command. A status always has term 1, with p as the primary until it
// steps down, so an attempt that has promoted a server waits for the new term until its
// timeout.
func (f *fakeGroup) command(s Server, c Command, term floor.Term) (statement.ReplicationStatus, error) {
	if c == Seal {
		time.Sleep(f.sealDelays[s.ID])
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy && c == QueryStatus {
		return statement.ReplicationStatus{}, &RefusalError{Code: statement.Busy, Detail: "busy"}
	}
	if f.unreachable[s.ID] && c != QueryStatus {
		return statement.ReplicationStatus{}, errors.New("no answer")
	}
	if c == StepDown && s.ID == "p" {
		f.steppedDown = true
	}
	leads := f.leading == s.ID
	if c == StepDown && leads {
		f.leaderStopped = true
	}
	status := statement.ReplicationStatus{Primary: s.ID == "p" && !f.steppedDown, Term: 1, Sealed: 1, Received: floor.ReplicationPosition{Term: 1, Position: f.logEnd(s.ID)}}
	if c == Unseal {
		delete(f.sealedNow, s.ID)
		if f.unsealFunc != nil {
			f.unsealFunc()
		}
	}
	if c == Seal {
		f.sealed = append(f.sealed, s.ID)
		if !status.Primary {
			f.sealedNow[s.ID] = term
			if f.commits > 0 {
				f.logEnds[s.ID] = f.commits
				if len(f.sealedNow) == 1 {
					f.commits++
				}
			}
		}
	}
	if sealed, ok := f.sealedNow[s.ID]; ok {
		status.Sealed = sealed
	}
	if leads {
		status = statement.ReplicationStatus{Primary: !f.leaderStopped, Term: 2, Sealed: 2, Received: floor.ReplicationPosition{Term: 2, Position: f.logEnd(s.ID)}}
	}
	return status, nil
}

func (f *fakeGroup) logEnd(server string) floor.Position {
	if end, ok := f.logEnds[server]; ok {
		return end
	}
	return max(f.commits, 1)
}

// restart starts a server again, with the given end of its log. Its seal is gone.
func (f *fakeGroup) restart(server string, end floor.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restartLocked(server, end)
}

func (f *fakeGroup) restartLocked(server string, end floor.Position) {
	delete(f.sealedNow, server)
	f.logEnds[server] = end
}

// group returns a group of the fake's servers, to each of which this VM may open maxConns
// connections.
func (f *fakeGroup) group(t testing.TB, maxConns int) *Group {
	t.Helper()
	f.running, f.accounts, f.open = map[string]int{}, map[string]int{}, map[string]int{}
	f.sealedNow = map[string]floor.Term{}
	if f.logEnds == nil {
		f.logEnds = map[string]floor.Position{}
	}
	g := NewGroup(Options{
		Name: "g", Clock: clock.System(), Log: log.New(io.Discard), Protocol: f.protocol(), Counters: NewCounters(), SyncReplicas: 1,
		MaxConnsFunc: func(Server) int { return maxConns }, HolderCountFunc: func(Server) int { return 1 }, MaxIdleFunc: func(Server) int { return 2 }, Self: "vm", LiveVMsFunc: func() []string { return []string{"vm"} },
		ExpectedVMCountFunc: func() int { return 1 }, RefreshVMsFunc: func(context.Context) error { return nil },
		ProbersFunc: func() []string { return []string{"vm"} }, CandidatesFunc: func() []string { return nil }, RegionGossipFunc: func() {},
		RestoredAtFunc: func() clock.Millis { return clock.DistantPast },
		GossipFunc:     func() {}, StoppingFunc: func() bool { return false },
		Claims: ClaimStore{ReadFunc: func(context.Context, string) (failover.Claim, uint64, clock.Millis, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.claimReads++
			if f.claimable {
				return failover.Claim{}, 0, 0, nil
			}
			return failover.Claim{}, 0, 0, ErrClaimTaken
		}, WriteFunc: func(_ context.Context, _ string, _ failover.Claim, version uint64) (uint64, error) {
			return version + 1, nil
		}, PromoteFunc: func(_ context.Context, _, server, _ string, _ uint64) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.promoted = append(f.promoted, server)
			if f.promoteFunc != nil {
				f.promoteFunc()
			}
			return f.promoteErr
		}},
		RefreshDirectoryFunc: func(context.Context) error {
			if f.directoryFunc != nil {
				f.directoryFunc()
			}
			return nil
		},
	})
	g.Update([]Server{{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2}})
	return g
}

// runTicks calls Tick until done returns true or timeout has passed, then waits for
// the tasks that Tick started.
func (f *fakeGroup) runTicks(g *Group, timeout time.Duration, done func() bool) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for end := time.Now().Add(timeout); time.Now().Before(end) && !done(); time.Sleep(20 * time.Millisecond) {
		g.Tick(context.Background(), func(task func()) {
			tasks.Add(1)
			go func() {
				defer tasks.Done()
				task()
			}()
		})
	}
}
