package frontend

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/forward"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// TestExplainedRefusals guards against an explanation that stops at a server which sessions pass
// over, and against another outcome or reason than sessions get if no server is left.
func TestExplainedRefusals(t *testing.T) {
	for _, c := range []struct {
		name, kind string
		// closed names the servers to which this VM may open no connections, distant those that
		// only a VM of another region holds. The primary p is the cheapest, since the positions
		// of the replicas are not known.
		closed, distant map[string]bool
		allowed         []string
		spent           int
		want            []string
	}{
		{"nothing in the way", "read", nil, nil, nil, 0, []string{"sent", "", "p"}},
		{"no connections to the cheapest", "read", map[string]bool{"p": true}, nil, nil, 0, []string{"sent", "", "q"}},
		{"no VM for the cheapest", "read", nil, map[string]bool{"p": true}, []string{"x"}, 0, []string{"sent", "", "q"}},
		{"one each", "read", map[string]bool{"p": true}, map[string]bool{"q": true}, []string{"x"}, 0, []string{"sent", "", "r"}},
		{"no VM for any", "read", nil, map[string]bool{"p": true, "q": true, "r": true}, []string{"x"}, 0, []string{"refused", database.ErrNoVMAllowed.Error(), ""}},
		{"no connections", "read", map[string]bool{"p": true, "q": true, "r": true}, nil, nil, 0, []string{"waits", database.ErrUnreachable.Error(), ""}},
		{"no VM for the primary", "write", nil, map[string]bool{"p": true}, []string{"x"}, 0, []string{"refused", database.ErrNoVMAllowed.Error(), ""}},
		{"primary", "begin", nil, nil, nil, 0, []string{"sent", "", "p"}},
		{"no connections to the primary", "begin", map[string]bool{"p": true}, nil, nil, 0, []string{"waits", database.ErrUnreachable.Error(), ""}},
		{"region of the servers", "read", nil, nil, []string{"y"}, 0, []string{"refused", database.ErrNoServerAllowed.Error(), ""}},
		{"over the limit", "read", nil, nil, nil, 1000, []string{"refused", "the account is over its rate", "p"}},
	} {
		fake := clock.NewFake(100_000)
		account, l := acmeLimiter(fake)
		f := &Frontend{options: Options{Self: member.VM{Name: "self", Zone: "a", Region: "x"}, Clock: fake.Clock()}, limiter: l}
		g := database.NewGroup(database.Options{
			Name: "g", Zone: "a", Region: "x", Clock: fake.Clock(), Log: log.New(io.Discard), Counters: database.NewCounters(), GossipFunc: func() {},
			HolderCountFunc: func(database.Server) int { return 1 },
			MaxConnsFunc: func(s database.Server) int {
				if c.closed[s.ID] {
					return 0
				}
				return 4
			},
		})
		g.Update([]database.Server{{ID: "p", Zone: "a", Region: "x"}, {ID: "q", Zone: "a", Region: "x"}, {ID: "r", Zone: "a", Region: "x"}})
		g.MergeView(database.Sender{VM: "vm1"}, inner.GroupView{Term: 1, Leader: "p", PositionTerm: 1, Position: 5}, func(age clock.Millis) clock.Millis { return fake.Clock().Now() - age })
		f.groups = map[string]*database.Group{"g": g}
		f.forwarder = forward.New(forward.Options{
			Self: "self", Clock: fake.Clock(),
			HoldersFunc: func(s database.Server, _ string) []member.VM {
				if c.distant[s.ID] {
					return []member.VM{{Name: "vm2", Region: "y"}}
				}
				return []member.VM{f.options.Self}
			},
			ReservesFunc: func(database.Server, string) []member.VM { return nil },
		})
		conf := catalog.New(1)
		conf.AddRoute(catalog.Route{Database: "d", Group: "g", Guarantee: catalog.BoundedStaleness, MaxStaleness: clock.Second, Regions: regions.Only(c.allowed)})
		conf.AddAccount(account, nil)
		f.catalog.Store(conf)
		l.vmCountFunc = func() int { return 1 }
		for range c.spent {
			l.take(account, 0)
		}
		e, err := f.Explain(operator.ExplainQuery{Database: "d", Account: "acme", Kind: c.kind})
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.want, []string{e.Outcome, e.Reason, e.Server}); d != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, d)
		}
	}
}

// TestExplainEvacuated guards against an explanation that says "waits" for a statement that a session refuses at once.
func TestExplainEvacuated(t *testing.T) {
	e := &explainer{}
	e.concludeChoice(database.Choice{Err: database.ErrEvacuated})
	if diff := cmp.Diff(operator.OutcomeRefused, e.out.Outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}
