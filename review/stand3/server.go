package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// server is a backend server. The lock of its group guards the fields after listener.
type server struct {
	group    *group
	id       string
	zone     string
	address  string
	listener net.Listener

	primary bool
	term    uint64
	// held is the term of the last PAUSE, or 0.
	held uint64
	log  []entry
	down bool
	// deaf is set while the server receives nothing from the primary.
	deaf bool
	born int64
	seq  int
	// conns holds the open connections.
	conns map[net.Conn]bool
	// work is how long a read, a write or a commit takes.
	work time.Duration
	// draining is set once the server reports that it drains.
	draining bool
}

// newServer starts a server on a free loopback port.
func newServer(g *group, id, zone string) (*server, error) {
	v := &server{group: g, id: id, zone: zone, address: "127.0.0.1:0", conns: map[net.Conn]bool{}, work: 2 * time.Millisecond}
	return v, v.listen()
}

// listen opens the server's port. The first call chooses it.
func (v *server) listen() error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.group.mu.Lock()
	v.listener, v.address, v.down = l, l.Addr().String(), false
	v.born, v.seq = time.Now().UnixMilli(), 0
	v.group.mu.Unlock()
	go v.accept(l)
	return nil
}

func (v *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		v.group.mu.Lock()
		v.conns[c] = true
		v.group.mu.Unlock()
		go v.serve(c)
	}
}

// crash ends the server: its port is closed and all connections are reset.
func (v *server) crash() {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	v.group.record.add("%s crashes with %d commits, primary %t, term %d", v.id, len(v.log), v.primary, v.term)
	v.down = true
	_ = v.listener.Close()
	for c := range v.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	v.conns = map[net.Conn]bool{}
}

// startEmpty starts a crashed server again under its id. It holds and knows nothing of before.
func (v *server) startEmpty() error {
	v.group.mu.Lock()
	v.primary, v.term, v.held, v.log = false, 0, 0, nil
	v.group.mu.Unlock()
	if err := v.listen(); err != nil {
		return err
	}
	v.group.record.add("%s has started again and holds nothing", v.id)
	v.register()
	return nil
}

// startWithLog starts a crashed server again with its log. It leads still unless another server
// was promoted.
func (v *server) startWithLog() error {
	v.group.mu.Lock()
	v.held = 0
	v.primary = v.primary && v.term == v.group.term
	v.group.mu.Unlock()
	if err := v.listen(); err != nil {
		return err
	}
	v.group.record.add("%s has started again with its log", v.id)
	v.register()
	return nil
}

// beat writes the server's entry of the directory at each heartbeat, and removes it once the
// server has been silent for expiry.
func (v *server) beat() {
	lastBeat := time.Now()
	for {
		v.group.mu.Lock()
		down := v.down
		v.group.mu.Unlock()
		switch {
		case !down:
			v.register()
			lastBeat = time.Now()
		case time.Since(lastBeat) >= expiry:
			v.group.store.drop("servers", v.id)
		}
		time.Sleep(heartbeat)
	}
}

// register writes the server's entry of the directory.
func (v *server) register() {
	v.group.mu.Lock()
	v.seq++
	role, state := "replica", "ready"
	if v.primary {
		role = "primary"
	}
	if v.draining {
		state = "draining"
	}
	row := map[string]any{
		"service": v.group.name, "address": v.address, "zone": v.zone, "version": "v1", "capacity": 3,
		"state": state, "coldLeftMs": 0, "dbRole": role, "seq": v.seq, "born": v.born,
	}
	v.group.mu.Unlock()
	v.group.store.put("servers", v.id, row)
}

// applied returns how many commits of its log the server has applied. The caller holds the lock.
func (v *server) applied() int {
	n := len(v.log)
	for !v.primary && n > 0 && time.Since(v.log[n-1].at) < applyLag {
		n--
	}
	return n
}

// position returns TERM.NUMBER of the first n commits. The caller holds the lock.
func (v *server) position(n int) string {
	if n == 0 {
		return "0.0"
	}
	return fmt.Sprintf("%d.%d", v.log[n-1].term, n)
}

// covers reports whether the server has applied a position, TERM.NUMBER.
func (v *server) covers(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	has := v.applied()
	if has == 0 {
		return n == 0
	}
	last := v.log[has-1].term
	return last > t || last == t && has >= n
}

// command runs a command of a change of primary and returns the row of STATUS.
func (v *server) command(verb string, term uint64) string {
	v.group.mu.Lock()
	defer v.group.mu.Unlock()
	switch {
	case verb == "PAUSE" && !v.primary && term > v.group.term:
		v.held = max(v.held, term)
	case verb == "RESUME":
		v.held = 0
	case verb == "STEPDOWN" && v.primary && term > v.term:
		v.primary = false
	}
	if verb != "STATUS" {
		v.group.record.add("%s runs %s %d", v.id, verb, term)
	}
	role := "replica"
	if v.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 0 %d", role, v.term, v.position(len(v.log)), v.held, len(v.conns))
}

// serverSession is a connection to a server.
type serverSession struct {
	server *server
	out    *bufio.Writer
	tenant string
	// open, readOnly and failed are the state of the transaction, writes what it has written.
	open, readOnly, failed bool
	writes                 map[string]string
	prepared               map[string]string
}

// maxLine is the size of the longest message.
const maxLine = 1 << 20

func (v *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		v.group.mu.Lock()
		delete(v.conns, conn)
		v.group.mu.Unlock()
	}()
	in := bufio.NewScanner(conn)
	in.Buffer(nil, maxLine)
	if !in.Scan() {
		return
	}
	f := strings.Fields(in.Text())
	c := &serverSession{server: v, out: bufio.NewWriter(conn), prepared: map[string]string{}}
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != v.group.name || len(f) > 3 && f[3] != v.id {
		c.line("ERROR MISROUTED %s", v.id)
		_ = c.out.Flush()
		return
	}
	c.tenant = f[2]
	c.ready()
	for in.Scan() {
		kind, rest, _ := strings.Cut(strings.TrimSuffix(in.Text(), "\r"), " ")
		id, text, _ := strings.Cut(rest, " ")
		if kind != "QUERY" || !c.query(id, text) {
			return
		}
		if c.out.Flush() != nil {
			return
		}
	}
}

func (c *serverSession) line(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format+"\r\n", args...)
}

// ready ends an answer.
func (c *serverSession) ready() {
	v := c.server
	v.group.mu.Lock()
	position := v.position(v.applied())
	v.group.mu.Unlock()
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.open:
		state = "T"
	}
	c.line("READY %s %s", state, position)
	_ = c.out.Flush()
}

func (c *serverSession) refuse(code string) bool {
	c.failed = c.failed || c.open
	c.line("ERROR %s %s", code, c.server.id)
	c.ready()
	return true
}

func (c *serverSession) complete(signature string, rows ...string) bool {
	for _, r := range rows {
		c.line("ROW %s", r)
	}
	c.line("COMPLETE %s", signature)
	c.ready()
	return true
}

// query runs one statement and reports whether the connection stays open.
func (c *serverSession) query(id, text string) bool {
	v := c.server
	verb, rest, _ := strings.Cut(text, " ")
	if id != "-" {
		v.group.record.add("%s runs %s %.200s for %s", v.id, id, text, c.tenant)
	}
	if c.failed && verb != "ROLLBACK" && verb != "COMMIT" {
		return c.refuse("MALFORMED")
	}
	if verb == "AFTERLSN" {
		position, statement, _ := strings.Cut(rest, " ")
		if !v.covers(position) {
			v.group.record.add("%s answers %s with LAGGING", v.id, id)
			return c.refuse("LAGGING")
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		term, _ := strconv.ParseUint(rest, 10, 64)
		return c.complete("-", v.command(verb, term))
	case "SET":
		return c.complete("-")
	case "RESET":
		c.prepared = map[string]string{}
		return c.complete("-")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		return c.complete("-")
	case "DEALLOC":
		delete(c.prepared, rest)
		return c.complete("-")
	case "BEGIN":
		if rest != "READ" && !c.leads() {
			return c.refuse("READONLY")
		}
		c.open, c.readOnly, c.writes = true, rest == "READ", map[string]string{}
		return c.complete("-")
	case "ROLLBACK":
		c.end()
		return c.complete("-")
	case "COMMIT":
		return c.commit(id)
	case "READ":
		return c.read(id, rest)
	case "WRITE":
		return c.write(id, rest)
	}
	return c.refuse("MALFORMED")
}

func (c *serverSession) leads() bool {
	c.server.group.mu.Lock()
	defer c.server.group.mu.Unlock()
	return c.server.primary && !c.server.down
}

func (c *serverSession) end() { c.open, c.readOnly, c.failed, c.writes = false, false, false, nil }

func (c *serverSession) sign(id string) string { return c.server.id + "/" + id + "/" + c.tenant }

func (c *serverSession) commit(id string) bool {
	writes, failed := c.writes, c.failed
	c.end()
	switch {
	case failed:
		return c.complete("-")
	case len(writes) == 0:
		return c.complete(c.sign(id))
	}
	return c.keep(id, writes)
}

func (c *serverSession) write(id, rest string) bool {
	item, data, _ := strings.Cut(rest, " ")
	time.Sleep(c.server.work)
	switch {
	case !c.leads() || c.open && c.readOnly:
		return c.refuse("READONLY")
	case c.open:
		c.writes[item] = data
		return c.complete(c.sign(id))
	}
	return c.keep(id, map[string]string{item: data})
}

// keep commits and answers. Without a replica that receives the commit it closes the connection
// after a while, without an answer.
func (c *serverSession) keep(id string, writes map[string]string) bool {
	acknowledged, primary := c.server.group.commit(c.server, id, writes)
	switch {
	case !primary:
		return c.refuse("READONLY")
	case !acknowledged:
		time.Sleep(500 * time.Millisecond)
		return false
	}
	c.server.group.record.add("%s commits %s", c.server.id, id)
	return c.complete(c.sign(id))
}

// read answers with the value of an item, and without a row if the item has none.
func (c *serverSession) read(id, item string) bool {
	v := c.server
	time.Sleep(v.work)
	if c.open && !c.readOnly && !c.leads() {
		return c.refuse("READONLY")
	}
	value, ok := c.writes[item]
	v.group.mu.Lock()
	run := readRun{server: v.id, at: time.Now(), commits: map[string]bool{}}
	for _, e := range v.log[:v.applied()] {
		run.commits[e.id] = true
		if written, has := e.writes[item]; has && c.writes[item] == "" {
			value, ok = written, true
		}
	}
	v.group.runs[id] = run
	v.group.mu.Unlock()
	if !ok {
		return c.complete(c.sign(id))
	}
	return c.complete(c.sign(id), value)
}
