package session

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// kinds are the statements of withdrawn.yaml, by their first word.
var kinds = map[string]statement.Kind{
	"BEGIN": statement.Begin, "COMMIT": statement.Commit, "ROLLBACK": statement.Rollback, "READ": statement.Read,
	"WRITE": statement.Write, "PREPARE": statement.Prepare, "EXECUTE": statement.Execute,
}

// runText runs a statement and returns the code and the state of the answer, and its detail.
func (r *regionalSession) runText(t *testing.T, text string) (string, string) {
	t.Helper()
	verb, _, _ := strings.Cut(text, " ")
	a := r.answer(t.Context(), statement.Statement{ID: "i", Kind: kinds[verb], Text: text, Name: "p", Shape: statement.Shape{Text: "q", IsWrite: true}})
	states := map[statement.Status]string{statement.Idle: "idle", statement.InTransaction: "transaction", statement.FailedTransaction: "failed"}
	return a.Code.String() + ", " + states[a.Status], a.Detail
}

// keyCatalog returns a version in which the key belongs to an account, or to none if owner is empty.
func keyCatalog(version uint64, owner string, public bool) *catalog.Catalog {
	c := catalog.New(version)
	c.AddRoute(catalog.Route{Database: "db", Group: "g", Timeout: 2000, AllowAnonymous: public})
	if owner != "" {
		c.AddAccount(catalog.Account{Name: owner}, []string{"key"})
	}
	return c
}

// TestKeyWithdrawnInTransaction guards against a transaction that goes on, and is committed, after its caller's key was withdrawn.
func TestKeyWithdrawnInTransaction(t *testing.T) {
	var scripts []struct {
		Name    string   `yaml:"name"`
		Owner   string   `yaml:"owner"`
		Public  bool     `yaml:"public"`
		Before  []string `yaml:"before"`
		Idle    bool     `yaml:"idle"`
		After   []string `yaml:"after"`
		Answers []string `yaml:"answers"`
		Sent    []string `yaml:"sent"`
		Detail  string   `yaml:"detail"`
	}
	scripted.Read(t, "testdata/withdrawn.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			r := newRegionalSession(t, keyCatalog(1, "acme", script.Public))
			for _, text := range script.Before {
				r.runText(t, text)
			}
			r.catalog = keyCatalog(2, script.Owner, script.Public)
			if script.Idle {
				r.options.ExpiresFunc = func() bool { return false }
				r.checkIdle()
			}
			var answers, details []string
			for _, text := range script.After {
				answer, detail := r.runText(t, text)
				answers, details = append(answers, answer), append(details, detail)
			}
			if script.Detail != "" && details[0] != script.Detail+rolledBack {
				t.Errorf("first detail %q, want %q", details[0], script.Detail+rolledBack)
			}
			if diff := cmp.Diff(script.Answers, answers); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(strings.Join(script.Sent, "; "), strings.Join(r.sent, "; ")); diff != "" {
				t.Errorf("sent to the server (-want +got):\n%s", diff)
			}
		})
	}
}
