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
	// crowdedPause is the pause after the server had no connection to give. It doubles
	// with each further time, so many times, and only so many while the VM has none.
	crowdedPause     = clock.Millis(40)
	crowdedDoublings = 4
	bareDoublings    = 2
)

// dial opens the connection that a Held has the right to.
func (p *pool) dial(ctx context.Context, h *Held, account string) (*Held, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	o := p.group.options
	began := o.Clock.Now()
	c, mark, err := o.Protocol.DialFunc(bounded, p.info(), account)
	if err != nil {
		return nil, p.dialFailed(h, err)
	}
	o.Counters.connections.Inc()
	p.succeed()
	p.mu.Lock()
	if p.open > p.room {
		p.crowds = 0
	}
	p.mu.Unlock()
	p.group.noteMark(p.info().ID, mark, began)
	*h = Held{
		pool: p, conn: c, account: account, first: h.first, values: map[string]string{},
		prepared: map[statement.Shape]string{}, used: o.Clock.Now(),
	}
	return h, nil
}

func (p *pool) dialFailed(h *Held, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ungrant(h)
	now := p.group.options.Clock.Now()
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Code == statement.TooManyConnections:
		p.crowd(now)
		err = ErrCrowded
	default:
		p.failLocked()
		p.group.options.Log.Debug("connection failed", "server", p.info().ID, "err", err)
		err = ErrUnreachable
	}
	p.open--
	p.dispatch()
	return err
}

// crowd notes that the server takes no more connections. A VM that has some goes on
// with these; attempts of many VMs would only keep the server busy. It needs the lock.
func (p *pool) crowd(now clock.Millis) {
	most := crowdedDoublings
	if p.open <= 1 {
		most = bareDoublings
	}
	p.crowded = now + crowdedPause<<min(p.crowds, most)
	p.crowds++
	p.room = p.open - 1
}

// ungrant takes back a turn that was not used. It needs the lock.
func (p *pool) ungrant(h *Held) {
	if h.first {
		h.first = false
		p.granted--
	}
}
