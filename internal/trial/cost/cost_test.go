package cost

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// idleLength is how long the processor time of the idle installation is measured.
const idleLength = time.Second

// statement reads at the primary, whose holder is the first VM.
const statement = "SELECT v FROM box WHERE id = $1 /*route='box'*/"

// BenchmarkStatement runs the same statement over each path of one installation.
// cpu-us/op is the processor time of the whole process, caller and stand-ins
// included, less what the idle installation takes in the same time.
func BenchmarkStatement(b *testing.B) {
	s := start(b)
	idle := idleShare(b)
	paths := []struct{ name, dsn string }{
		{"direct", "postgres://proxy@" + s.Groups["orders"].Servers()[0].Address() + "/orders?sslmode=disable"},
		{"holder", s.DSN(s.VMs[0], "counter", "jelly", "orders")},
		{"hop", s.DSN(s.VMs[1], "counter", "jelly", "orders")},
	}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) { run(b, p.dsn, idle) })
	}
}

func start(b *testing.B) *system.System {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, err := system.New(ctx, system.Options{
		Places:    []system.Place{{Zone: "abbotsford", Region: "mainland"}, {Zone: "chilliwack", Region: "mainland"}, {Zone: "kelowna", Region: "okanagan"}},
		Databases: []string{"orders"},
		Servers:   backend.Options{Slots: 3, Connections: 20, Connect: 12},
		Accounts:  []system.Account{{Name: "counter", Key: "jelly", Rate: 1e6, Burst: 1e6, Weight: 1}},
		Routes:    "routes:\n  - {name: box, database: orders, kind: write}\n",
	})
	if err != nil {
		cancel()
		b.Fatal(err)
	}
	b.Cleanup(func() {
		cancel()
		if err := s.Wait(10 * time.Second); err != nil {
			b.Error(err)
		}
	})
	return s
}

// idleShare returns the part of a core that the installation takes by itself.
func idleShare(b *testing.B) float64 {
	b.Helper()
	before := processor(b)
	time.Sleep(idleLength)
	return float64(processor(b)-before) / float64(idleLength)
}

func processor(b *testing.B) time.Duration {
	b.Helper()
	d, err := Processor()
	if err != nil {
		b.Fatal(err)
	}
	return d
}

func run(b *testing.B, dsn string, idle float64) {
	c, err := pgx.Connect(b.Context(), dsn)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, err := c.Exec(b.Context(), "INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	begin, used := time.Now(), processor(b)
	var v string
	for b.Loop() {
		if err := c.QueryRow(b.Context(), statement, "7").Scan(&v); err != nil {
			b.Fatal(err)
		}
	}
	own := float64(processor(b)-used) - idle*float64(time.Since(begin))
	b.ReportMetric(own/float64(b.N)/1000, "cpu-us/op")
}
