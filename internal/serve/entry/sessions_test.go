package entry

import (
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type sessionScript struct {
	Name  string `yaml:"name"`
	Steps []struct {
		Conn int    `yaml:"conn"`
		Send string `yaml:"send"`
		// Floor is the floor that the statement's transaction requires, or empty if
		// the statement starts none.
		Floor string `yaml:"floor"`
	} `yaml:"steps"`
}

// TestSessions plays statements on several connections and checks the floors
// that their transactions require.
func TestSessions(t *testing.T) {
	var scripts []sessionScript
	scripted.Read(t, "testdata/sessions.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			b := newTestEntry(t, nil)
			conns, frontends := map[int]net.Conn{}, map[int]*pgproto3.Frontend{}
			var want []string
			for _, s := range p.Steps {
				if conns[s.Conn] == nil {
					conns[s.Conn], frontends[s.Conn] = b.dial(t)
				}
				if _, err := conns[s.Conn].Write(messageOf(t, s.Send)); err != nil {
					t.Fatal(err)
				}
				for answer := ""; answer != "Z I"; {
					if answer = receive(t, frontends[s.Conn]); answer == "end" {
						t.Fatal("the connection ended")
					}
				}
				if s.Floor != "" {
					want = append(want, s.Floor)
				}
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			if diff := cmp.Diff(want, b.floors); diff != "" {
				t.Errorf("floors (-want +got):\n%s", diff)
			}
		})
	}
}
