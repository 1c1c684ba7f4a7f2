package holder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestSettle checks the end of a transaction with servers that fail or answer
// late at each step.
func TestSettle(t *testing.T) {
	var cases []struct {
		Name string             `yaml:"name"`
		Kind document.RouteKind `yaml:"kind"`
		// Hold delays the answer to the first query until the next query has
		// arrived.
		Hold bool `yaml:"hold"`
		// Answers are those of the server, by query. Answers and Seen use the
		// short forms in names.
		Answers map[string][]string `yaml:"answers"`
		Queries []string            `yaml:"queries"`
		Want    [][]string          `yaml:"want"`
		// Seen are the queries of the pooled connections.
		Seen []string `yaml:"seen"`
		// Lost is the number of connections that were replaced. The control
		// connection and one pooled connection are always opened.
		Lost int `yaml:"lost"`
	}
	scripted.Read(t, "testdata/settle.yaml", &cases)
	names := map[string]string{resetQuery: "reset", endStateQuery("one"): "settle", fullResetQuery: "full"}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			failOnViolation(t)
			s := &scriptedServer{answers: map[string][]string{}}
			for sql, short := range names {
				if a, ok := c.Answers[short]; ok {
					c.Answers[sql] = a
				}
			}
			s.answers = c.Answers
			if c.Hold {
				s.holdQuery = c.Queries[0]
			}
			h := startHolderWithLock(t, Options{Server: document.Server{Name: "one", Address: s.serve(t), Slots: 1, Connections: 2}})
			var got [][]string
			for _, sql := range c.Queries {
				got = append(got, runSimple(h, inner.Begin{Kind: c.Kind}, sql))
			}
			if diff := cmp.Diff(c.Want, got); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			s.awaitQueries(len(c.Seen))
			s.mu.Lock()
			defer s.mu.Unlock()
			var seen []string
			for _, sql := range s.queries {
				if short, ok := names[sql]; ok {
					sql = short
				}
				seen = append(seen, sql)
			}
			if diff := cmp.Diff(c.Seen, seen); diff != "" {
				t.Errorf("queries (-want +got):\n%s", diff)
			}
			if lost := s.connections - 2; lost != c.Lost {
				t.Errorf("connections replaced: got %d, want %d", lost, c.Lost)
			}
		})
	}
}
