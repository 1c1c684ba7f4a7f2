// Package caller is the server side of the PostgreSQL protocol towards callers, the
// clients that connect to the proxy: startup, TLS, SCRAM-SHA-256 authentication, and
// messages with bounds on size and time.
package caller

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

const (
	// maxStartupMessage is the largest startup message in bytes.
	maxStartupMessage = 10_000
	// maxAuthMessage is the largest authentication message in bytes.
	maxAuthMessage = 4096
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 2048

	// Request codes, which a startup message carries instead of a protocol version.
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
)

// ErrCancel is returned by Startup when the caller sent a CancelRequest instead of a
// startup message.
var ErrCancel = errors.New("the connection is a cancel request")

// Limits bounds the size and the time that one caller may use.
type Limits struct {
	// MaxMessage is the largest message in bytes.
	MaxMessage int
	// StartupTimeout bounds the time from connecting to the end of the startup,
	// in milliseconds.
	StartupTimeout clock.Millis
	// WriteTimeout bounds each write to the caller, in milliseconds; 0 sets no
	// bound.
	WriteTimeout clock.Millis
}

// Conn is the connection of one caller.
type Conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	limits  Limits

	mu sync.Mutex
	// interrupted is set by Interrupt; setReadDeadline has no effect after that.
	interrupted bool

	// Cancel is set when Startup returned ErrCancel.
	Cancel pgproto3.CancelRequest
}

// NewConn wraps an accepted connection.
func NewConn(c net.Conn, l Limits) *Conn {
	return &Conn{netConn: c, reader: bufio.NewReaderSize(c, readBufferSize), limits: l}
}

// Startup negotiates encryption and returns the caller's startup parameters. TLS is
// used when the caller requests it and tlsConfig is not nil, GSS encryption never. The
// caller may send each kind of encryption request once. An error is an *outcome.NotRun
// for the caller, ErrCancel, or a TLS or network error.
func (c *Conn) Startup(tlsConfig *tls.Config) (map[string]string, error) {
	_ = c.netConn.SetDeadline(time.Now().Add(c.limits.StartupTimeout.Duration()))
	requested := map[uint32]bool{}
	for {
		body, err := c.readStartupBody()
		if err != nil {
			return nil, err
		}
		code := binary.BigEndian.Uint32(body)
		if requested[code] {
			return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "encryption was asked for twice")
		}
		requested[code] = true
		switch code {
		case codeSSL:
			err = c.negotiateTLS(tlsConfig)
		case codeGSS:
			_, err = c.netConn.Write([]byte{'N'})
		case codeCancel:
			return nil, c.decodeCancel(body)
		default:
			return decodeStartup(body)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (c *Conn) decodeCancel(body []byte) error {
	if err := c.Cancel.Decode(body); err != nil {
		return protocolError(err)
	}
	return ErrCancel
}

func decodeStartup(body []byte) (map[string]string, error) {
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, protocolError(err)
	}
	return m.Parameters, nil
}

func protocolError(err error) error {
	return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "malformed message: %v", err)
}

// readStartupBody reads a startup message and returns it without its length word.
func (c *Conn) readStartupBody() ([]byte, error) {
	header, err := c.reader.Peek(4)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header)
	if size < 8 || size > maxStartupMessage {
		return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "startup message of %d bytes", size)
	}
	_, _ = c.reader.Discard(4)
	body := make([]byte, size-4)
	if _, err := readFull(c.reader, body); err != nil {
		return nil, err
	}
	return body, nil
}

// negotiateTLS answers an SSLRequest: with N when tlsConfig is nil, and else with S and
// a handshake. It refuses bytes that were sent before the handshake, since these would
// be unencrypted.
func (c *Conn) negotiateTLS(tlsConfig *tls.Config) error {
	if c.reader.Buffered() > 0 {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "data before the TLS handshake")
	}
	if tlsConfig == nil {
		_, err := c.netConn.Write([]byte{'N'})
		return err
	}
	if _, err := c.netConn.Write([]byte{'S'}); err != nil {
		return err
	}
	t := tls.Server(c.netConn, tlsConfig)
	if err := t.Handshake(); err != nil {
		return err
	}
	c.netConn = t
	c.reader.Reset(t)
	return nil
}

// CompleteStartup sends AuthenticationOk, a ParameterStatus for each pair of name and
// value, BackendKeyData and ReadyForQuery, and ends the startup timeout. A cancel
// request for the connection must carry processID and secret.
func (c *Conn) CompleteStartup(parameters [][2]string, processID uint32, secret []byte) error {
	out := mustEncode(nil, &pgproto3.AuthenticationOk{})
	for _, p := range parameters {
		out = mustEncode(out, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	out = mustEncode(out, &pgproto3.BackendKeyData{ProcessID: processID, SecretKey: secret})
	out = append(out, ReadyForQuery('I')...)
	err := c.Write(out)
	_ = c.netConn.SetDeadline(time.Time{})
	return err
}

// ReadMessage reads one whole message and appends it to buf; see pgwire.ReadMessage. It
// waits for at most wait milliseconds, or without limit when wait is 0.
func (c *Conn) ReadMessage(buf []byte, wait clock.Millis) ([]byte, pgwire.Message, error) {
	if wait > 0 && !pgwire.HasMessage(c.reader) {
		c.setReadDeadline(time.Now().Add(wait.Duration()))
		defer c.setReadDeadline(time.Time{})
	}
	return pgwire.ReadMessage(c.reader, buf, c.limits.MaxMessage)
}

// setReadDeadline sets the read deadline, unless Interrupt was called.
func (c *Conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.netConn.SetReadDeadline(t)
	}
}

// Wait blocks until the first byte of a message arrives. Unlike ReadMessage it needs no
// buffer for the message, so that idle callers take less memory.
func (c *Conn) Wait() error {
	_, err := c.reader.Peek(1)
	return err
}

// Wake makes every Wait that blocks, now or later, return a timeout error, until a
// ReadMessage replaces the read deadline by its own.
func (c *Conn) Wake() { c.setReadDeadline(pastDeadline) }

// Interrupt makes every Wait and ReadMessage that blocks, now or later, return a timeout
// error, but a CompleteStartup that ends later clears the deadline. The connection can
// still be written to.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.netConn.SetReadDeadline(pastDeadline)
}

// pastDeadline is a time in the past; as the read deadline it makes blocked reads fail at
// once.
var pastDeadline = time.Unix(1, 0)

// IsTimeout reports whether err is the timeout of a read.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Write sends raw PostgreSQL messages within the write timeout.
func (c *Conn) Write(raw []byte) error {
	if c.limits.WriteTimeout > 0 {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout.Duration()))
	}
	_, err := c.netConn.Write(raw)
	return err
}

// Close closes the connection at once.
func (c *Conn) Close() { _ = c.netConn.Close() }

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr { return c.netConn.RemoteAddr() }

// ReadyForQuery encodes a ReadyForQuery message.
func ReadyForQuery(status byte) []byte { return []byte{'Z', 0, 0, 0, 5, status} }

// ErrorResponse encodes an ErrorResponse message.
func ErrorResponse(severity, code, format string, args ...any) []byte {
	return mustEncode(nil, &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: fmt.Sprintf(format, args...),
	})
}

// ParameterStatus encodes a ParameterStatus message.
func ParameterStatus(name, value string) []byte {
	return mustEncode(nil, &pgproto3.ParameterStatus{Name: name, Value: value})
}

// CommandComplete encodes a CommandComplete message.
func CommandComplete(tag string) []byte {
	return mustEncode(nil, &pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func mustEncode(buf []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(buf)
	if err != nil {
		panic(fmt.Sprintf("%T cannot be encoded: %v", m, err))
	}
	return out
}
