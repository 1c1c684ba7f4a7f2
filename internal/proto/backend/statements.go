package backend

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

// MaxStatements is the number of prepared statements kept on one connection.
const MaxStatements = 256

// StatementCache remembers which prepared statements exist on a connection.
type StatementCache struct {
	names   *lru.LRU[string, struct{}]
	evicted []string
}

// NewStatementCache returns an empty memory for at most limit statements.
func NewStatementCache(limit int) *StatementCache {
	s := &StatementCache{}
	s.names, _ = lru.NewLRU(limit, func(name string, _ struct{}) { s.evicted = append(s.evicted, name) })
	return s
}

// Has reports whether the statement exists and marks it as used.
func (s *StatementCache) Has(name string) bool {
	_, ok := s.names.Get(name)
	return ok
}

// Add remembers a statement and returns those that must be closed to make room.
func (s *StatementCache) Add(name string) []string {
	s.evicted = nil
	s.names.Add(name, struct{}{})
	return s.evicted
}

// Remove forgets a statement.
func (s *StatementCache) Remove(name string) {
	s.names.Remove(name)
	s.evicted = nil
}

// Clear forgets every statement.
func (s *StatementCache) Clear() {
	s.names.Purge()
	s.evicted = nil
}

// Len returns the number of statements on the connection.
func (s *StatementCache) Len() int { return s.names.Len() }
