package database

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// takeIdle returns the idle connection of an account that was used last.
func (p *pool) takeIdle(account string) *PooledConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if h := p.idle[i]; h.account == account {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return h
		}
	}
	return nil
}

// evict closes the idle connection that was used longest ago, whoever it was
// for, and returns the right to open another.
func (p *pool) evict() *PooledConn {
	if len(p.idle) == 0 {
		return nil
	}
	h := p.idle[0]
	p.idle = p.idle[1:]
	h.conn.CloseFunc()
	return &PooledConn{pool: p}
}

// release takes a connection back.
func (p *pool) release(h *PooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	p.ungrant(h)
	if h.released {
		h.checkNotReleased()
		return
	}
	if h.broken || p.closed || p.open > p.maxConns() {
		h.conn.CloseFunc()
		h.released = true
		p.open--
		return
	}
	returned := *h
	returned.usedAt = p.group.options.Clock.Now()
	h.released = true
	p.idle = append(p.idle, &returned)
}

// trim closes connections that were idle for longer than idleTime, but those that
// are kept for accounts that come again: what the VMs of a zone hold when they lose
// power stays open at the server for seconds, and is missing to those that start then.
func (p *pool) trim(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.dispatch()
	keepIdle := p.group.options.KeepIdleFunc(p.entry())
	for len(p.idle) > 0 {
		idle := now - p.idle[0].usedAt
		if idle <= idleTimeout || p.open <= keepIdle && idle <= keptIdleTimeout || len(p.idle) == 1 && idle <= lastIdleTimeout {
			return
		}
		p.idle[0].conn.CloseFunc()
		p.idle = p.idle[1:]
		p.open--
	}
}

// idleTimeout is how long a connection is kept for the next statement, in milliseconds.
const idleTimeout = clock.Millis(250)

const (
	// keptIdleTimeout bounds how long a connection is kept that KeepFunc allows, in milliseconds.
	keptIdleTimeout = 10 * clock.Second
	// lastIdleTimeout is the same for the last one, which may be used for the next question.
	lastIdleTimeout = clock.Second
)

// close lets nobody take a connection any more; those in use are closed as they
// come back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, h := range p.idle {
		h.conn.CloseFunc()
		p.open--
	}
	p.idle = nil
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		item.Value.(*waiter).ready <- nil
	}
}
