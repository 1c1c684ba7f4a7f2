package tenure

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// observation is what a VM learns in a step of a script.
type observation struct {
	Server   string         `yaml:"server"`
	Primary  bool           `yaml:"primary"`
	Term     floor.Term     `yaml:"term"`
	Sealed   floor.Term     `yaml:"sealed"`
	Position floor.Position `yaml:"position"`
	ProvedAt clock.Millis   `yaml:"proved"`
}

func (o observation) replicationPosition() floor.ReplicationPosition {
	return floor.ReplicationPosition{Term: o.Term, Position: o.Position}
}

// step is one event at time At, in milliseconds, and the values expected after it:
// LeaseValid, Leader and Floor. Sent is the time at which the probe or the statement
// was sent; it defaults to At.
type step struct {
	At         clock.Millis  `yaml:"at"`
	Sent       *clock.Millis `yaml:"sent"`
	Status     *observation  `yaml:"tenure"`
	Commit     *observation  `yaml:"commit"`
	Position   *observation  `yaml:"mark"`
	Report     *observation  `yaml:"hearsay"`
	Release    bool          `yaml:"release"`
	Ended      bool          `yaml:"ended"`
	Listed     string        `yaml:"listed"`
	Unlisted   string        `yaml:"unlisted"`
	Departed   bool          `yaml:"departed"`
	LeaseValid *bool         `yaml:"may"`
	Leader     *string       `yaml:"leader"`
	Floor      *struct {
		Since    clock.Millis   `yaml:"since"`
		Position floor.Position `yaml:"position"`
		Known    bool           `yaml:"known"`
	} `yaml:"floor"`
	DepartedEnd *struct {
		Position floor.Position `yaml:"position"`
		Known    bool           `yaml:"known"`
	} `yaml:"end"`
}

// script is a test case of watch.yaml.
type script struct {
	Name         string `yaml:"name"`
	SyncReplicas int    `yaml:"synced"`
	Steps        []step `yaml:"steps"`
}

func (s step) apply(w Watch) Watch {
	sent := s.At
	if s.Sent != nil {
		sent = *s.Sent
	}
	switch {
	case s.Status != nil:
		o := *s.Status
		return w.WithStatus(o.Server, statement.ReplicationStatus{
			Primary: o.Primary, Term: o.Term, Sealed: max(o.Sealed, o.Term), Received: o.replicationPosition(),
		}, sent)
	case s.Commit != nil:
		return w.WithCommit(s.Commit.Server, s.Commit.replicationPosition(), sent)
	case s.Position != nil:
		return w.WithPosition(s.Position.Server, s.Position.replicationPosition(), sent)
	case s.Report != nil:
		return w.WithReport(Report{Term: s.Report.Term, Leader: s.Report.Server, ProvedAt: s.Report.ProvedAt})
	case s.Release:
		return w.WithRelease(s.At)
	case s.Ended:
		return w.WithReleaseEnd(s.At)
	case s.Listed != "":
		return w.WithListed(s.Listed, s.At)
	case s.Unlisted != "":
		return w.WithUnlisted(s.Unlisted)
	case s.Departed:
		return w.WithDeparture(s.At)
	}
	return w
}

// TestScripts applies scripted events and checks when the VM may use the primary.
func TestScripts(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/watch.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			w := New(p.SyncReplicas)
			for _, s := range p.Steps {
				w = s.apply(w)
				_, leader := w.Leader()
				if s.LeaseValid != nil {
					if diff := cmp.Diff(*s.LeaseValid, w.LeaseValid(s.At)); diff != "" {
						t.Errorf("at %d, lease valid (-want +got):\n%s", s.At, diff)
					}
				}
				if s.Floor != nil {
					f, known := w.Floor(s.Floor.Since)
					if diff := cmp.Diff([]any{s.Floor.Position, s.Floor.Known}, []any{f.Position, known}); diff != "" {
						t.Errorf("at %d, floor (-want +got):\n%s", s.At, diff)
					}
				}
				if s.DepartedEnd != nil {
					end, known := w.DepartedEnd()
					if diff := cmp.Diff([]any{s.DepartedEnd.Position, s.DepartedEnd.Known}, []any{end.Position, known}); diff != "" {
						t.Errorf("at %d, position that covers what ended processes acknowledged (-want +got):\n%s", s.At, diff)
					}
				}
				if s.Leader != nil {
					if diff := cmp.Diff(*s.Leader, leader); diff != "" {
						t.Errorf("at %d, leader (-want +got):\n%s", s.At, diff)
					}
				}
			}
		})
	}
}

// TestReportKeepsTermOfPosition guards against a floor that no replica reaches before the first commit of a term, because a report gives the last entry of the term before the later term.
func TestReportKeepsTermOfPosition(t *testing.T) {
	last := floor.ReplicationPosition{Term: 1, Position: 7}
	w := New(1).WithStatus("p", statement.ReplicationStatus{Primary: true, Term: 2, Sealed: 2, Received: last}, 100)
	got, known := New(1).WithReport(w.Report()).LatestPosition()
	if diff := cmp.Diff([]any{last, true}, []any{got, known}); diff != "" {
		t.Errorf("position and whether it is known (-want +got):\n%s", diff)
	}
}

// TestRaiseFloor checks the floor of a read that must see a position of its session: the
// position itself in the present term, and a known one of that term if it is of an earlier
// one.
func TestRaiseFloor(t *testing.T) {
	w := New(1).WithTerm(3, "p").withSample(100, floor.ReplicationPosition{Term: 3, Position: 9})
	own := func(term floor.Term, position floor.Position) floor.ReplicationPosition {
		return floor.ReplicationPosition{Term: term, Position: position}
	}
	var got []string
	for _, c := range [][2]floor.ReplicationPosition{
		{own(3, 7), {}}, {own(3, 7), own(3, 4)}, {own(3, 7), own(3, 12)}, {own(3, 7), own(2, 50)}, {{}, own(2, 50)},
	} {
		f, ok := w.RaiseFloor(c[0], c[1])
		if !ok {
			t.Errorf("the floor for %s is not known", c[1])
		}
		got = append(got, f.String())
	}
	if diff := cmp.Diff([]string{"3/7", "3/7", "3/12", "3/7", "3/9"}, got); diff != "" {
		t.Errorf("floors (-want +got):\n%s", diff)
	}
	if _, ok := New(1).WithTerm(3, "p").RaiseFloor(floor.ReplicationPosition{}, own(2, 50)); ok {
		t.Error("a floor is known without a position of the term")
	}
}

// TestReportBeforeFirstCommit guards against a position of an earlier term that another VM takes for one of the present term, which no log has reached, so that replication seems to be stalled.
func TestReportBeforeFirstCommit(t *testing.T) {
	logEnd := floor.ReplicationPosition{Term: 2, Position: 9}
	status := statement.ReplicationStatus{Primary: true, Term: 3, Sealed: 3, Received: logEnd}
	reporter := New(1).WithStatus("p", status, 100)
	if position, ok := New(1).WithReport(reporter.Report()).LatestPosition(); ok && !logEnd.Covers(position) {
		t.Errorf("the other VM takes the log to have reached %s, which ends at %s", position, logEnd)
	}
}

// TestFirstSample checks that the oldest sample counts where no later one does.
func TestFirstSample(t *testing.T) {
	w := New(1).WithTerm(3, "p").withSample(100, floor.ReplicationPosition{Term: 3, Position: 9})
	before, at := false, false
	_, before = w.PositionAt(99)
	_, at = w.PositionAt(100)
	if diff := cmp.Diff([]bool{false, true}, []bool{before, at}); diff != "" {
		t.Errorf("position known before and at the sample (-want +got):\n%s", diff)
	}
}

// group is the oracle: the true state of a database group with a primary and two
// replicas, in which a commit needs one replica.
type group struct {
	now clock.Millis
	// primary is the primary of term.
	term    floor.Term
	primary string
	// logs holds the end of each server's log, and sealed the replicas that receive
	// nothing more of this term.
	logs   map[string]floor.ReplicationPosition
	sealed map[string]bool
	// acked holds the acknowledged commits and their times.
	acked []logSample
	// allSealedAt is the time at which both replicas were first sealed, or clock.DistantPast.
	allSealedAt clock.Millis
	// newRuns is set once server n receives the primary's log, and newListed once the
	// directory lists it. The claimant does not know it.
	newRuns, newListed bool
}

// newServer is a replica that starts while the others are sealed.
const newServer = "n"

var servers = []string{"p", "q", "r"}

func (g *group) replicas() []string {
	var out []string
	for _, s := range servers {
		if s != g.primary {
			out = append(out, s)
		}
	}
	return out
}

// commit writes one entry, which is acknowledged when a replica that is not sealed
// receives it. It returns the entry's position, and whether it was acknowledged.
func (g *group) commit(reached map[string]bool) (floor.ReplicationPosition, bool) {
	m := floor.ReplicationPosition{Term: g.term, Position: g.logs[g.primary].Position + 1}
	g.logs[g.primary] = m
	done := false
	for _, r := range g.replicas() {
		if reached[r] && !g.sealed[r] {
			g.logs[r] = m
			done = true
		}
	}
	if g.newRuns && reached[newServer] {
		g.logs[newServer] = m
		done = true
	}
	if done {
		g.acked = append(g.acked, logSample{at: g.now, position: m})
	}
	return m, done
}

// attemptTimeout bounds a claimant's attempt, in milliseconds, as failover.AttemptTimeout does.
const attemptTimeout = clock.Millis(3000)

// listed returns the servers that the directory lists.
func (g *group) listed() []string {
	if g.newListed {
		return append(slices.Clone(servers), newServer)
	}
	return servers
}

func (g *group) status(server string, primary string, term floor.Term) statement.ReplicationStatus {
	answer := statement.ReplicationStatus{Primary: server == primary, Term: term, Sealed: term, Received: g.logs[server]}
	if g.sealed[server] {
		answer.Sealed = term + 1
	}
	return answer
}

// TestNoTwoPrimaries lets two VMs observe a group by commits, probes, reads and each
// other's reports while a third changes its primary. Neither may use the former
// primary once the new one has acknowledged something, and no floor may lack a commit
// acknowledged before its time. A server that starts after the replicas were sealed lets
// the former primary go on acknowledging.
func TestNoTwoPrimaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{term: 1, primary: "p", logs: map[string]floor.ReplicationPosition{}, sealed: map[string]bool{}, allSealedAt: clock.DistantPast}
		for _, s := range servers {
			g.logs[s] = floor.ReplicationPosition{Term: 1, Position: 1}
		}
		former, formerTerm := "", floor.Term(0)
		watches := []Watch{New(1), New(1)}
		actions := map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				g.now += clock.Millis(rapid.IntRange(1, 600).Draw(t, "length"))
			},
			"commit": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				reached := map[string]bool{}
				for _, r := range append(g.replicas(), newServer) {
					reached[r] = rapid.Bool().Draw(t, r)
				}
				sent := g.now
				g.now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "took"))
				if m, done := g.commit(reached); done {
					watches[i] = watches[i].WithCommit(g.primary, m, sent)
				} else {
					watches[i] = watches[i].WithPosition(g.primary, m, sent)
				}
			},
			"ask": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				s := rapid.SampledFrom(g.listed()).Draw(t, "server")
				sent := g.now
				g.now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "took"))
				answer := g.status(s, g.primary, g.term)
				if s == former {
					// The former primary is cut off and still believes that it is the
					// primary.
					answer = statement.ReplicationStatus{Primary: true, Term: formerTerm, Sealed: formerTerm, Received: g.logs[s]}
				}
				watches[i] = watches[i].WithStatus(s, answer, sent)
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				s := rapid.SampledFrom(g.listed()).Draw(t, "server")
				watches[i] = watches[i].WithPosition(s, g.logs[s], g.now)
			},
			"gossip": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "from")
				// Converted to the receiver's clock, the times become up to 300 ms earlier.
				r := watches[i].Report()
				age := clock.Millis(rapid.IntRange(0, 300).Draw(t, "slack"))
				if r.ProvedAt != clock.DistantPast {
					r.ProvedAt -= age
				}
				r.PositionAt -= age
				watches[1-i] = watches[1-i].WithReport(r)
			},
			"seal": func(t *rapid.T) {
				r := rapid.SampledFrom(g.replicas()).Draw(t, "replica")
				if former != "" {
					return
				}
				g.sealed[r] = true
				if len(g.sealed) == 2 && g.allSealedAt == clock.DistantPast {
					g.allSealedAt = g.now
				}
			},
			"start": func(*rapid.T) {
				if g.allSealedAt == clock.DistantPast || former != "" || g.newRuns {
					return
				}
				g.newRuns, g.logs[newServer] = true, g.logs[g.primary]
			},
			"list": func(*rapid.T) {
				if !g.newRuns || g.newListed {
					return
				}
				g.newListed = true
				for i := range watches {
					watches[i] = watches[i].WithListed(newServer, g.now)
				}
			},
			"depart": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				watches[i] = watches[i].WithDeparture(g.now)
			},
			"promote": func(*rapid.T) {
				if g.allSealedAt == clock.DistantPast || former != "" || g.now < g.allSealedAt+Lease+MaxClockDrift || g.now > g.allSealedAt+attemptTimeout {
					return
				}
				best := g.replicas()[0]
				for _, r := range g.replicas() {
					if g.logs[r].Covers(g.logs[best]) {
						best = r
					}
				}
				former, formerTerm = g.primary, g.term
				g.primary, g.term = best, g.term+1
				g.logs[best] = floor.ReplicationPosition{Term: g.term, Position: g.logs[best].Position}
				clear(g.sealed)
				g.newRuns = false
			},
			"": func(t *rapid.T) { g.check(t, watches) },
		}
		t.Repeat(actions)
	})
}

// check compares what the VMs may do with the true state of the group.
func (g *group) check(t *rapid.T, watches []Watch) {
	for i, w := range watches {
		term, leader := w.Leader()
		if w.LeaseValid(g.now) && term < g.term && g.acknowledged(g.term) {
			t.Fatalf("VM %d may use %s of term %d at %d, though term %d has acknowledged a commit", i, leader, term, g.now, g.term)
		}
		end, ok := w.DepartedEnd()
		for _, c := range g.acked {
			if ok && c.position.Term <= term && c.at <= w.processes.at && !end.Covers(c.position) {
				t.Fatalf("VM %d: position %s for processes that ended by %d lacks %s acknowledged at %d", i, end, w.processes.at, c.position, c.at)
			}
		}
		for _, age := range []clock.Millis{0, 100, 500, 1500} {
			f, ok := w.Floor(g.now - age)
			if !ok {
				continue
			}
			for _, c := range g.acked {
				if c.at < g.now-age && !f.Covers(c.position) {
					t.Fatalf("VM %d: floor %s at %d for age %d lacks %s acknowledged at %d", i, f, g.now, age, c.position, c.at)
				}
			}
		}
	}
}

func (g *group) acknowledged(term floor.Term) bool {
	for _, c := range g.acked {
		if c.position.Term == term {
			return true
		}
	}
	return false
}
