package document

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestMistakes replaces one section of a valid document and compares the error.
func TestMistakes(t *testing.T) {
	var script struct {
		// ValidTexts holds a valid text of each section, by section name.
		ValidTexts map[string]string `yaml:"good"`
		Cases      []struct {
			Name    string `yaml:"name"`
			Section string `yaml:"section"`
			Text    string `yaml:"text"`
			Error   string `yaml:"error"`
		} `yaml:"cases"`
	}
	scripted.Read(t, "testdata/mistakes.yaml", &script)
	for _, c := range script.Cases {
		t.Run(c.Name, func(t *testing.T) {
			texts := map[string]string{c.Section: c.Text}
			for name, text := range script.ValidTexts {
				if name != c.Section {
					texts[name] = text
				}
			}
			got := ""
			if _, err := Parse(1, texts); err != nil {
				got = err.Error()
			}
			if diff := cmp.Diff(c.Error, got); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDefaults checks the default values of omitted keys.
func TestDefaults(t *testing.T) {
	d, err := Parse(1, map[string]string{
		SectionDatabases: "databases: [{name: orders, servers: [{name: a, address: '10.0.0.1:1', zone: z, slots: 1, connections: 2}]}]",
		SectionAccounts:  "accounts: [{name: counter, rate: 1, burst: 1}]",
		SectionRoutes:    "routes: [{name: list, database: orders, kind: read}]",
	})
	if err != nil {
		t.Fatal(err)
	}
	a, _ := d.Account("counter")
	if diff := cmp.Diff(Account{Name: "counter", Rate: 1, Burst: 1, Weight: 1}, a); diff != "" {
		t.Errorf("account (-want +got):\n%s", diff)
	}
	r, _ := d.Route("list")
	if diff := cmp.Diff(Route{Name: "list", Database: "orders", Kind: KindRead, Deadline: DefaultDeadline}, r); diff != "" {
		t.Errorf("route (-want +got):\n%s", diff)
	}
}
