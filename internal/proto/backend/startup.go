package backend

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// startupConn is the connection that the driver uses while it opens a session. During a
// slow write the driver starts a goroutine that reads, and that goroutine can still wait
// for data when the session is open: it would take the first bytes of the next answer.
// Detach ends such a read before the connection is used without the driver.
type startupConn struct {
	net.Conn

	mu sync.Mutex
	// detached is set once the driver may not read any more.
	detached bool
	// reads counts the reads in progress, and idle is closed when there is none after
	// detached was set. lost is set if such a read got data.
	reads int
	idle  chan struct{}
	lost  bool
}

// errDataLost means that the driver read data that belongs to the open session.
var errDataLost = errors.New("the server sent data while the connection was handed over")

// dialStartup opens the TCP connection for a session.
func dialStartup(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, network, address)
}

func newStartupConn(c net.Conn) *startupConn {
	return &startupConn{Conn: c, idle: make(chan struct{})}
}

// Read implements net.Conn. After detach it returns os.ErrDeadlineExceeded.
func (s *startupConn) Read(b []byte) (int, error) {
	s.mu.Lock()
	if s.detached {
		s.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	s.reads++
	s.mu.Unlock()
	n, err := s.Conn.Read(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads--
	if s.detached {
		s.lost = s.lost || n > 0
		if s.reads == 0 {
			close(s.idle)
		}
	}
	return n, err
}

// detach ends the reads of the driver and returns the connection below.
func (s *startupConn) detach() (net.Conn, error) {
	s.mu.Lock()
	s.detached = true
	reading := s.reads > 0
	s.mu.Unlock()
	if reading {
		if err := s.SetReadDeadline(time.Unix(1, 0)); err != nil {
			return nil, err
		}
		<-s.idle
		if err := s.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	if s.lost {
		return nil, errDataLost
	}
	return s.Conn, nil
}
