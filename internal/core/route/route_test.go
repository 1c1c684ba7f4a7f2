package route

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestHints checks the hints that Parse finds in statements.
func TestHints(t *testing.T) {
	var scripts []struct {
		SQL  string `yaml:"sql"`
		Want Hint   `yaml:"want"`
	}
	scripted.Read(t, "testdata/hints.yaml", &scripts)
	for _, script := range scripts {
		if diff := cmp.Diff(script.Want, Parse(script.SQL)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", script.SQL, diff)
		}
	}
}

// TestResolve checks the kind of the route that each request gets, or the reason for
// which it is refused.
func TestResolve(t *testing.T) {
	d, err := document.Parse(1, map[string]string{
		document.SectionDatabases: `databases:
  - {name: orders, servers: [{name: o1, address: "127.0.0.1:1", zone: a, slots: 1, connections: 2}]}
  - {name: members, servers: [{name: m1, address: "127.0.0.1:2", zone: a, slots: 1, connections: 2}]}
`,
		document.SectionAccounts: `accounts:
  - {name: counter, rate: 1, burst: 1, weight: 1}
  - {name: school, rate: 1, burst: 1, weight: 1}
`,
		document.SectionRoutes: `routes:
  - {name: list, database: orders, kind: read}
  - {name: stock, database: orders, kind: read, open: true}
  - {name: wholesale, database: orders, kind: write, accounts: [counter]}
`,
	})
	if err != nil {
		t.Fatal(err)
	}
	var scripts []struct {
		Name     string             `yaml:"name"`
		Account  string             `yaml:"account"`
		Database string             `yaml:"database"`
		Route    string             `yaml:"route"`
		Want     document.RouteKind `yaml:"want"`
		Refused  outcome.Reason     `yaml:"refused"`
	}
	scripted.Read(t, "testdata/resolve.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			r, err := Resolve(d, firstNonEmpty(script.Database, "orders"), firstNonEmpty(script.Account, "counter"), Hint{Route: script.Route})
			var refusal *outcome.NotRun
			if errors.As(err, &refusal) != (script.Refused != "") || script.Refused != "" && refusal.Reason != script.Refused {
				t.Fatalf("got error %v, want refusal %q", err, script.Refused)
			}
			if diff := cmp.Diff(script.Want, r.Kind); err == nil && diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
		})
	}
}
