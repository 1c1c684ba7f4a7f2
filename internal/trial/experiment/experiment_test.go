package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

func read(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestSmallExperiment runs an experiment of three VMs for two seconds. It must pass all
// checks of its report and violate no invariant.
func TestSmallExperiment(t *testing.T) {
	defer invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("%s: %s", n, detail) })()
	s, err := Parse("tiny.yaml", read(t, "testdata/tiny.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(t.Context(), s, Options{Seed: s.Seed, Length: s.Length, ProgressFunc: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	if failed := r.FailedChecks(); len(failed) > 0 || r.Reads == 0 || r.Writes == 0 || r.Charges == 0 {
		t.Errorf("failed checks: %q\n%+v", failed, r)
	}
}

// TestRepositoryExperiments parses the experiments of the repository.
func TestRepositoryExperiments(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, p := range paths {
		if _, err := Parse(p, read(t, p)); err != nil {
			t.Error(err)
		}
	}
}

// TestParseErrors makes one mistake at a time in a valid file and checks the error
// text.
func TestParseErrors(t *testing.T) {
	var cases []struct {
		Replace string
		By      string
		Want    string
	}
	if err := yaml.Unmarshal(read(t, "testdata/mistakes.yaml"), &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		source := read(t, "testdata/tiny.yaml")
		text := strings.Replace(string(source), c.Replace, c.By, 1)
		_, err := Parse("tiny.yaml", []byte(text))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(c.Want, got); diff != "" {
			t.Errorf("%s by %s (-want +got):\n%s", c.Replace, c.By, diff)
		}
	}
}

// TestClassify checks the results of the proxy's SQLSTATE codes. A rate limit error is
// a wrongful refusal for an account within its rate.
func TestClassify(t *testing.T) {
	r := &run{balancer: newBalancer(nil)}
	withinRate, overRate := Account{Rate: 10, OfferedRate: 9}, Account{Rate: 10, OfferedRate: 11}
	cases := []struct {
		account Account
		code    string
		want    result
	}{
		{withinRate, outcome.CodeUnknown, resultUnknown},
		{withinRate, outcome.CodeShutdown, resultReconnect},
		{withinRate, outcome.CodeRateLimit, resultRefused},
		{overRate, outcome.CodeRateLimit, resultRateLimited},
		{overRate, outcome.CodeUnavailable, resultRefused},
	}
	for _, c := range cases {
		if got := r.classify(c.account, nil, &pgconn.PgError{Code: c.code}); got != c.want {
			t.Errorf("%s: %s, want %s", c.code, got, c.want)
		}
	}
}

// TestTallyMatches rejects a tally in which a charge is lost or counted twice.
func TestTallyMatches(t *testing.T) {
	for text, want := range map[string]bool{"": false, "2": false, "3": true, "4": true, "5": false} {
		if got := tallyMatches(text, 3, 1); got != want {
			t.Errorf("tally %q: %v, want %v", text, got, want)
		}
	}
}

// TestTokenBucket allows the burst at once and then arrivals at the rate.
func TestTokenBucket(t *testing.T) {
	b := tokenBucket{rate: 10, burst: 2, tokens: 2}
	begin := time.Unix(1, 0)
	var got []bool
	for _, ms := range []time.Duration{0, 0, 0, 50, 110, 120, 1000, 1000, 1000} {
		got = append(got, b.take(begin.Add(ms*time.Millisecond)))
	}
	want := []bool{true, true, false, false, true, false, true, true, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("allowed (-want +got):\n%s", diff)
	}
}
