package backend

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

// MaxStatements is the number of prepared statements that one connection keeps.
const MaxStatements = 256

// StatementCache holds the names of the prepared statements that exist on a
// connection, up to a limit.
type StatementCache struct {
	names *lru.LRU[string, struct{}]
	// evicted collects the names that left the LRU in one call. Remove and Clear
	// empty it, because the LRU reports removed names too.
	evicted []string
}

// NewStatementCache returns an empty cache for at most limit statements.
func NewStatementCache(limit int) *StatementCache {
	s := &StatementCache{}
	s.names, _ = lru.NewLRU(limit, func(name string, _ struct{}) { s.evicted = append(s.evicted, name) })
	return s
}

// Has reports whether the statement exists, and marks it as most recently used.
func (s *StatementCache) Has(name string) bool {
	_, ok := s.names.Get(name)
	return ok
}

// Add adds a statement and returns the least recently used ones that it evicted. The
// caller must close those at the server.
func (s *StatementCache) Add(name string) []string {
	s.evicted = nil
	s.names.Add(name, struct{}{})
	return s.evicted
}

// Remove removes the name of a statement that does not exist at the server.
func (s *StatementCache) Remove(name string) {
	s.names.Remove(name)
	s.evicted = nil
}

// Clear removes all names. The caller must drop the statements at the server.
func (s *StatementCache) Clear() {
	s.names.Purge()
	s.evicted = nil
}

// Len returns the number of statements on the connection.
func (s *StatementCache) Len() int { return s.names.Len() }
