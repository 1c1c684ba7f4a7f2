package holder

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

func keyedBegin(account, key string) inner.Begin {
	return inner.Begin{Kind: document.KindWrite, Account: account, AtMostOnce: true, IdempotencyKey: key}
}

const incrementQuery = "UPDATE cases SET v = v + 1 WHERE id = '7' RETURNING v"

// TestOnce sends requests with idempotency keys and repeats them, also over the
// other query protocol. It checks the answers and the final value of row 7, which
// shows how often the requests ran.
func TestOnce(t *testing.T) {
	var cases []struct {
		Name string `yaml:"name"`
		// Calls are transactions, each a list of batches.
		Calls []struct {
			Account string `yaml:"account"`
			Key     string `yaml:"key"`
			Batches []struct {
				Query string   `yaml:"query"`
				Steps []string `yaml:"steps"`
				Texts []string `yaml:"texts"`
				Want  []string `yaml:"want"`
			} `yaml:"batches"`
		} `yaml:"calls"`
		// Value is the value of row 7 at the end.
		Value string `yaml:"value"`
	}
	scripted.Read(t, "testdata/once.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g, servers := startGroup(t, "one")
			h := startHolderWithLock(t, Options{Server: servers[0]})
			runSimple(h, inner.Begin{Kind: document.KindWrite}, "INSERT INTO cases (id, v) VALUES ('7', '0')")
			for i, call := range c.Calls {
				x := startCall(h, keyedBegin(call.Account, call.Key))
				for _, b := range call.Batches {
					raw := extendedBatch(b.Steps, b.Texts)
					if len(b.Steps) == 0 {
						raw = backend.QueryMessage(b.Query)
					}
					got, _ := x.run(raw)
					if diff := cmp.Diff(b.Want, got); diff != "" {
						t.Errorf("call %d (-want +got):\n%s", i+1, diff)
					}
				}
				x.exchange.Close()
				<-x.done
			}
			if got, _ := g.Server("one").Value("cases", "7"); got != c.Value {
				t.Errorf("row 7: got %s, want %s", got, c.Value)
			}
		})
	}
}

// TestOnceAfterLostAnswer loses the answer after the statement has committed,
// and repeats the request through the next holder. The repeat must get the
// first outcome and must itself commit: that commit follows the first one in the
// log, so it succeeds only if a majority has the first one.
func TestOnceAfterLostAnswer(t *testing.T) {
	g, servers := startGroup(t, "one")
	a, stop := startHolder(t, Options{Server: servers[0], VM: "a"})
	await(t, "a acquires the lock", func() bool { _, held := a.State(); return held })
	runSimple(a, inner.Begin{Kind: document.KindWrite}, "INSERT INTO cases (id, v) VALUES ('7', '0')")
	c := startCall(a, keyedBegin("school", "march"))
	if err := c.exchange.Send(inner.Encode(inner.KindBatch, inner.Batch{Raw: backend.QueryMessage(incrementQuery)})); err != nil {
		t.Fatal(err)
	}
	await(t, "the statement commits", func() bool { v, _ := g.Server("one").Value("cases", "7"); return v == "1" })
	c.exchange.Close()
	<-c.done
	stop()
	b := startHolderWithLock(t, Options{Server: servers[0], VM: "b"})
	want := []string{"T", "D 1", "C UPDATE 1", "Z I"}
	before, _ := b.State()
	repeat := startCall(b, keyedBegin("school", "march"))
	got, end := repeat.run(backend.QueryMessage(incrementQuery))
	<-repeat.done
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the repeat (-want +got):\n%s", diff)
	}
	if before.Applied.Covers(end.Position) {
		t.Errorf("the repeat at %s committed nothing after %s", end.Position, before.Applied)
	}
	if got, _ := g.Server("one").Value("cases", "7"); got != "1" {
		t.Errorf("row 7: got %s, want 1", got)
	}
}

// TestOnceTogether sends the same request several times concurrently. It must
// run once, and each answer must be that of the first run.
func TestOnceTogether(t *testing.T) {
	g, servers := startGroup(t, "one")
	h := startHolderWithLock(t, Options{Server: servers[0]})
	runSimple(h, inner.Begin{Kind: document.KindWrite}, "INSERT INTO cases (id, v) VALUES ('7', '0')")
	want := []string{"T", "D 1", "C UPDATE 1", "Z I"}
	var all sync.WaitGroup
	for range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			if diff := cmp.Diff(want, runSimple(h, keyedBegin("school", "march"), incrementQuery)); diff != "" {
				t.Errorf("an answer (-want +got):\n%s", diff)
			}
		}()
	}
	all.Wait()
	if got, _ := g.Server("one").Value("cases", "7"); got != "1" {
		t.Errorf("row 7: got %s, want 1", got)
	}
}
