// Package backend is the client side of connections to backend servers: the
// PostgreSQL protocol with the proxy's own credentials.
package backend

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// MaxMessage is the largest message accepted from a backend server, in bytes.
const MaxMessage = 256 << 20

// readBufferSize is the size of a connection's read buffer in bytes.
const readBufferSize = 16 << 10

// Options configures a connection to a backend server.
type Options struct {
	// Address is host:port.
	Address  string
	Database string
	// User and Password are the proxy's own credentials.
	User     string
	Password string
	// ApplicationName is the PostgreSQL parameter application_name, by which
	// the proxy recognizes its connections.
	ApplicationName string
	// ConnectTimeout bounds the opening of the connection, in milliseconds.
	ConnectTimeout clock.Millis
	// DialFunc opens the TCP connection; nil means the ordinary dialer.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)
}

// ConnectError means that no connection could be opened, so no statement was sent.
type ConnectError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *ConnectError) Error() string {
	return fmt.Sprintf("backend server %s refused the connection: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// ServerError is an ErrorResponse of the backend server. Code is its SQLSTATE.
type ServerError struct {
	Code    string
	Message string
	// Fatal is set when the server closes the connection after this error.
	Fatal bool
}

// Error implements error.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// allowedParameters are the startup parameters that may be sent to a backend server.
var allowedParameters = []string{"user", "database", "application_name", "client_encoding"}

// Conn is a connection to a backend server. It belongs to at most one owner at a time;
// use by another owner violates invariant.OneTransaction. An owner is a number other
// than 0 that the user of the connection chooses.
type Conn struct {
	conn       net.Conn
	reader     *bufio.Reader
	cancelFunc func(context.Context) error
	// owner is the current owner, or 0.
	owner uint64
	// PID is the ID of the server process that serves the connection.
	PID uint32
	// Statements holds the names of the prepared statements that exist on the
	// connection.
	Statements *StatementCache
	// NeedsFullReset is set when the session has state that the ordinary reset
	// does not clear.
	NeedsFullReset bool
	// ResetPending is set while the answer to a reset is still unread.
	ResetPending bool
	// scratch is a reused buffer for messages that are not returned to the caller.
	scratch []byte
}

// Dial opens a connection without TLS. An error is a *ConnectError.
func Dial(ctx context.Context, o Options) (*Conn, error) {
	c, err := connConfig(o)
	if err != nil {
		return nil, &ConnectError{Address: o.Address, Cause: err}
	}
	p, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return nil, &ConnectError{Address: o.Address, Cause: err}
	}
	cancel, pid := newCancelFunc(p), p.PID()
	conn, err := takeOver(p)
	if err != nil {
		return nil, &ConnectError{Address: o.Address, Cause: err}
	}
	return &Conn{
		conn: conn, reader: bufio.NewReaderSize(conn, readBufferSize),
		cancelFunc: cancel, PID: pid, Statements: NewStatementCache(MaxStatements),
	}, nil
}

// takeOver returns the connection of an open session, which the driver does not use any
// more. It closes the connection after an error.
func takeOver(p *pgconn.PgConn) (net.Conn, error) {
	h, err := p.Hijack()
	if err != nil {
		_ = p.Conn().Close()
		return nil, err
	}
	conn, err := h.Conn.(*startupConn).detach()
	if err != nil {
		_ = h.Conn.Close()
	}
	return conn, err
}

// connConfig returns the configuration of a connection. It checks that only
// allowedParameters are sent, because another parameter could carry a caller's key to the
// backend server.
func connConfig(o Options) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(o.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	// The driver would read a blank in an address as the beginning of another setting.
	c, err := pgconn.ParseConfig("host=localhost sslmode=disable")
	if err != nil {
		return nil, err
	}
	c.Host, c.Port = host, uint16(port)
	c.Database, c.User, c.Password = o.Database, o.User, o.Password
	c.ConnectTimeout = o.ConnectTimeout.Duration()
	dial := o.DialFunc
	if dial == nil {
		dial = dialStartup
	}
	c.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newStartupConn(conn), nil
	}
	c.RuntimeParams = map[string]string{"application_name": o.ApplicationName, "client_encoding": "UTF8"}
	for name := range c.RuntimeParams {
		invariant.Check(slices.Contains(allowedParameters, name), invariant.NoKeys, "startup parameter %q would reach a backend server", name)
	}
	return c, nil
}

// newCancelFunc returns the function that sends a cancel request for p. It copies the
// address and the secret key, because p is of no use after the hijack.
func newCancelFunc(p *pgconn.PgConn) func(context.Context) error {
	address := p.Conn().RemoteAddr()
	request := pgproto3.CancelRequest{ProcessID: p.PID(), SecretKey: slices.Clone(p.SecretKey())}
	return func(ctx context.Context) error {
		var d net.Dialer
		c, err := d.DialContext(ctx, address.Network(), address.String())
		if err != nil {
			return err
		}
		defer c.Close() //nolint:errcheck // the server closes first
		raw, err := request.Encode(nil)
		if err != nil {
			return err
		}
		if _, err = c.Write(raw); err != nil {
			return err
		}
		return awaitClose(ctx, c)
	}
}

// awaitClose returns once the server has closed the connection, which it does after
// it has processed the cancel request.
func awaitClose(ctx context.Context, c net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_, err := io.Copy(io.Discard, c)
	return err
}

// Cancel asks the server, over a connection of its own, to cancel the statement that
// this connection runs.
func (c *Conn) Cancel(ctx context.Context) error { return c.cancelFunc(ctx) }

// Acquire makes owner, which must not be 0, the only user of the connection.
func (c *Conn) Acquire(owner uint64) {
	invariant.Check(c.owner == 0, invariant.OneTransaction, "connection of owner %d was given to owner %d", c.owner, owner)
	c.owner = owner
}

// Release ends the ownership of the connection by owner.
func (c *Conn) Release(owner uint64) {
	c.checkOwner(owner)
	c.owner = 0
}

// checkOwner reports a violation unless owner owns the connection. The early return
// avoids allocating the arguments of invariant.Check.
func (c *Conn) checkOwner(owner uint64) {
	if c.owner == owner && owner != 0 {
		return
	}
	invariant.Check(c.owner == owner && owner != 0, invariant.OneTransaction, "owner %d used the connection of owner %d", owner, c.owner)
}

// Write sends raw PostgreSQL messages.
func (c *Conn) Write(owner uint64, raw []byte) error {
	c.checkOwner(owner)
	_, err := c.conn.Write(raw)
	return err
}

// ReadMessage reads one message and appends it to buf; see pgwire.ReadMessage.
func (c *Conn) ReadMessage(owner uint64, buf []byte) ([]byte, pgwire.Message, error) {
	c.checkOwner(owner)
	return pgwire.ReadMessage(c.reader, buf, MaxMessage)
}

// Query runs a simple query and returns the rows of all its statements; NULL becomes
// "". An ErrorResponse is returned as *ServerError, with the rows before it; the
// connection can then still be used unless the error is fatal. After any other error
// the connection must be closed. Such an error also replaces the ErrorResponse when the
// server closes the connection without a ReadyForQuery, as PostgreSQL does after a fatal
// error.
func (c *Conn) Query(owner uint64, sql string) ([][]string, error) {
	if err := c.Write(owner, QueryMessage(sql)); err != nil {
		return nil, err
	}
	return c.ReadRows(owner)
}

// ReadRows reads the answer to a simple query that was already sent. It returns the
// same as Query.
func (c *Conn) ReadRows(owner uint64) ([][]string, error) {
	var rows [][]string
	var serverErr error
	for {
		buf, m, err := c.ReadMessage(owner, c.scratch[:0])
		if err != nil {
			return nil, err
		}
		c.keepScratch(buf)
		switch m.Type() {
		case 'Z':
			return rows, serverErr
		case 'E':
			serverErr = ParseError(m)
		case 'D':
			row, err := parseTextRow(m)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
}

// maxScratch is the largest buffer in bytes that is kept for the next message.
const maxScratch = 4 << 10

func (c *Conn) keepScratch(buf []byte) {
	if cap(buf) <= maxScratch {
		c.scratch = buf
	}
}

var errTruncatedRow = errors.New("a row of the backend server is cut short")

// DiscardAnswer reads and discards the answer to a simple query that was already
// sent. The timeout is in milliseconds. After an error, which includes an
// ErrorResponse, the connection must be closed.
func (c *Conn) DiscardAnswer(owner uint64, timeout clock.Millis) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout.Duration())); err != nil {
		return err
	}
	if err := c.discardAnswer(owner); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}

func (c *Conn) discardAnswer(owner uint64) error {
	for {
		buf, m, err := c.ReadMessage(owner, c.scratch[:0])
		if err != nil {
			return err
		}
		c.keepScratch(buf)
		switch m.Type() {
		case 'Z':
			return nil
		case 'E':
			return ParseError(m)
		}
	}
}

// parseTextRow copies the values of a DataRow; NULL becomes "".
func parseTextRow(m pgwire.Message) ([]string, error) {
	body := m.Body()
	if len(body) < 2 {
		return nil, errTruncatedRow
	}
	// The values share one string, which is a single allocation.
	text := string(body[2:])
	// A value takes at least 4 bytes, so a wrong count does not enlarge the allocation.
	row := make([]string, 0, min(int(binary.BigEndian.Uint16(body)), len(text)/4))
	for n := binary.BigEndian.Uint16(body); n > 0; n-- {
		if len(text) < 4 {
			return nil, errTruncatedRow
		}
		size := int(int32(binary.BigEndian.Uint32(body[len(body)-len(text):])))
		text = text[4:]
		if size > len(text) {
			return nil, errTruncatedRow
		}
		size = max(size, 0) // -1 is NULL
		row, text = append(row, text[:size]), text[size:]
	}
	return row, nil
}

// ParseError decodes a raw ErrorResponse. A malformed one becomes an error with
// SQLSTATE XX000.
func ParseError(m pgwire.Message) *ServerError {
	var e pgproto3.ErrorResponse
	if err := e.Decode(m.Body()); err != nil {
		return &ServerError{Code: "XX000", Message: err.Error()}
	}
	severity := e.SeverityUnlocalized
	if severity == "" {
		severity = e.Severity
	}
	return &ServerError{Code: e.Code, Message: e.Message, Fatal: isFatal(severity, e.Code)}
}

// isFatal reports whether the server closes the connection after an error. The codes
// are those of a shutdown or a terminated server process (57P01) and of a crash (57P02).
func isFatal(severity, code string) bool {
	return severity == "FATAL" || severity == "PANIC" || code == "57P01" || code == "57P02"
}

// QueryMessage encodes a simple query.
func QueryMessage(sql string) []byte {
	raw, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(fmt.Sprintf("simple query cannot be encoded: %v", err))
	}
	return raw
}

// Close closes the connection at once; the server rolls back an open transaction.
func (c *Conn) Close() { _ = c.conn.Close() }
