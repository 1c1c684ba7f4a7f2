package tenure

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type observation struct {
	Server   string         `yaml:"server"`
	Primary  bool           `yaml:"primary"`
	Term     floor.Term     `yaml:"term"`
	Sealed   floor.Term     `yaml:"sealed"`
	Position floor.Position `yaml:"position"`
	ProvedAt clock.Millis   `yaml:"proved"`
}

func (f observation) mark() floor.ReplicationPosition {
	return floor.ReplicationPosition{Term: f.Term, Position: f.Position}
}

type step struct {
	At         clock.Millis  `yaml:"at"`
	Sent       *clock.Millis `yaml:"sent"`
	Tenure     *observation  `yaml:"tenure"`
	Commit     *observation  `yaml:"commit"`
	Mark       *observation  `yaml:"mark"`
	Report     *observation  `yaml:"hearsay"`
	Release    bool          `yaml:"release"`
	LeaseValid *bool         `yaml:"may"`
	Leader     *string       `yaml:"leader"`
	Floor      *struct {
		Since    clock.Millis   `yaml:"since"`
		Position floor.Position `yaml:"position"`
		Known    bool           `yaml:"known"`
	} `yaml:"floor"`
}

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
	case s.Tenure != nil:
		f := *s.Tenure
		return w.WithStatus(f.Server, statement.ReplicationStatus{
			Primary: f.Primary, Term: f.Term, Sealed: max(f.Sealed, f.Term), Received: f.mark(),
		}, sent)
	case s.Commit != nil:
		return w.WithCommit(s.Commit.Server, s.Commit.mark(), sent)
	case s.Mark != nil:
		return w.WithPosition(s.Mark.Server, s.Mark.mark(), sent)
	case s.Report != nil:
		return w.WithReport(Report{Term: s.Report.Term, Leader: s.Report.Server, ProvedAt: s.Report.ProvedAt})
	case s.Release:
		return w.WithRelease(s.At)
	}
	return w
}

// TestScripts plays what a VM learns, and when it may use the primary.
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
						t.Errorf("at %d, may (-want +got):\n%s", s.At, diff)
					}
				}
				if s.Floor != nil {
					f, known := w.Floor(s.Floor.Since)
					if diff := cmp.Diff([]any{s.Floor.Position, s.Floor.Known}, []any{f.Position, known}); diff != "" {
						t.Errorf("at %d, floor (-want +got):\n%s", s.At, diff)
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

// group is an oracle of one database group with a primary and two replicas of
// which one commit needs one: what is true, and when it became so.
type group struct {
	now clock.Millis
	// leading is the primary of term; sealed is set per replica; promoted holds the
	// moment at which each term began to acknowledge.
	term    floor.Term
	primary string
	logs    map[string]floor.ReplicationPosition
	sealed  map[string]bool
	// acked holds the acknowledged commits and their moments.
	acked []logSample
	// safeAt is the moment at which the claim was safe, or Never.
	safeAt clock.Millis
}

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

// commit writes one entry; it is acknowledged when a replica receives it.
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
	if done {
		g.acked = append(g.acked, logSample{at: g.now, mark: m})
	}
	return m, done
}

func (g *group) tenure(server string, leading string, term floor.Term) statement.ReplicationStatus {
	t := statement.ReplicationStatus{Primary: server == leading, Term: term, Sealed: term, Received: g.logs[server]}
	if g.sealed[server] {
		t.Sealed = term + 1
	}
	return t
}

// TestNoTwoPrimaries lets two VMs learn of a group by all ways while a third
// changes its primary. Neither may use the former primary once the new one has
// acknowledged something, and no floor may lack what was acknowledged before it.
func TestNoTwoPrimaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &group{term: 1, primary: "p", logs: map[string]floor.ReplicationPosition{}, sealed: map[string]bool{}, safeAt: DistantPast}
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
				for _, r := range g.replicas() {
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
				s := rapid.SampledFrom(servers).Draw(t, "server")
				sent := g.now
				g.now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "took"))
				answer := g.tenure(s, g.primary, g.term)
				if s == former {
					// The former primary is cut off: it still takes itself for one.
					answer = statement.ReplicationStatus{Primary: true, Term: formerTerm, Sealed: formerTerm, Received: g.logs[s]}
				}
				watches[i] = watches[i].WithStatus(s, answer, sent)
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "vm")
				s := rapid.SampledFrom(servers).Draw(t, "server")
				watches[i] = watches[i].WithPosition(s, g.logs[s], g.now)
			},
			"gossip": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "from")
				h := watches[i].Report()
				age := clock.Millis(rapid.IntRange(0, 300).Draw(t, "slack"))
				if h.ProvedAt != DistantPast {
					h.ProvedAt -= age
				}
				h.PositionAt -= age
				watches[1-i] = watches[1-i].WithReport(h)
			},
			"seal": func(t *rapid.T) {
				r := rapid.SampledFrom(g.replicas()).Draw(t, "replica")
				if former != "" {
					return
				}
				g.sealed[r] = true
				if len(g.sealed) == 2 && g.safeAt == DistantPast {
					g.safeAt = g.now
				}
			},
			"promote": func(*rapid.T) {
				if g.safeAt == DistantPast || former != "" || g.now < g.safeAt+Lease+MaxClockDrift {
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
			},
			"": func(t *rapid.T) { g.check(t, watches) },
		}
		t.Repeat(actions)
	})
}

// check compares what the VMs may do with what is true.
func (g *group) check(t *rapid.T, watches []Watch) {
	for i, w := range watches {
		term, leader := w.Leader()
		if w.LeaseValid(g.now) && term < g.term && g.acknowledged(g.term) {
			t.Fatalf("VM %d may use %s of term %d at %d, though term %d has acknowledged", i, leader, term, g.now, g.term)
		}
		for _, age := range []clock.Millis{0, 100, 500, 1500} {
			f, ok := w.Floor(g.now - age)
			if !ok {
				continue
			}
			for _, c := range g.acked {
				if c.at < g.now-age && !f.Covers(c.mark) {
					t.Fatalf("VM %d: floor %s at %d for age %d lacks %s of %d", i, f, g.now, age, c.mark, c.at)
				}
			}
		}
	}
}

func (g *group) acknowledged(term floor.Term) bool {
	for _, c := range g.acked {
		if c.mark.Term == term {
			return true
		}
	}
	return false
}
