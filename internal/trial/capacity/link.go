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
	// datagramSize is the bytes of a large beat.
	datagramSize = 115
	// datagrams is the number of datagrams that are sent, a few at a time.
	datagrams = 4000
	// linkTime is how long connections at rest are measured; it holds several
	// rounds of what keeps them alive.
	linkTime = 6 * time.Second
)

// linkSizes is the numbers of connections.
var linkSizes = []int{8, 32, 96}

// Link is what connections between VMs cost, both ends together.
type Link struct {
	Points []LinkPoint `json:"points"`
	// Core is percent of one core and Memory bytes by the number of connections.
	Core   Line `json:"core"`
	Memory Line `json:"memory"`
	// Datagram is microseconds of processor time.
	Datagram float64 `json:"datagram"`
}

// LinkPoint is a number of connections at rest.
type LinkPoint struct {
	Connections int     `json:"connections"`
	Core        float64 `json:"core"`
	Memory      float64 `json:"memory"`
}

func measureLink(ctx context.Context) (Link, error) {
	var out Link
	var x, core, size []float64
	for _, n := range linkSizes {
		p, datagram, err := measureConnections(ctx, n)
		if err != nil {
			return out, err
		}
		out.Points, out.Datagram = append(out.Points, p), datagram
		x, core, size = append(x, float64(n)), append(core, p.Core), append(size, p.Memory)
	}
	out.Core, out.Memory = Fit(x, core), Fit(x, size)
	return out, nil
}

// measureConnections connects one VM to n others.
func measureConnections(ctx context.Context, n int) (LinkPoint, float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var all []*peer.Transport
	defer func() {
		cancel()
		for _, t := range all {
			<-t.Done()
		}
	}()
	authority, err := keys.NewAuthority()
	if err != nil {
		return LinkPoint{}, 0, err
	}
	var received atomic.Int64
	for i := range n + 1 {
		t, err := listen(authority, fmt.Sprintf("vm%d", i))
		if err != nil {
			return LinkPoint{}, 0, err
		}
		go t.Serve(ctx, peer.Handlers{
			StreamFunc:   func(context.Context, string, peer.Stream) {},
			DatagramFunc: func(string, []byte) { received.Add(1) },
		})
		all = append(all, t)
	}
	size, alone := cost.Memory(), coreOver(ctx, time.Second)
	for _, t := range all[1:] {
		if err := all[0].SendDatagram(ctx, t.Address(), make([]byte, datagramSize)); err != nil {
			return LinkPoint{}, 0, err
		}
	}
	if err := clock.System().Sleep(ctx, clock.Second); err != nil {
		return LinkPoint{}, 0, err
	}
	p := LinkPoint{Connections: n, Memory: float64(cost.Memory() - size)}
	p.Core = coreOver(ctx, linkTime) - alone
	datagram, err := measureDatagrams(ctx, all, &received)
	return p, datagram, err
}

func listen(a *keys.Authority, name string) (*peer.Transport, error) {
	m, err := a.Issue(name)
	if err != nil {
		return nil, err
	}
	ring, err := keys.NewKeyring(m)
	if err != nil {
		return nil, err
	}
	return peer.Listen("127.0.0.1:0", ring, peer.Options{Clock: clock.System()})
}

// measureDatagrams sends to each of the others in turn, slowly enough that each
// goes in a packet of its own, and returns microseconds for one.
func measureDatagrams(ctx context.Context, all []*peer.Transport, received *atomic.Int64) (float64, error) {
	body, others := make([]byte, datagramSize), all[1:]
	idle := coreOver(ctx, time.Second) / 100
	first, began, used := received.Load(), time.Now(), processor()
	for i := range datagrams {
		if err := all[0].SendDatagram(ctx, others[i%len(others)].Address(), body); err != nil {
			return 0, err
		}
		if i%len(others) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	_ = clock.System().Sleep(ctx, clock.Second/10)
	own := float64(processor()-used) - idle*float64(time.Since(began))
	arrived := float64(received.Load() - first)
	if arrived == 0 {
		return 0, errors.New("no datagram arrived")
	}
	return own / arrived / float64(time.Microsecond), nil
}
