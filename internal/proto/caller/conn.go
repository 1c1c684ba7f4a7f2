// Package caller speaks the PostgreSQL protocol to callers: startup, TLS,
// SCRAM-SHA-256 and framed messages with bounds.
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
	// maxStartup is the largest startup message in bytes.
	maxStartup = 10_000
	// maxAuthMessage is the largest message of the authentication in bytes.
	maxAuthMessage = 4096
	readBuffer     = 2048

	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
)

// ErrCancel is returned by Startup when the connection brought a CancelRequest.
var ErrCancel = errors.New("the connection is a cancel request")

// Limits bounds what one caller may take.
type Limits struct {
	// MaxMessage is the largest message in bytes.
	MaxMessage int
	// StartupTimeout is the longest time from connecting to being let in, in milliseconds.
	StartupTimeout clock.Millis
	// WriteTimeout is the longest time that a caller may take to accept an answer, in milliseconds.
	WriteTimeout clock.Millis
}

// Conn is the connection of one caller.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	limits Limits

	mu          sync.Mutex
	interrupted bool

	// Cancel is set when Startup returned ErrCancel.
	Cancel pgproto3.CancelRequest
}

// NewConn wraps an accepted connection.
func NewConn(c net.Conn, l Limits) *Conn {
	return &Conn{raw: c, reader: bufio.NewReaderSize(c, readBuffer), limits: l}
}

// Startup reads the caller's startup parameters. TLS is taken up when the
// caller asks for it and settings are given. Each kind of encryption may be
// asked for once.
func (c *Conn) Startup(tlsConfig *tls.Config) (map[string]string, error) {
	_ = c.raw.SetDeadline(time.Now().Add(c.limits.StartupTimeout.Duration()))
	asked := map[uint32]bool{}
	for {
		body, err := c.readStartupBody()
		if err != nil {
			return nil, err
		}
		code := binary.BigEndian.Uint32(body)
		if asked[code] {
			return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "encryption was asked for twice")
		}
		asked[code] = true
		switch code {
		case codeSSL:
			err = c.negotiateTLS(tlsConfig)
		case codeGSS:
			_, err = c.raw.Write([]byte{'N'})
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

func (c *Conn) readStartupBody() ([]byte, error) {
	header, err := c.reader.Peek(4)
	if err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header)
	if size < 8 || size > maxStartup {
		return nil, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "startup message of %d bytes", size)
	}
	_, _ = c.reader.Discard(4)
	body := make([]byte, size-4)
	if _, err := readFull(c.reader, body); err != nil {
		return nil, err
	}
	return body, nil
}

func (c *Conn) negotiateTLS(tlsConfig *tls.Config) error {
	if c.reader.Buffered() > 0 {
		return outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "data before the TLS handshake")
	}
	if tlsConfig == nil {
		_, err := c.raw.Write([]byte{'N'})
		return err
	}
	if _, err := c.raw.Write([]byte{'S'}); err != nil {
		return err
	}
	t := tls.Server(c.raw, tlsConfig)
	if err := t.Handshake(); err != nil {
		return err
	}
	c.raw = t
	c.reader.Reset(t)
	return nil
}

// CompleteStartup ends the startup: the caller is let in.
func (c *Conn) CompleteStartup(parameters [][2]string, processID uint32, secret []byte) error {
	out := mustEncode(nil, &pgproto3.AuthenticationOk{})
	for _, p := range parameters {
		out = mustEncode(out, &pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	out = mustEncode(out, &pgproto3.BackendKeyData{ProcessID: processID, SecretKey: secret})
	out = append(out, ReadyForQuery('I')...)
	err := c.Write(out)
	_ = c.raw.SetDeadline(time.Time{})
	return err
}

// ReadMessage waits for one whole message and appends it to buf. A wait of 0 never
// times out.
func (c *Conn) ReadMessage(buf []byte, wait clock.Millis) ([]byte, pgwire.Message, error) {
	if wait > 0 && !pgwire.HasMessage(c.reader) {
		c.setReadDeadline(time.Now().Add(wait.Duration()))
		defer c.setReadDeadline(time.Time{})
	}
	return pgwire.ReadMessage(c.reader, buf, c.limits.MaxMessage)
}

// setReadDeadline sets the end of reading, unless reading was ended for good.
func (c *Conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.raw.SetReadDeadline(t)
	}
}

// Wait blocks until a message begins to arrive, without a buffer for it.
func (c *Conn) Wait() error {
	_, err := c.reader.Peek(1)
	return err
}

// Wake ends a Wait with a timeout; a Read that comes after it is not concerned.
func (c *Conn) Wake() { c.setReadDeadline(pastDeadline) }

// Interrupt ends every Wait and Read from now on with a timeout. The
// connection can still be written to.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.raw.SetReadDeadline(pastDeadline)
}

// pastDeadline is a moment that has gone by.
var pastDeadline = time.Unix(1, 0)

// IsTimeout reports whether reading ended because its time was over.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Write sends raw messages.
func (c *Conn) Write(raw []byte) error {
	if c.limits.WriteTimeout > 0 {
		_ = c.raw.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout.Duration()))
	}
	_, err := c.raw.Write(raw)
	return err
}

// Close ends the connection at once.
func (c *Conn) Close() { _ = c.raw.Close() }

// RemoteAddr returns the caller's address.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// ReadyForQuery builds a ReadyForQuery.
func ReadyForQuery(status byte) []byte { return []byte{'Z', 0, 0, 0, 5, status} }

// ErrorResponse builds an ErrorResponse.
func ErrorResponse(severity, code, format string, args ...any) []byte {
	return mustEncode(nil, &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: fmt.Sprintf(format, args...),
	})
}

// ParameterStatus builds a ParameterStatus.
func ParameterStatus(name, value string) []byte {
	return mustEncode(nil, &pgproto3.ParameterStatus{Name: name, Value: value})
}

// CommandComplete builds a CommandComplete.
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
