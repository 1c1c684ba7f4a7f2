package session

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// regionalCatalog returns a version in which the route and the account are constrained.
func regionalCatalog(version uint64, route, account []string) *catalog.Catalog {
	c := catalog.New(version)
	c.AddRoute(catalog.Route{Database: "db", Group: "g", Timeout: 2000, Regions: regions.Only(route)})
	c.AddAccount(catalog.Account{Name: "acme", Regions: regions.Only(account)}, []string{"key"})
	return c
}

// regionalSession is a session on a group whose primary p is in region x, with a replica in y.
type regionalSession struct {
	*session
	catalog *catalog.Catalog
	// duringWait replaces the catalog while the next statement waits for a connection.
	duringWait *catalog.Catalog
	group      *database.Group
	// holderRegion is the region of the VM that holds the connections.
	holderRegion string
	// sent holds the statements that reached a server, refunds counts tokens given back.
	sent    []string
	refunds int
}

func newRegionalSession(t *testing.T, c *catalog.Catalog) *regionalSession {
	t.Helper()
	r := &regionalSession{catalog: c, holderRegion: "x"}
	g := database.NewGroup(database.Options{
		Name: "g", Clock: clock.System(), Log: log.New(io.Discard), Counters: database.NewCounters(), SyncReplicas: 1,
		HolderCountFunc: func(database.Server) int { return 1 }, MaxConnsFunc: func(database.Server) int { return 0 }, GossipFunc: func() {},
		RemoteConnFunc: func(context.Context, database.ConnRequest) (*database.RemoteConn, error) {
			if r.duringWait != nil {
				r.catalog, r.duringWait = r.duringWait, nil
			}
			return &database.RemoteConn{VM: "vm2", Region: r.holderRegion, CloseFunc: func() {}, RunFunc: func(q database.Request, _ map[string]string) (statement.Answer, error) {
				r.sent = append(r.sent, q.Text)
				a := statement.LocalSuccess(statement.Idle)
				a.Position.Term, a.Position.Position = 1, 1
				return a, nil
			}}, nil
		},
	})
	g.Update([]database.Server{{ID: "p", Group: "g", Region: "x", Slots: 2}, {ID: "q", Group: "g", Region: "y", Slots: 2}})
	g.MergeView(database.Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1}, nil)
	r.group = g
	r.session = &session{settings: map[string]string{}, prepared: map[string]statement.Shape{}, caller: Caller{Database: "db", Key: "key"}, options: Options{
		Clock: clock.System(), Log: log.New(io.Discard), Counters: NewCounters(), CatalogFunc: func() *catalog.Catalog { return r.catalog },
		CopyFunc: freshness.New, GroupFunc: func(string) *database.Group { return g }, TakesFunc: func(clock.Millis) bool { return true },
		AdmitFunc: func(context.Context, catalog.Account, int) bool { return true }, RefundFunc: func(catalog.Account) { r.refunds++ },
		Protocol: database.Protocol{RollbackFunc: func() string { return "ROLLBACK" }},
	}}
	return r
}

// run runs a statement and returns the code and the detail of the answer.
func (r *regionalSession) run(t *testing.T, kind statement.Kind, text string) string {
	t.Helper()
	a := r.answer(t.Context(), statement.Statement{ID: "i", Kind: kind, Text: text})
	return a.Code.String() + " " + a.Detail
}

// TestConstraints guards against a statement that is sent outside the regions that its route and
// its account allow, also when only one of them is constrained or nothing is left, and against
// refusals that take a token or promise that another attempt may succeed.
func TestConstraints(t *testing.T) {
	both := []string{"x", "y"}
	for _, c := range []struct {
		name           string
		route, account []string
		want           string
	}{
		{"none", nil, nil, "none "},
		{"route", []string{"x"}, nil, "none "},
		{"account", nil, []string{"x"}, "none "},
		{"both", both, []string{"x"}, "none "},
		{"route elsewhere", []string{"y"}, nil, "busy " + database.ErrPrimaryNotAllowed.Detail},
		{"account elsewhere", both, []string{"y"}, "busy " + database.ErrPrimaryNotAllowed.Detail},
		{"nothing allowed", []string{"x"}, []string{"y"}, "busy " + database.ErrNoServerAllowed.Detail},
		{"no such region", nil, []string{"z"}, "busy " + database.ErrNoServerAllowed.Detail},
	} {
		for _, kind := range []statement.Kind{statement.Write, statement.Read, statement.Begin} {
			r := newRegionalSession(t, regionalCatalog(1, c.route, c.account))
			want, text := c.want, "s"
			if kind == statement.Begin {
				// A BEGIN is answered before a server is chosen.
				if diff := cmp.Diff("none ", r.run(t, kind, "BEGIN")); diff != "" {
					t.Errorf("%s: BEGIN (-want +got):\n%s", c.name, diff)
				}
				kind = statement.Write
			}
			if diff := cmp.Diff(want, r.run(t, kind, text)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", c.name, diff)
			}
			refused := want != "none "
			if refused != (len(r.sent) == 0) || refused != (r.refunds == 1) {
				t.Errorf("%s: refused is %v, sent %q, %d tokens given back", c.name, refused, r.sent, r.refunds)
			}
		}
	}
}

// TestConstraintChangesDuringWait guards against a statement that is sent by the constraint at its
// admission although a later one came into force while it waited for a connection.
func TestConstraintChangesDuringWait(t *testing.T) {
	r := newRegionalSession(t, regionalCatalog(1, nil, nil))
	r.duringWait = regionalCatalog(2, []string{"y"}, nil)
	if diff := cmp.Diff("busy "+database.ErrPrimaryNotAllowed.Detail, r.run(t, statement.Write, "w")); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), r.sent); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// TestTransactionKeepsConstraint guards against a transaction that a later constraint cuts, and
// against one that begins by an earlier constraint afterwards.
func TestTransactionKeepsConstraint(t *testing.T) {
	r := newRegionalSession(t, regionalCatalog(1, []string{"x"}, nil))
	var got []string
	got = append(got, r.run(t, statement.Begin, "BEGIN"))
	r.catalog = regionalCatalog(2, []string{"y"}, nil)
	for _, text := range []string{"w1", "w2"} {
		got = append(got, r.run(t, statement.Write, text))
	}
	got = append(got, r.run(t, statement.Commit, "COMMIT"), r.run(t, statement.Write, "w3"))
	if diff := cmp.Diff([]string{"none ", "none ", "none ", "none ", "busy " + database.ErrPrimaryNotAllowed.Detail}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"BEGIN", "w1", "w2", "COMMIT"}, r.sent); diff != "" {
		t.Errorf("sent (-want +got):\n%s", diff)
	}
}

// TestReadAwaitsFloor guards against a read for replicas that is refused, or sent to a primary of
// another region, because it is not known at first how recent a replica must be.
func TestReadAwaitsFloor(t *testing.T) {
	for name, known := range map[string]bool{"known later": true, "never known": false} {
		c := catalog.New(1)
		c.AddRoute(catalog.Route{Database: "db", Group: "g", Guarantee: catalog.BoundedStaleness, MaxStaleness: 1500, TargetLatency: 800, Regions: regions.Only([]string{"y"})})
		c.AddAccount(catalog.Account{Name: "acme"}, []string{"key"})
		r := newRegionalSession(t, c)
		r.holderRegion = "y"
		calls := 0
		r.options.CatalogFunc = func() *catalog.Catalog {
			// More calls than attempts that a statement has after other errors.
			if calls++; known && calls == 3*maxAttempts {
				now := r.options.Clock.Now()
				r.group.MergeView(database.Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", PositionTerm: 1, Position: 1},
					func(age clock.Millis) clock.Millis { return now - age })
			}
			return c
		}
		want := "busy " + errFloorUnknown.Error() + "; try again in 1 s"
		if known {
			want = "none "
		}
		if diff := cmp.Diff(want, r.run(t, statement.Read, "r")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
		if len(r.sent) > 0 != known {
			t.Errorf("%s: sent %q", name, r.sent)
		}
	}
}

// TestEmptyTransactionOutsideRegions guards against the COMMIT of a transaction without statements
// that is retried, or reaches a server, although the constraint cannot be met.
func TestEmptyTransactionOutsideRegions(t *testing.T) {
	r := newRegionalSession(t, regionalCatalog(1, []string{"y"}, nil))
	got := []string{r.run(t, statement.Begin, "BEGIN"), r.run(t, statement.Commit, "COMMIT")}
	if diff := cmp.Diff([]string{"none ", "aborted " + database.ErrPrimaryNotAllowed.Detail}, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	if len(r.sent) > 0 {
		t.Errorf("sent %q", r.sent)
	}
}
