package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// session is a client's session at a VM.
type session struct {
	conn net.Conn
	in   *bufio.Reader
	rec  *record
	name string
}

// answer is the answer to a statement.
type answer struct {
	row       string
	signature string
	code      string
	state     string
}

func (a answer) ok() bool { return a.code == "" }

var errStartup = errors.New("STARTUP was not answered with READY")

// openSession opens a session for a database with the key of the tenant acme.
func openSession(rec *record, address, database, name string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: conn, in: bufio.NewReader(conn), rec: rec, name: name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "STARTUP %s key-acme\r\n", database)
	line, err := s.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		s.close()
		return nil, errStartup
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

var lastID atomic.Uint64

// newID returns a request id that was not used before.
func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a21d9000000+lastID.Add(1)) }

// query sends one statement and returns the answer. After an error nothing is known.
func (s *session) query(id, text string) (answer, error) {
	s.rec.printf("client %s sends %s: %.80s", s.name, id, text)
	_ = s.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		s.rec.printf("client %s cannot send %s: the connection has ended", s.name, id)
		return answer{}, err
	}
	return s.receive(id)
}

// receive reads one answer.
func (s *session) receive(id string) (answer, error) {
	var a answer
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			s.rec.printf("client %s gets no answer to %s: the connection has ended", s.name, id)
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			s.rec.printf("client %s gets the answer to %s: code %q row %q signature %q state %s", s.name, id, a.code, a.row, a.signature, a.state)
			return a, nil
		}
	}
}
