package database

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// takeIdle removes and returns the most recently used idle connection of an account,
// or nil. The caller holds p.mu.
func (p *pool) takeIdle(account string) *PooledConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if pc := p.idle[i]; pc.account == account {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return pc
		}
	}
	return nil
}

// evict closes the least recently used idle connection of any account, and returns
// the right to open another (a PooledConn without conn), or nil if none is idle. The
// caller holds p.mu.
func (p *pool) evict() *PooledConn {
	if len(p.idle) == 0 {
		return nil
	}
	pc := p.idle[0]
	p.idle = p.idle[1:]
	pc.conn.CloseFunc()
	p.open--
	return p.reserve()
}

// release returns a connection to the pool. It closes the connection if it is broken,
// too many are open, or the pool is closed.
func (p *pool) release(pc *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	p.ungrant(pc)
	if pc.released {
		pc.checkNotReleased()
		return
	}
	if pc.broken || p.closed || p.open > p.maxConns() || statement.SettingsSize(pc.settings) > maxIdleSettings {
		pc.conn.CloseFunc()
		pc.released = true
		p.open--
		return
	}
	// The pool gets a copy, so that a use of pc after its release is detected.
	returned := *pc
	returned.usedAt, returned.primary = p.group.options.Clock.Now(), false
	pc.released = true
	p.idle = append(p.idle, &returned)
}

// trim closes connections whose idle timeout has passed. keptIdleTimeout keeps some for
// the next requests of their accounts. Their number is limited because the connections
// of a zone that loses power stay open at the server for seconds, during which VMs that
// start may get none.
func (p *pool) trim(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	p.logCold(now)
	maxIdle := p.group.options.MaxIdleFunc(p.entry())
	for len(p.idle) > 0 {
		idle := now - p.idle[0].usedAt
		if idle <= idleTimeout || p.open <= maxIdle && idle <= keptIdleTimeout || len(p.idle) == 1 && idle <= lastIdleTimeout {
			return
		}
		p.idle[0].conn.CloseFunc()
		p.idle = p.idle[1:]
		p.open--
	}
}

// idleTimeout is how long an idle connection is kept for the next statement, in
// milliseconds.
const idleTimeout = clock.Millis(250)

const (
	// keptIdleTimeout replaces idleTimeout while no more connections are open than
	// MaxIdleFunc allows, in milliseconds.
	keptIdleTimeout = 10 * clock.Second
	// lastIdleTimeout replaces idleTimeout for the last idle connection, which the
	// next probe may use.
	lastIdleTimeout = clock.Second
)

// close stops the pool: no connection can be acquired, and those in use are closed on
// release.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	metrics.UnregisterMetric(p.windowMetric)
	for _, pc := range p.idle {
		pc.conn.CloseFunc()
		p.open--
	}
	p.idle = nil
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		item.Value.(*waiter).ready <- nil
	}
}

// maxIdleSettings is the size of the settings that an idle connection may have, in bytes. They
// belong to no session, so no owner of memory accounts for them; a connection with more is closed.
const maxIdleSettings = 16 << 10
