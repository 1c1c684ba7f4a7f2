package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of a table of the platform's store.
type storeRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// maxPage is the largest number of rows in an answer.
const maxPage = 500

// store is the platform's store and its promotion service. It loses nothing, is never slow
// and refuses nothing.
type store struct {
	listener net.Listener
	server   *http.Server
	start    time.Time
	// promote performs an order and returns the status of its answer.
	promote func(service, id, holder string, token uint64) int

	mu      sync.Mutex
	version uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
}

// newStore starts a store on a free loopback port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, start: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.read)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /promotion", s.order)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row of the operator or of a server, with an empty partition.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: text, Version: s.version})
}

// drop removes a row with an empty partition.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Version: s.version, Tombstone: true})
}

// apply applies one change. The caller holds the lock.
func (s *store) apply(r storeRow) {
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes rows, the newest version and the store's clock. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, hasMore bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": hasMore, "ver": s.version, "nowMs": time.Since(s.start).Milliseconds(),
	})
}

// transact performs a transaction if each expected row has the given version.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Writes, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[e.id()].Version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, s.present(t.Expected), false)
			return
		}
	}
	s.version++
	for _, c := range t.Writes {
		c.Version, c.Tombstone = s.version, false
		s.apply(c)
	}
	for _, c := range t.Remove {
		c.Version, c.Tombstone = s.version, true
		s.apply(c)
	}
	s.answer(w, http.StatusOK, nil, false)
}

// present returns those of the rows that exist. The caller holds the lock.
func (s *store) present(rows []storeRow) []storeRow {
	var out []storeRow
	for _, r := range rows {
		if p, ok := s.rows[r.id()]; ok {
			out = append(out, p)
		}
	}
	return out
}

// read answers with the rows of a table and a range of keys.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storeRow
	for _, v := range s.rows {
		inRange := v.Key >= q.Get("from") && (q.Get("to") == "" || v.Key < q.Get("to"))
		if v.Table == q.Get("table") && v.Part == q.Get("part") && inRange {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	size := min(len(out), limit, maxPage)
	s.answer(w, http.StatusOK, out[:size], size < len(out))
}

// feed answers with the changes of a table after a version, and waits for the first one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var out []storeRow
		for _, v := range s.history {
			if v.Table == q.Get("table") && v.Version > after {
				out = append(out, v)
			}
		}
		changed := s.changed
		if len(out) > 0 || !waiting {
			s.answer(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// order passes an order to promote a server on.
func (s *store) order(w http.ResponseWriter, r *http.Request) {
	var o struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.promote(o.Service, o.ID, r.Header.Get("Holder"), token))
}
