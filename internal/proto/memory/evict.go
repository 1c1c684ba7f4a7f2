package memory

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
)

// maxEvictions is the number of stalled connections that one sweep closes at most to free memory.
const maxEvictions = 8

// AdmitCaller reports whether there is a descriptor for a new connection of a caller. It may close
// another connection for it. The limit leaves some descriptors free, since that of the closed
// connection is released a little later.
func (p *Pool) AdmitCaller() bool {
	if p == nil || p.limits.PermitsCaller(p.callers.Load(), p.servers.Load()) {
		return true
	}
	_, ok := p.EvictForDescriptor()
	return ok
}

// OpenServer is AdmitCaller for a connection to a backend server, and counts it. If it returns true,
// CloseServer must be called once the connection is closed.
func (p *Pool) OpenServer() bool {
	if p == nil {
		return true
	}
	ok := p.limits.PermitsServer(p.callers.Load(), p.servers.Load())
	if !ok {
		_, ok = p.EvictForDescriptor()
	}
	if ok {
		p.servers.Add(1)
	}
	return ok
}

// CloseServer counts the end of a connection to a backend server.
func (p *Pool) CloseServer() {
	if p != nil {
		p.servers.Add(-1)
	}
}

// Victim is a connection that was closed.
type Victim struct {
	Reason string
	Phase  allowance.Phase
}

// close closes the connection, and reports false if it has been closed before.
func (o *Owner) close(reason string) (Victim, bool) {
	if o.closing.Swap(true) {
		return Victim{}, false
	}
	v := Victim{Reason: reason, Phase: o.activity().Phase}
	metrics.GetOrCreateCounter(fmt.Sprintf("sycamoredoor_connections_closed_total{reason=%q,phase=%q}", v.Reason, v.Phase)).Inc()
	o.closeFunc()
	return v, true
}

// EvictForDescriptor closes the connection of a caller with the highest
// allowance.Activity.DescriptorRank, and reports whether there was one.
func (p *Pool) EvictForDescriptor() (Victim, bool) {
	return p.evict("descriptors", allowance.Activity.DescriptorRank)
}

// evict closes the connection of a caller with the highest rank above 0, and reports whether there was
// one. The reason is a label of metrics.
func (p *Pool) evict(reason string, rank func(allowance.Activity, clock.Millis) int64) (Victim, bool) {
	if p == nil {
		return Victim{}, false
	}
	now := p.clock.Now()
	var best *Owner
	var bestRank int64
	p.mu.Lock()
	for o := range p.owners {
		if o.closeFunc == nil || o.closing.Load() {
			continue
		}
		a := o.activity()
		a.Held = o.held[Message] + o.held[Work] + o.held[Session]
		if r := rank(a, now); r > bestRank {
			best, bestRank = o, r
		}
	}
	p.mu.Unlock()
	if best == nil {
		return Victim{}, false
	}
	return best.close(reason)
}

// Sweep closes the connections whose message or answer is overdue. If bytes were refused since the last
// sweep, it also closes connections that are stalled in the middle of a message or an answer, the longest
// first, at most maxEvictions. It returns what it closed. It must be called several times a second,
// because the progress of connections is recorded with the time of the last sweep.
func (p *Pool) Sweep() []Victim {
	if p == nil {
		return nil
	}
	now := p.clock.Now()
	p.now.Store(int64(now))
	refusedRecently := p.refusedRecently.Swap(false)
	var overdue []*Owner
	p.mu.Lock()
	var sum int64
	for o := range p.owners {
		for _, n := range o.held {
			sum += n
		}
		if o.closeFunc != nil && o.activity().IsOverdue(now) {
			overdue = append(overdue, o)
		}
	}
	used := p.used
	p.mu.Unlock()
	p.usedGauge.Set(float64(used))
	invariant.Check(sum == used, invariant.MemorySum, "%d bytes are taken, and the owners hold %d", used, sum)
	var out []Victim
	for _, o := range overdue {
		if v, ok := o.close("slow"); ok {
			out = append(out, v)
		}
	}
	for range maxEvictions {
		if !refusedRecently {
			break
		}
		v, ok := p.evict("memory", allowance.Activity.StalledRank)
		if !ok {
			break
		}
		out = append(out, v)
	}
	return out
}
