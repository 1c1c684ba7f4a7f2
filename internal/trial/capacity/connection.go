package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

const (
	// datagramSize is the size of a large heartbeat in bytes.
	datagramSize = 115
	// datagramCount is the number of datagrams whose CPU time is measured.
	datagramCount = 4000
	// idleConnectionTime is how long idle connections are measured. It spans several
	// rounds in which a transport looks for connections to keep alive or to close.
	idleConnectionTime = 6 * time.Second
)

// connectionCounts are the numbers of connections that are measured.
var connectionCounts = []int{8, 32, 96}

// ConnectionCost is the cost of connections between VMs, both ends together.
type ConnectionCost struct {
	Points []ConnectionPoint `json:"points"`
	// CPU, in percent of one core, and Memory, in bytes, are lines over the number of
	// connections.
	CPU    Line `json:"core"`
	Memory Line `json:"memory"`
	// DatagramCPUTime is the CPU time of one datagram in microseconds, at the last of
	// connectionCounts.
	DatagramCPUTime float64 `json:"datagram"`
}

// ConnectionPoint is the cost of a number of idle connections, in the units of
// ConnectionCost.
type ConnectionPoint struct {
	Connections int     `json:"connections"`
	CPU         float64 `json:"core"`
	Memory      float64 `json:"memory"`
}

func measureConnectionCost(ctx context.Context) (ConnectionCost, error) {
	var out ConnectionCost
	var x, cpu, memory []float64
	for _, n := range connectionCounts {
		p, datagram, err := measureConnections(ctx, n)
		if err != nil {
			return out, err
		}
		out.Points, out.DatagramCPUTime = append(out.Points, p), datagram
		x, cpu, memory = append(x, float64(n)), append(cpu, p.CPU), append(memory, p.Memory)
	}
	out.CPU, out.Memory = FitLine(x, cpu), FitLine(x, memory)
	return out, nil
}

// measureConnections connects one transport to n others. It returns the cost of the
// idle connections and the CPU time of a datagram in microseconds.
func measureConnections(ctx context.Context, n int) (ConnectionPoint, float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var transports []*peer.Transport
	defer func() {
		cancel()
		for _, t := range transports {
			<-t.Done()
		}
	}()
	authority, err := keys.NewAuthority()
	if err != nil {
		return ConnectionPoint{}, 0, err
	}
	var received atomic.Int64
	for i := range n + 1 {
		t, err := listen(authority, fmt.Sprintf("vm%d", i))
		if err != nil {
			return ConnectionPoint{}, 0, err
		}
		go t.Serve(ctx, peer.Handlers{
			StreamFunc:   func(context.Context, string, peer.Stream) {},
			DatagramFunc: func(string, []byte) { received.Add(1) },
		})
		transports = append(transports, t)
	}
	baselineMemory, baselineCPU := cost.MemoryInUse(), cpuPercent(ctx, time.Second)
	for _, t := range transports[1:] {
		if err := transports[0].SendDatagram(ctx, t.Address(), make([]byte, datagramSize)); err != nil {
			return ConnectionPoint{}, 0, err
		}
	}
	if err := clock.System().Sleep(ctx, clock.Second); err != nil {
		return ConnectionPoint{}, 0, err
	}
	p := ConnectionPoint{Connections: n, Memory: float64(cost.MemoryInUse() - baselineMemory)}
	p.CPU = cpuPercent(ctx, idleConnectionTime) - baselineCPU
	datagram, err := measureDatagramCPUTime(ctx, transports, &received)
	return p, datagram, err
}

func listen(a *keys.Authority, name string) (*peer.Transport, error) {
	material, err := a.Issue(name)
	if err != nil {
		return nil, err
	}
	keyring, err := keys.NewKeyring(material)
	if err != nil {
		return nil, err
	}
	return peer.Listen("127.0.0.1:0", keyring, peer.Options{Clock: clock.System()})
}

// measureDatagramCPUTime sends datagrams from the first transport to each of the others
// in turn, slowly enough that each goes in a packet of its own. It returns the CPU time
// of one datagram, both ends together, in microseconds.
func measureDatagramCPUTime(ctx context.Context, transports []*peer.Transport, received *atomic.Int64) (float64, error) {
	body, receivers := make([]byte, datagramSize), transports[1:]
	idleShare := cpuPercent(ctx, time.Second) / 100
	startReceived, startTime, startCPU := received.Load(), time.Now(), cpuTime()
	for i := range datagramCount {
		if err := transports[0].SendDatagram(ctx, receivers[i%len(receivers)].Address(), body); err != nil {
			return 0, err
		}
		if i%len(receivers) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	_ = clock.System().Sleep(ctx, clock.Second/10) // the last datagrams are in flight
	netCPU := float64(cpuTime()-startCPU) - idleShare*float64(time.Since(startTime))
	arrived := float64(received.Load() - startReceived)
	if arrived == 0 {
		return 0, errors.New("no datagram arrived")
	}
	return netCPU / arrived / float64(time.Microsecond), nil
}
