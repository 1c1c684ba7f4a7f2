package database

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

const (
	// dialTimeout bounds the opening of a connection, in milliseconds.
	dialTimeout = clock.Millis(900)
	// connLimitPause is the pause after the server refused a connection for lack of
	// free ones. It doubles with each further refusal, at most connLimitDoublings
	// times, or firstConnDoublings times while the VM has no other connection.
	connLimitPause     = clock.Millis(40)
	connLimitDoublings = 4
	firstConnDoublings = 2
	// connLimitMaxAge is how long after the pause a refusal still limits the attempts. A
	// server drops the connections of a dead VM after 3 s.
	connLimitMaxAge = 4 * clock.Second
)

// reserve returns a place in the pool for a connection to be opened by dial. The caller
// holds p.mu.
func (p *pool) reserve() *PooledConn {
	p.open++
	p.opening++
	return &PooledConn{pool: p}
}

// dial opens the connection for which pc holds a place in the pool. It returns
// ErrTooManyConnections or ErrUnreachable, and then gives up the place.
func (p *pool) dial(ctx context.Context, pc *PooledConn, account string, purpose dialPurpose) (*PooledConn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	o := p.group.options
	startedAt := o.Clock.Now()
	c, position, err := o.Protocol.DialFunc(dialCtx, p.entry(), account)
	if err != nil {
		err = p.dialFailed(pc, err)
		result := dialFailed
		if errors.Is(err, ErrTooManyConnections) {
			result = dialOverCap
		}
		o.Counters.dials[purpose][result].Inc()
		return nil, err
	}
	o.Counters.connections.Inc()
	o.Counters.dials[purpose][dialOpened].Inc()
	p.recordSuccess()
	p.mu.Lock()
	p.opening--
	// A connection that only replaces a closed one does not show that the server accepts
	// more than before, nor do those that are still being opened.
	if p.open-p.opening > p.connLimit {
		p.connLimitHits = 0
	}
	p.mu.Unlock()
	p.group.recordPosition(p.entry().ID, position, startedAt)
	*pc = PooledConn{
		pool: p, conn: c, account: account, priority: pc.priority, number: p.group.connectionCount.Add(1), granted: pc.granted, settings: map[string]string{},
		prepared: newPreparedStatements(), status: statement.Idle, openedAt: startedAt, usedAt: o.Clock.Now(),
	}
	return pc, nil
}

// dialFailed gives up the place of a connection that could not be opened, and returns
// the pool's error for err.
func (p *pool) dialFailed(pc *PooledConn, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	p.open--
	p.ungrant(pc)
	now := p.group.options.Clock.Now()
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Code == statement.TooManyConnections:
		p.recordConnLimit(now)
		err = ErrTooManyConnections
	default:
		p.recordFailureLocked()
		p.group.options.Log.Debug("connection failed", "server", p.entry().ID, "err", err)
		err = ErrUnreachable
	}
	p.dispatch()
	return err
}

// recordConnLimit records that the server accepts no more connections, and pauses the
// opening of others, because attempts by many VMs would only keep the server busy. A VM
// that has connections to use can pause for longer. The caller holds p.mu.
func (p *pool) recordConnLimit(now clock.Millis) {
	doublings := connLimitDoublings
	if now-p.connLimitUntil >= connLimitMaxAge {
		p.connLimitHits = 0
	}
	accepted := p.open - p.opening
	if accepted == 0 {
		doublings = firstConnDoublings
	}
	p.connLimitUntil = now + connLimitPause<<min(p.connLimitHits, doublings)
	p.connLimitHits++
	p.connLimit = accepted
}

// connLimitHolds reports whether the server is assumed to accept no more connections.
// After the pause one attempt at a time finds out whether that has changed. The caller
// holds p.mu.
func (p *pool) connLimitHolds(now clock.Millis) bool {
	if now < p.connLimitUntil {
		return true
	}
	return p.connLimitHits > 0 && p.opening > 0 && now-p.connLimitUntil < connLimitMaxAge
}

// ungrant takes back the grant of a connection that has run no statement. The caller
// holds p.mu.
func (p *pool) ungrant(pc *PooledConn) {
	if pc.granted {
		pc.granted = false
		p.granted--
		p.slow.quota = p.slow.quota.WithReturned()
	}
}
