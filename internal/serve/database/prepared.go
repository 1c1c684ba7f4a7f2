package database

import (
	"crypto/sha256"
	"strconv"

	"github.com/go-faster/errors"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// maxPrepared is the number of prepared statements that one connection keeps.
const maxPrepared = 256

// preparedStatements names the prepared statements of one connection. A name is made of a number
// that the connection uses once, and of no text of a client.
type preparedStatements struct {
	names *lru.LRU[shapeKey, string]
	// lastNumber is the number of the last name.
	lastNumber uint64
}

// shapeKey identifies a shape. It does not hold the text, which may be as long as a message.
type shapeKey struct {
	isWrite bool
	digest  [sha256.Size]byte
}

func keyOf(s statement.Shape) shapeKey {
	return shapeKey{isWrite: s.IsWrite, digest: sha256.Sum256([]byte(s.Text))}
}

func newPreparedStatements() *preparedStatements {
	names, _ := lru.NewLRU[shapeKey, string](maxPrepared, nil)
	return &preparedStatements{names: names}
}

// name returns the name under which a shape is prepared, if it is.
func (p *preparedStatements) name(s statement.Shape) (string, bool) { return p.names.Get(keyOf(s)) }

// newName returns a name that the connection has not used yet.
func (p *preparedStatements) newName() string {
	p.lastNumber++
	return "p" + strconv.FormatUint(p.lastNumber, 10)
}

// surplus removes the least recently used statement and returns its name, if there is no room for
// another one.
func (p *preparedStatements) surplus() (string, bool) {
	if p.names.Len() < maxPrepared {
		return "", false
	}
	_, name, ok := p.names.RemoveOldest()
	return name, ok
}

// add records that a shape is prepared under a name.
func (p *preparedStatements) add(s statement.Shape, name string) { p.names.Add(keyOf(s), name) }

// remove removes a shape that the server does not know.
func (p *preparedStatements) remove(s statement.Shape) { p.names.Remove(keyOf(s)) }

// clear removes all shapes, after the server's session was reset.
func (p *preparedStatements) clear() { p.names.Purge() }

// errNoTimeLeft means that preparing a statement took all its time.
var errNoTimeLeft = errors.New("preparing the statement took its whole time")

// prepare returns the name of the prepared statement that a request executes, or "" if it executes
// none, and prepares it at the server if necessary. If its shape is invalid there, refusal is the
// answer to the execution; otherwise its code is statement.Success. Any error is an *UnsentError,
// after which the connection is broken.
func (pc *PooledConn) prepare(r Request) (name string, refusal statement.Answer, err error) {
	if r.Execution.IsZero() {
		return "", refusal, nil
	}
	shape := r.Execution.Shape
	if name, ok := pc.prepared.name(shape); ok {
		return name, refusal, nil
	}
	c := pc.pool.group.options.Clock
	deadline := c.Now() + r.Timeout
	err = pc.makeRoom(r.Timeout)
	if err == nil {
		name = pc.prepared.newName()
		err = pc.conn.PrepareFunc(name, shape, deadline-c.Now())
	}
	if refusal, ok := pc.shapeRefusal(err); ok {
		return "", refusal, nil
	}
	if err == nil && c.Now() >= deadline {
		err = errNoTimeLeft
	}
	if err != nil {
		pc.broken = true
		return "", refusal, &UnsentError{Cause: err}
	}
	pc.logPrepared(name, shape)
	pc.pool.group.options.Counters.prepares.Inc()
	pc.prepared.add(shape, name)
	return name, refusal, nil
}

// makeRoom drops the least recently used prepared statement if there is no room for another one.
func (pc *PooledConn) makeRoom(timeout clock.Millis) error {
	name, ok := pc.prepared.surplus()
	if !ok {
		return nil
	}
	if err := pc.conn.DeallocateFunc(name, timeout); err != nil {
		// The answer to the caller's statement does not follow from that of another one.
		return errors.Errorf("make room for a prepared statement: %v", err)
	}
	pc.pool.group.options.Counters.evictions.Inc()
	return nil
}

// shapeRefusal returns the answer to the execution of a shape that no server would prepare, and
// whether err means that.
func (pc *PooledConn) shapeRefusal(err error) (statement.Answer, bool) {
	var unsendable *UnsendableError
	if errors.As(err, &unsendable) {
		return pc.refuseUnsendable(unsendable), true
	}
	var refusal *RefusalError
	if !errors.As(err, &refusal) || refusal.Code != statement.Invalid {
		return statement.Answer{}, false
	}
	pc.status = refusal.Status
	pc.broken = pc.broken || refusal.Status == 0
	return statement.Refuse(statement.Invalid, refusal.Detail, refusal.Status), true
}
