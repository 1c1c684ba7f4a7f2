package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// server is a backend server. Its fields below the blank line are guarded by the group's
// lock.
type server struct {
	group    *group
	id, zone string
	listener net.Listener
	work     time.Duration
	slots    chan struct{}

	primary    bool
	promoting  bool
	term       uint64
	base       int // the length of the log at the begin of the term
	held       uint64
	log        []entry
	lag        time.Duration
	receivedAt time.Time
	replacedAt time.Time
	down       bool
	gone       bool
	cut        bool             // partitioned from the store
	unreached  map[*server]bool // the servers from which it is partitioned
	leaving    bool
	changed    bool
	born       int64
	seq        int
	waiting    int
	conns      map[net.Conn]bool
	paused     chan struct{} // closed at the first PAUSE
}

func newServer(g *group, id, zone string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{
		group: g, id: id, zone: zone, listener: l, work: 8 * time.Millisecond, slots: make(chan struct{}, slots), term: 1,
		born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, paused: make(chan struct{}),
	}
	go s.accept()
	return s
}

// heartbeats writes the server's entry of the directory, and removes it after three
// intervals of silence, as the platform does.
func (s *server) heartbeats() {
	var last time.Time
	listed := false
	for {
		s.group.mu.Lock()
		alive, gone := !s.down && !s.cut && !s.gone, s.gone
		due := time.Since(last) >= heartbeat || s.changed
		if alive && due {
			s.seq++
			s.changed = false
			role, state := "replica", "ready"
			if s.primary {
				role = "primary"
			}
			if s.leaving {
				state = "draining"
			}
			value := map[string]any{
				"service": s.group.name, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1",
				"capacity": slots, "state": state, "coldLeftMs": 0, "dbRole": role, "seq": s.seq, "born": s.born,
			}
			s.group.store.Put("servers", s.id, value)
			last, listed = time.Now(), true
		}
		s.group.mu.Unlock()
		if listed && (gone || time.Since(last) > 3*heartbeat) {
			s.group.store.Delete("servers", s.id)
			s.group.rec.printf("the entry of %s is removed from the directory", s.id)
			listed = false
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *server) set(change func()) {
	s.group.mu.Lock()
	change()
	s.changed = true
	s.group.mu.Unlock()
}

// crash kills the server's process: its connections are reset and its pause is forgotten.
// The log is kept.
func (s *server) crash() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down, s.held = true, 0
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.group.rec.printf("server %s crashes", s.id)
}

// restart starts it again under its id.
func (s *server) restart() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.down, s.born, s.seq, s.changed = false, time.Now().UnixMilli(), 0, true
	if s.term < s.group.term {
		s.primary = false
	}
	s.group.rec.printf("server %s runs again", s.id)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.mu.Lock()
		refuse := s.down || s.gone
		if !refuse {
			s.conns[c] = true
		}
		s.group.mu.Unlock()
		if refuse {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

// serverConn is a connection at a server.
type serverConn struct {
	server   *server
	out      *bufio.Writer
	number   string
	account  string
	settings map[string]string
	prepared map[string]string
	inTx     bool
	readOnly bool
	failed   bool
	writes   []entry
	txTerm   uint64
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.group.mu.Lock()
		delete(s.conns, conn)
		s.group.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	c := &serverConn{server: s, out: bufio.NewWriter(conn), number: conn.RemoteAddr().String(), settings: map[string]string{}, prepared: map[string]string{}}
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.group.name || len(f) > 3 && f[3] != s.id {
		c.line("ERROR MISROUTED %s", s.id)
		_ = c.out.Flush()
		return
	}
	c.account = f[2]
	time.Sleep(2 * time.Millisecond)
	c.ready()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.group.mu.Lock()
		down := s.down
		s.group.mu.Unlock()
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if down || word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !c.query(id, text) {
			return
		}
	}
}

func (c *serverConn) line(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format+"\r\n", args...)
}

// applied returns how far the server has applied its log. The caller holds the lock.
func (s *server) applied() int {
	if s.primary || s.lag == 0 {
		return len(s.log)
	}
	n := len(s.log)
	for n > 0 && time.Since(s.log[n-1].at) < s.lag {
		n--
	}
	return n
}

func (c *serverConn) ready() {
	s := c.server
	s.group.mu.Lock()
	term, position := s.term, s.applied()
	s.group.mu.Unlock()
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	c.line("READY %s %d.%d", state, term, position)
	_ = c.out.Flush()
}

func (c *serverConn) refuse(code string) bool {
	c.failed = c.failed || c.inTx && code != "BUSY"
	c.line("ERROR %s %s", code, c.server.id)
	c.ready()
	return true
}

func (c *serverConn) complete(rows ...string) bool {
	for _, r := range rows {
		c.line("ROW %s", r)
	}
	c.line("COMPLETE -")
	c.ready()
	return true
}

func (c *serverConn) signed(id string, rows ...string) bool {
	for _, r := range rows {
		c.line("ROW %s", r)
	}
	c.line("COMPLETE %s/%s/%s", c.server.id, id, c.account)
	c.ready()
	return true
}

// takeSlot waits for a slot, and returns false if the queue is full.
func (s *server) takeSlot() bool {
	s.group.mu.Lock()
	full := s.waiting >= queueLimit
	if !full {
		s.waiting++
	}
	s.group.mu.Unlock()
	if full {
		return false
	}
	s.slots <- struct{}{}
	s.group.mu.Lock()
	s.waiting--
	s.group.mu.Unlock()
	return true
}

func (c *serverConn) query(id, text string) bool {
	s := c.server
	verb, rest, _ := strings.Cut(text, " ")
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return c.refuse("MALFORMED")
	}
	if verb == "AFTERLSN" {
		position, statement, _ := strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(statement, " ")
		if !s.hasApplied(position) {
			return c.refuse("LAGGING")
		}
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		term, _ := strconv.ParseUint(rest, 10, 64)
		return c.complete(s.command(verb, term))
	case "RESET":
		clear(c.settings)
		clear(c.prepared)
		return c.complete()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.settings[name] = value
		return c.complete()
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return c.complete()
	case "ROLLBACK":
		c.inTx, c.failed, c.writes = false, false, nil
		return c.complete()
	case "BEGIN":
		return c.begin(rest == "READ")
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		if !ok {
			return c.refuse("NOSTMT")
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if !s.takeSlot() {
		return c.refuse("BUSY")
	}
	time.Sleep(s.work)
	<-s.slots
	s.group.recordRun(id)
	s.group.rec.printf("%s runs %s for %s on connection %s: %.80s", s.id, id, c.account, c.number, text)
	switch verb {
	case "COMMIT":
		return c.commit(id)
	case "WRITE":
		return c.write(id, rest)
	}
	return c.read(id, rest)
}

func (s *server) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.term > t || s.term == t && s.applied() >= n
}

func (c *serverConn) leads() bool {
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	return c.server.primary
}

func (c *serverConn) begin(readOnly bool) bool {
	if !readOnly && !c.leads() {
		return c.refuse("READONLY")
	}
	c.inTx, c.readOnly, c.writes = true, readOnly, nil
	return c.complete()
}

func (c *serverConn) commit(id string) bool {
	writes, failed := c.writes, c.failed
	c.inTx, c.failed, c.writes = false, false, nil
	if failed {
		return c.complete()
	}
	if len(writes) == 0 {
		return c.signed(id)
	}
	last := writes[len(writes)-1]
	if !c.leads() {
		return c.refuse("READONLY")
	}
	if !c.server.group.commit(c.server, id, last.item, last.data) {
		return false
	}
	return c.signed(id)
}

func (c *serverConn) write(id, rest string) bool {
	item, data, _ := strings.Cut(rest, " ")
	if !c.leads() || c.readOnly {
		return c.refuse("READONLY")
	}
	if c.inTx {
		c.writes = append(c.writes, entry{item: item, data: data})
		return c.signed(id)
	}
	if !c.server.group.commit(c.server, id, item, data) {
		return false
	}
	return c.signed(id)
}

func (c *serverConn) read(id, item string) bool {
	s := c.server
	if c.inTx && !c.readOnly && !c.leads() {
		return c.refuse("READONLY")
	}
	value := "-"
	s.group.mu.Lock()
	for i := s.applied() - 1; i >= 0; i-- {
		if s.log[i].item == item {
			value = s.log[i].data
			break
		}
	}
	s.group.mu.Unlock()
	return c.signed(id, value)
}

// command runs a command of a change of primary and returns the row of STATUS.
func (s *server) command(command string, term uint64) string {
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch command {
	case "PAUSE":
		if !s.primary && term > s.term {
			s.held = max(s.held, term)
			select {
			case <-s.paused:
			default:
				close(s.paused)
			}
		}
	case "RESUME":
		s.held = 0
	case "STEPDOWN":
		if s.primary && term > s.term {
			s.primary = false
		}
	}
	if command != "STATUS" {
		g.rec.printf("%s gets %s %d", s.id, command, term)
	}
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d.%d %d %d %d %d", role, s.term, s.term, len(s.log), s.held, s.lag.Milliseconds(), len(s.slots), len(s.conns))
}
