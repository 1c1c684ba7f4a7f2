package cost

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	proto "github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// idleDuration is how long the CPU time of the idle installation is measured.
const idleDuration = time.Second

// statement runs at the primary, whose holder is on the first VM.
const statement = "SELECT v FROM box WHERE id = $1 /*route='box'*/"

// endAndResetQuery holds the statements of the two queries that the holder sends in the
// same write as a statement that is a whole transaction: for the server's state and the
// owner of its lock, and for the reset of the connection. 7 stands for the lock's key.
const endAndResetQuery = "SELECT * FROM group_state(); SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = 7 AND objsubid = 1 AND granted; " +
	"CLOSE ALL; SET SESSION AUTHORIZATION DEFAULT; RESET ALL; UNLISTEN *; " +
	"SELECT pg_advisory_unlock_all(); DISCARD PLANS; DISCARD TEMP; DISCARD SEQUENCES"

// BenchmarkStatement runs the same statement over each path of one installation: at the
// server directly, through the VM that is its holder, and through another VM (hop).
// cpu-us/op is the CPU time of the whole process, caller and stand-ins included, less
// the CPU time of the idle installation over the same time. raw and settled run the
// statement at the stand-in without a client library. settled also sends
// endAndResetQuery, so its difference from raw is the server's part of the cost that the
// holder adds.
func BenchmarkStatement(b *testing.B) {
	s := startSystem(b)
	idleShare := idleCPU(b)
	paths := []struct{ name, dsn string }{
		{"direct", "postgres://proxy@" + s.Groups["orders"].Servers()[0].Address() + "/orders?sslmode=disable"},
		{"holder", s.DSN(s.VMs[0], "counter", "jelly", "orders")},
		{"hop", s.DSN(s.VMs[1], "counter", "jelly", "orders")},
	}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) { benchmarkClient(b, p.dsn, idleShare) })
	}
	address := s.Groups["orders"].Servers()[0].Address()
	b.Run("raw", func(b *testing.B) { benchmarkRaw(b, address, idleShare, "") })
	b.Run("settled", func(b *testing.B) { benchmarkRaw(b, address, idleShare, endAndResetQuery) })
}

func startSystem(b *testing.B) *system.System {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, err := system.New(ctx, system.Options{
		Places:        []system.Place{{Zone: "abbotsford", Region: "mainland"}, {Zone: "chilliwack", Region: "mainland"}, {Zone: "kelowna", Region: "okanagan"}},
		Databases:     []string{"orders"},
		Servers:       backend.Options{Slots: 3, Connections: 20, ConnectTime: 12},
		Accounts:      []system.Account{{Name: "counter", Key: "jelly", Rate: 1e6, Burst: 1e6, Weight: 1}},
		RoutesSection: "routes:\n  - {name: box, database: orders, kind: write}\n",
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

// idleCPU returns the share of one core, from 0 to 1, that the idle installation uses.
func idleCPU(b *testing.B) float64 {
	b.Helper()
	before := cpuTime(b)
	time.Sleep(idleDuration)
	return float64(cpuTime(b)-before) / float64(idleDuration)
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	d, err := CPUTime()
	if err != nil {
		b.Fatal(err)
	}
	return d
}

// benchmarkClient runs the statement through pgx. idleShare is the share of a core that
// the idle installation uses.
func benchmarkClient(b *testing.B, dsn string, idleShare float64) {
	c, err := pgx.Connect(b.Context(), dsn)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, err := c.Exec(b.Context(), "INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	startTime, startCPU := time.Now(), cpuTime(b)
	var v string
	for b.Loop() {
		if err := c.QueryRow(b.Context(), statement, "7").Scan(&v); err != nil {
			b.Fatal(err)
		}
	}
	netCPU := float64(cpuTime(b)-startCPU) - idleShare*float64(time.Since(startTime))
	b.ReportMetric(netCPU/float64(b.N)/1000, "cpu-us/op")
}

// benchmarkRaw runs the statement over a connection without a client library, followed
// by nextQuery as a simple query unless that is empty.
func benchmarkRaw(b *testing.B, address string, idleShare float64, nextQuery string) {
	c, err := proto.Dial(b.Context(), proto.Options{Address: address, Database: "orders", User: "proxy"})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	c.Acquire(1)
	exchange(b, c, encodeMessages(b, &pgproto3.Parse{Name: "s", Query: statement}, &pgproto3.Sync{}), 1)
	out, readyCount := encodeMessages(b, &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("7")}},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{}), 1
	if nextQuery != "" {
		out, readyCount = append(out, proto.QueryMessage(nextQuery)...), 2
	}
	b.ReportAllocs()
	startTime, startCPU := time.Now(), cpuTime(b)
	for b.Loop() {
		exchange(b, c, out, readyCount)
	}
	netCPU := float64(cpuTime(b)-startCPU) - idleShare*float64(time.Since(startTime))
	b.ReportMetric(netCPU/float64(b.N)/1000, "cpu-us/op")
}

func encodeMessages(b *testing.B, list ...pgproto3.FrontendMessage) []byte {
	b.Helper()
	var out []byte
	for _, m := range list {
		var err error
		if out, err = m.Encode(out); err != nil {
			b.Fatal(err)
		}
	}
	return out
}

// exchange sends messages and reads until readyCount ReadyForQuery messages have come.
func exchange(b *testing.B, c *proto.Conn, out []byte, readyCount int) {
	b.Helper()
	if err := c.Write(1, out); err != nil {
		b.Fatal(err)
	}
	buf := make([]byte, 0, 512)
	for readyCount > 0 {
		grown, m, err := c.ReadMessage(1, buf[:0])
		if err != nil {
			b.Fatal(err)
		}
		buf = grown
		if m.Type() == 'E' {
			b.Fatal(proto.ParseError(m))
		}
		if m.Type() == 'Z' {
			readyCount--
		}
	}
}
