package vm

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/membership"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	standin "github.com/sycamoredoor/sycamoredoor/internal/standin/platform"
)

// step is one request of a script and the expected answer.
type step struct {
	Do      string            `yaml:"do"`
	Token   string            `yaml:"token"`
	Name    string            `yaml:"name"`
	Texts   map[string]string `yaml:"texts"`
	Version uint64            `yaml:"version"`
	Request string            `yaml:"request"`
	// Want is the expected answer, or the status and message of a refusal.
	Want string `yaml:"want"`
	// Stale is set when the VM does not read the version that the step makes.
	Stale bool `yaml:"stale"`
}

// run sends the step's request to the URL and returns the answer in the form of Want.
func (s step) run(t *testing.T, url string) string {
	t.Helper()
	c := operator.NewClient(operator.Options{BaseURL: url, Token: s.Token, Timeout: 10_000})
	out, err := "", error(nil)
	switch s.Do {
	case "get":
		var got operator.Section
		got, err = c.Section(t.Context(), s.Name)
		out = fmt.Sprintf("version %d %q", got.Version, got.Text)
	case "put":
		var got operator.EditResult
		got, err = c.Apply(t.Context(), operator.Edit{Sections: s.Texts, Version: s.Version, RequestID: s.Request})
		out = fmt.Sprintf("version %d", got.Version)
	case "history":
		var got operator.History
		got, err = c.History(t.Context(), 10)
		for _, e := range got.Entries {
			out += fmt.Sprintf("%d by %s; ", e.Version, e.Operator)
		}
	case "status":
		var got operator.Status
		got, err = c.Status(t.Context())
		out = fmt.Sprintf("version %d", got.Version)
	default:
		t.Fatalf("unknown step %q", s.Do)
	}
	var responseError *operator.ResponseError
	if errors.As(err, &responseError) {
		return fmt.Sprintf("%d %s", responseError.Status, responseError.Message)
	}
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestRights plays the requests of testdata/rights.yaml and checks which operators may read
// and edit which sections, and how requests without a right, repeated requests, and edits
// that conflict or are invalid are answered.
func TestRights(t *testing.T) {
	text, err := os.ReadFile("testdata/rights.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, token := range []string{"owner-token", "finance-token"} {
		text = []byte(strings.ReplaceAll(string(text), "HASH("+token+")", verifier.HashToken(token)))
	}
	var steps []step
	if err := yaml.UnmarshalWithOptions(text, &steps, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := &VM{options: Options{Store: platform.NewStore(p.URL(), 10_000), BootstrapToken: "bootstrap-token"}}
	v.holders = newHolders(v)
	v.membership = membership.New(membership.Options{
		Clock: clock.System(), Store: v.options.Store, Log: log.New(io.Discard), ChangedFunc: func(context.Context) {},
	})
	s := httptest.NewServer(v.operatorHandler())
	defer s.Close()
	for i, step := range steps {
		if diff := cmp.Diff(step.Want, step.run(t, s.URL)); diff != "" {
			t.Errorf("step %d, %s (-want +got):\n%s", i+1, step.Do, diff)
		}
		if step.Stale {
			continue
		}
		if b, err := configuration.Read(t.Context(), v.options.Store, nil); err == nil {
			v.membership.Adopt(t.Context(), b)
		}
	}
}

// TestMissingObject takes the objects away that the record names. The VM must then refuse
// the bootstrap token, which is valid only before the first edit.
func TestMissingObject(t *testing.T) {
	p, err := standin.New(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	store := platform.NewStore(p.URL(), 10_000)
	_, err = configuration.Apply(t.Context(), store, configuration.Change{Texts: map[string]string{
		"operators": "operators: [{name: owner, sections: [operators, routes], verifier: " + verifier.HashToken("owner-token") + "}]\n",
	}})
	if err != nil {
		t.Fatal(err)
	}
	store.GetObjectFunc = func(context.Context, string) ([]byte, error) { return nil, platform.ErrNotFound }
	v := &VM{options: Options{Store: store, BootstrapToken: "bootstrap-token"}}
	v.membership = membership.New(membership.Options{
		Clock: clock.System(), Store: store, Log: log.New(io.Discard), ChangedFunc: func(context.Context) {},
	})
	s := httptest.NewServer(v.operatorHandler())
	defer s.Close()
	got := step{Do: "get", Token: "bootstrap-token", Name: "routes"}.run(t, s.URL)
	if !strings.HasPrefix(got, "503 ") {
		t.Errorf("answer to the bootstrap token %q, want a refusal with status 503", got)
	}
}
