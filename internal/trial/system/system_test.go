package system

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
)

const routesSection = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

// startSystem starts three VMs and one database group, stops them at the end of the
// test and fails it if an invariant is violated.
func startSystem(t *testing.T, changes ...func(*Options)) *System {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	ctx, cancel := context.WithCancel(context.Background())
	o := Options{
		Places:        []Place{{"abbotsford", "mainland"}, {"chilliwack", "mainland"}, {"kelowna", "okanagan"}},
		Databases:     []string{"orders"},
		Servers:       backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, ApplyDelay: 30},
		Accounts:      []Account{{Name: "counter", Key: "jelly", Rate: 100, Burst: 10, Weight: 1}},
		RoutesSection: routesSection,
	}
	for _, change := range changes {
		change(&o)
	}
	s, err := New(ctx, o)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := s.Wait(10 * time.Second); err != nil {
			t.Error(err)
		}
	})
	return s
}

func connect(t *testing.T, s *System, vm int, parameters map[string]string) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig(s.DSN(s.VMs[vm], "counter", "jelly", "orders"))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range parameters {
		config.RuntimeParams[k] = v
	}
	conn, err := pgx.ConnectConfig(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// TestReadYourWritesAcrossVMs writes through one VM and reads through another in the
// same named session. Each read must return the value written before it, also from a
// replica.
func TestReadYourWritesAcrossVMs(t *testing.T) {
	s := startSystem(t)
	session := map[string]string{"sycamoredoor.session": "member-7"}
	a, b := connect(t, s, 0, session), connect(t, s, 1, session)
	for _, want := range []string{"plum", "medlar", "quince"} {
		if _, err := a.Exec(t.Context(), "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/", "7", want); err != nil {
			t.Fatal(err)
		}
		var got string
		if err := b.QueryRow(t.Context(), "SELECT v FROM box WHERE id = $1 /*route='list'*/", "7").Scan(&got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("read after write (-want +got):\n%s", diff)
		}
	}
	if n := s.VMs[1].Entry().Totals().ReplicaReads; n == 0 {
		t.Error("no read was served by a replica")
	}
}
