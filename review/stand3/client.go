package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 5 * time.Second

// session is a client's session at a VM.
type session struct {
	conn   net.Conn
	in     *bufio.Reader
	record *record
	name   string
}

// reply is the answer to one statement.
type reply struct {
	id        string
	sent      time.Time
	rows      []string
	signature string
	// code is empty after a success.
	code  string
	state string
}

// open starts a session.
func open(r *record, name, address, database, key string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn), record: r, name: name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := s.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.Errorf("refused: %s", strings.TrimSpace(line))
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

// query sends one statement and returns its answer. After an error the session is closed.
func (s *session) query(text string) (reply, error) {
	a := reply{id: fmt.Sprintf("q%06d", requestCount.Add(1)), sent: time.Now()}
	s.record.add("%s sends %s %.200s", s.name, a.id, text)
	_ = s.conn.SetDeadline(time.Now().Add(clientTimeout))
	_, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", a.id, text)
	for err == nil {
		var line string
		if line, err = s.in.ReadString('\n'); err != nil {
			break
		}
		kind, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch kind {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
			s.record.add("%s is told %s: ERROR %s", s.name, a.id, rest)
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			s.record.add("%s gets the answer to %s: code %q, rows %.200q, signature %q, state %s", s.name, a.id, a.code, a.rows, a.signature, a.state)
			return a, nil
		}
	}
	s.record.add("%s gets no answer to %s: %v", s.name, a.id, err)
	s.close()
	return a, err
}
