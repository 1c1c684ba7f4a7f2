package database

import (
	"crypto/sha256"
	"strconv"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

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
