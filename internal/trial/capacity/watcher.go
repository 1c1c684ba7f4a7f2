package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	decide "github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/holder"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

const (
	// watcherTime is how long idle watchers, and the groups without them, are measured.
	watcherTime = 3 * time.Second
	// watcherSettleTime is the pause between the start of watchers and their measurement.
	watcherSettleTime = 2 * clock.Second
	// startTimeout limits the start of holders, and the connection of an idle caller.
	startTimeout = 20 * time.Second
	// queryOverhead is the size in bytes of the TCP and IP headers of a query, its answer
	// and one acknowledgement.
	queryOverhead = 3 * 40
)

// groupCounts are the numbers of database groups that are watched.
var groupCounts = []int{1, 3, 9, 27}

// The kinds of watcher: a holder watches a backend server, an observer a database
// group.
const (
	KindHolder   = "holder"
	KindObserver = "observer"
)

// WatcherCost is the cost of an idle holder of one server, or of an idle observer of one
// group. It includes the part of the stand-ins that answers it.
type WatcherCost struct {
	Kind   string         `json:"kind"`
	Points []WatcherPoint `json:"points"`
	// CPU, in percent of one core, and Memory, in bytes, are lines over the number of
	// watchers.
	CPU    Line `json:"core"`
	Memory Line `json:"memory"`
	// Queries and Bytes are per second for one watcher. Bytes counts both directions.
	Queries float64 `json:"queries"`
	Bytes   float64 `json:"bytes"`
}

// WatcherPoint is the cost of the watchers of a number of groups of three servers, in
// the units of WatcherCost.
type WatcherPoint struct {
	Groups   int     `json:"groups"`
	Watchers int     `json:"watchers"`
	CPU      float64 `json:"core"`
	Memory   float64 `json:"memory"`
}

// watcherFunc starts the watchers of one database and returns their Done channels, even
// if it also returns an error.
type watcherFunc func(ctx context.Context, d document.Database) ([]<-chan struct{}, error)

func measureWatchers(ctx context.Context) ([]WatcherCost, error) {
	var out []WatcherCost
	for _, k := range []struct {
		kind  string
		start watcherFunc
	}{{KindHolder, startHolders}, {KindObserver, startObserver}} {
		w, err := measureWatcher(ctx, k.start)
		if err != nil {
			return nil, errors.Wrap(err, k.kind)
		}
		w.Kind = k.kind
		out = append(out, w)
	}
	return out, nil
}

func measureWatcher(ctx context.Context, start watcherFunc) (WatcherCost, error) {
	var w WatcherCost
	var x, cpu, memory []float64
	for _, n := range groupCounts {
		p, err := measureGroups(ctx, n, start)
		if err != nil {
			return w, err
		}
		w.Points = append(w.Points, p)
		x, cpu, memory = append(x, float64(p.Watchers)), append(cpu, p.CPU), append(memory, p.Memory)
	}
	w.CPU, w.Memory = FitLine(x, cpu), FitLine(x, memory)
	var err error
	w.Queries, w.Bytes, err = countQueries(ctx, start)
	return w, err
}

// measureGroups measures the watchers of n groups. The cost of the groups alone is
// subtracted.
func measureGroups(ctx context.Context, n int, start watcherFunc) (WatcherPoint, error) {
	ctx, cancel := context.WithCancel(ctx)
	var doneChans []<-chan struct{}
	defer func() {
		cancel()
		for _, done := range doneChans {
			<-done
		}
	}()
	var databases []document.Database
	for i := range n {
		g, err := newGroup(ctx, fmt.Sprintf("orders%d", i))
		if err != nil {
			return WatcherPoint{}, err
		}
		doneChans, databases = append(doneChans, g.Done()), append(databases, databaseOf(g))
	}
	baselineCPU, baselineMemory := cpuPercent(ctx, watcherTime), cost.MemoryInUse()
	watchers := 0
	for _, d := range databases {
		done, err := start(ctx, d)
		doneChans, watchers = append(doneChans, done...), watchers+len(done)
		if err != nil {
			return WatcherPoint{}, err
		}
	}
	if err := clock.System().Sleep(ctx, watcherSettleTime); err != nil {
		return WatcherPoint{}, err
	}
	p := WatcherPoint{Groups: n, Watchers: watchers, Memory: float64(cost.MemoryInUse() - baselineMemory)}
	p.CPU = cpuPercent(ctx, watcherTime) - baselineCPU
	return p, nil
}

func newGroup(ctx context.Context, name string) (*backend.Group, error) {
	names := []string{name + "-1", name + "-2", name + "-3"}
	return backend.NewGroup(ctx, name, names, backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, Clock: clock.System()})
}

func databaseOf(g *backend.Group) document.Database {
	out := document.Database{Name: "orders"}
	for _, s := range g.Servers() {
		out.Servers = append(out.Servers, document.Server{Name: s.Name(), Address: s.Address(), Zone: "zone1", Region: "region1", Slots: 3, Connections: 20})
	}
	return out
}

// cpuPercent waits for d and returns the CPU time that the process used during it, in
// percent of one core.
func cpuPercent(ctx context.Context, d time.Duration) float64 {
	before, startTime := cpuTime(), time.Now()
	_ = clock.System().Sleep(ctx, clock.Millis(d.Milliseconds()))
	return 100 * float64(cpuTime()-before) / float64(time.Since(startTime))
}

// startHolders starts a holder for each server of a database and waits until each holds
// its server. It is a watcherFunc.
func startHolders(ctx context.Context, d document.Database) ([]<-chan struct{}, error) {
	var doneChans []<-chan struct{}
	var holders []*holder.Holder
	for _, s := range d.Servers {
		h := holder.New(holder.Options{
			Server: s, Database: d.Name, VM: "vm1", User: "proxy", Clock: clock.System(),
			ConfirmFunc: func(context.Context, string, floor.Term) bool { return true },
		})
		go h.Run(ctx)
		holders, doneChans = append(holders, h), append(doneChans, h.Done())
	}
	for startTime := time.Now(); !allHeld(holders); time.Sleep(time.Millisecond) {
		if time.Since(startTime) > startTimeout {
			return doneChans, errors.New("the holders did not acquire their backend servers")
		}
	}
	return doneChans, nil
}

func allHeld(holders []*holder.Holder) bool {
	for _, h := range holders {
		if _, held := h.State(); !held {
			return false
		}
	}
	return true
}

// startObserver starts an observer of a database group; the observer is the only voter.
// It is a watcherFunc.
func startObserver(ctx context.Context, d document.Database) ([]<-chan struct{}, error) {
	self := decide.Voter{VM: "vm1", Zone: "zone1"}
	o := primary.New(primary.Options{
		Database: d, Self: self, Nonce: "capacity", User: "proxy", Clock: clock.System(), Log: log.New(io.Discard),
		VotersFunc:        func() []decide.Voter { return []decide.Voter{self} },
		NotifyPrimaryFunc: func(floor.Term, string) {},
	})
	go o.Run(ctx)
	return []<-chan struct{}{o.Done()}, nil
}

// trafficCounter counts the traffic of the TCP relays in front of a group's stand-ins.
type trafficCounter struct {
	bytes   atomic.Int64
	queries atomic.Int64
}

// Write counts a write to the server as one query.
func (c *trafficCounter) Write(p []byte) (int, error) {
	c.queries.Add(1)
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// countQueries returns the queries per second of one watcher, and the bytes per second
// that it sends and receives, with queryOverhead. It calls start for one group and divides
// the traffic by the number of watchers.
func countQueries(ctx context.Context, start watcherFunc) (queries, bytes float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var doneChans []<-chan struct{}
	defer func() {
		cancel()
		for _, done := range doneChans {
			<-done
		}
	}()
	g, err := newGroup(ctx, "orders")
	if err != nil {
		return 0, 0, err
	}
	doneChans = append(doneChans, g.Done())
	d, c := databaseOf(g), &trafficCounter{}
	for i, s := range d.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, 0, err
		}
		defer func() { _ = l.Close() }()
		go c.relay(l, s.Address)
		d.Servers[i].Address = l.Addr().String()
	}
	done, err := start(ctx, d)
	doneChans = append(doneChans, done...)
	if err != nil {
		return 0, 0, err
	}
	if err := clock.System().Sleep(ctx, watcherSettleTime); err != nil {
		return 0, 0, err
	}
	startQueries, startBytes := c.queries.Load(), c.bytes.Load()
	cpuPercent(ctx, watcherTime) // used only to wait
	watcherSeconds := watcherTime.Seconds() * float64(len(done))
	queries = float64(c.queries.Load()-startQueries) / watcherSeconds
	return queries, float64(c.bytes.Load()-startBytes)/watcherSeconds + queries*queryOverhead, nil
}

// relay forwards every connection of l to address until l is closed.
func (c *trafficCounter) relay(l net.Listener, address string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", address)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() {
			_, _ = io.Copy(io.MultiWriter(out, c), in)
			_ = out.Close()
		}()
		go func() {
			_, _ = io.Copy(io.MultiWriter(in, answerCounter{c}), out)
			_ = in.Close()
		}()
	}
}

// answerCounter counts the bytes of answers, which are not queries.
type answerCounter struct{ counter *trafficCounter }

// Write counts bytes from the server.
func (b answerCounter) Write(p []byte) (int, error) {
	b.counter.bytes.Add(int64(len(p)))
	return len(p), nil
}
