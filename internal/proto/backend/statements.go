package backend

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

// MaxStatements is the number of prepared statements kept on one connection.
const MaxStatements = 256

// Statements remembers which prepared statements exist on a connection.
type Statements struct {
	names   *lru.LRU[string, struct{}]
	evicted []string
}

// NewStatements returns an empty memory for at most limit statements.
func NewStatements(limit int) *Statements {
	s := &Statements{}
	s.names, _ = lru.NewLRU(limit, func(name string, _ struct{}) { s.evicted = append(s.evicted, name) })
	return s
}

// Has reports whether the statement exists and marks it as used.
func (s *Statements) Has(name string) bool {
	_, ok := s.names.Get(name)
	return ok
}

// Add remembers a statement and returns those that must be closed to make room.
func (s *Statements) Add(name string) []string {
	s.evicted = nil
	s.names.Add(name, struct{}{})
	return s.evicted
}

// Remove forgets a statement.
func (s *Statements) Remove(name string) {
	s.names.Remove(name)
	s.evicted = nil
}

// Clear forgets every statement.
func (s *Statements) Clear() {
	s.names.Purge()
	s.evicted = nil
}

// Len returns the number of statements on the connection.
func (s *Statements) Len() int { return s.names.Len() }
