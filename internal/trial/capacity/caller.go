package capacity

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// callerCounts are the numbers of idle callers at which memory is measured.
var callerCounts = []int{250, 500, 1000, 2000}

const (
	// statementCount is the number of statements that are run on each path of
	// measureStatements.
	statementCount = 2000
	statement      = "SELECT v FROM box WHERE id = $1 /*route='box'*/"
)

// CallerMemory is the memory of the whole process, in bytes, with a number of idle
// callers.
type CallerMemory struct {
	Callers int   `json:"count"`
	Memory  int64 `json:"memory"`
}

// StatementCost is the CPU time of one statement in microseconds. It includes the
// caller and the stand-in, but not the CPU time of the idle installation.
type StatementCost struct {
	// Path is direct, holder or hop; see measureStatements.
	Path    string  `json:"path"`
	CPUTime float64 `json:"core"`
}

// measureEntryProxy measures idle callers and statements in an installation of 3 VMs.
func measureEntryProxy(ctx context.Context) ([]CallerMemory, []StatementCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := startSystem(ctx, 3)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	defer func() { _ = s.Wait(system.Timeout.Duration()) }()
	defer cancel()
	statements, err := measureStatements(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	callers, err := measureIdleCallers(s)
	return callers, statements, err
}

// places are assigned in turn to the VMs.
var places = []system.Place{{Zone: "abbotsford", Region: "mainland"}, {Zone: "chilliwack", Region: "mainland"}, {Zone: "kelowna", Region: "okanagan"}}

func startSystem(ctx context.Context, vms int) (*system.System, error) {
	o := system.Options{
		Databases:     []string{"orders"},
		Servers:       backend.Options{Slots: 3, Connections: 20, ConnectTime: 12},
		Accounts:      []system.Account{{Name: "counter", Key: "jelly", Rate: 1e6, Burst: 1e6, Weight: 1}},
		RoutesSection: "routes:\n  - {name: box, database: orders, kind: write}\n  - {name: list, database: orders, kind: read, open: true}\n",
	}
	for i := range vms {
		o.Places = append(o.Places, places[i%len(places)])
	}
	return system.New(ctx, o)
}

// measureStatements measures a statement on each path: sent to the backend server
// directly, through the VM that is the server's holder, and through another VM (hop).
func measureStatements(ctx context.Context, s *system.System) ([]StatementCost, error) {
	idleShare := cpuPercent(ctx, time.Second) / 100
	var out []StatementCost
	for _, p := range []struct{ name, dsn string }{
		{"direct", "postgres://proxy@" + s.Groups["orders"].Servers()[0].Address() + "/orders?sslmode=disable"},
		{"holder", s.DSN(s.VMs[0], "counter", "jelly", "orders")},
		{"hop", s.DSN(s.VMs[1], "counter", "jelly", "orders")},
	} {
		micros, err := measureStatement(ctx, p.dsn, idleShare)
		if err != nil {
			return nil, errors.Wrapf(err, "path %s", p.name)
		}
		out = append(out, StatementCost{Path: p.name, CPUTime: micros})
	}
	return out, nil
}

// measureStatement returns the CPU time of one statement in microseconds. idleShare is
// the share of a core, from 0 to 1, that the idle installation uses.
func measureStatement(ctx context.Context, dsn string, idleShare float64) (float64, error) {
	c, err := pgx.Connect(ctx, dsn)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, err := c.Exec(ctx, "INSERT INTO box (id, v) VALUES ('7', 'plum') ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/"); err != nil {
		return 0, err
	}
	start, startCPU := time.Now(), cpuTime()
	for range statementCount {
		var v string
		if err := c.QueryRow(ctx, statement, "7").Scan(&v); err != nil {
			return 0, err
		}
	}
	netCPU := float64(cpuTime()-startCPU) - idleShare*float64(time.Since(start))
	return netCPU / statementCount / float64(time.Microsecond), nil
}

// measureIdleCallers measures the memory without callers and then with each number of
// callerCounts, which are idle after one statement. The memory includes the callers' ends
// of the connections, which are in this process too.
func measureIdleCallers(s *system.System) ([]CallerMemory, error) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	out := []CallerMemory{{Memory: cost.MemoryInUse()}}
	for _, n := range callerCounts {
		for len(conns) < n {
			c, err := connectIdleCaller(s.VMs[len(conns)%len(s.VMs)].Address())
			if err != nil {
				return nil, err
			}
			conns = append(conns, c)
		}
		out = append(out, CallerMemory{Callers: n, Memory: cost.MemoryInUse()})
	}
	return out, nil
}

// connectIdleCaller connects an anonymous caller and runs one statement.
func connectIdleCaller(address string) (net.Conn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(startTimeout))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "nobody", "database": "orders", "sycamoredoor.route": "list",
	}})
	if err := awaitReady(f); err != nil {
		_ = c.Close()
		return nil, err
	}
	f.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := awaitReady(f); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// awaitReady flushes f and receives messages up to ReadyForQuery.
func awaitReady(f *pgproto3.Frontend) error {
	if err := f.Flush(); err != nil {
		return err
	}
	for {
		m, err := f.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.ErrorResponse:
			return errors.Errorf("the entry proxy refused: %s", m.Message)
		}
	}
}
