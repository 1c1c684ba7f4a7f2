package backend

import (
	"context"
	"encoding/binary"
	"maps"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// textOID is the type of every column and parameter: text.
const textOID = 25

type preparedStatement struct{ sql string }

type portal struct {
	sql        string
	parameters []string
	formats    []int16
}

// session is one connection. Its fields are guarded by the group's lock, except for
// wire, preparedStatements, portals and skipUntilSync, which only its own goroutine uses.
type session struct {
	server            *Server
	conn              net.Conn
	wire              *pgproto3.Backend
	user              string
	pid               uint32
	secret            uint32
	startupParameters map[string]string
	settings          map[string]string
	// txn is the open transaction, or nil.
	txn                *transaction
	terminated         bool
	cancelRequested    bool
	preparedStatements map[string]preparedStatement
	portals            map[string]portal
	// skipUntilSync is set after an error in the extended protocol: messages are
	// ignored up to the next Sync.
	skipUntilSync bool
}

func (c *session) group() *Group { return c.server.group }

// terminateSession closes the connection. A statement that waits fails with
// errTerminated. The caller holds the group's lock.
func (c *session) terminateSession() {
	c.terminated = true
	_ = c.conn.Close()
	c.group().changed.Broadcast()
}

// initialSettings returns the settings given in the startup message.
func (c *session) initialSettings() map[string]string {
	out := maps.Clone(c.startupParameters)
	delete(out, "user")
	delete(out, "database")
	return out
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the peer may be gone
	c := &session{server: s, conn: conn, wire: pgproto3.NewBackend(conn, conn), preparedStatements: map[string]preparedStatement{}, portals: map[string]portal{}}
	if !c.handshake(ctx) {
		return
	}
	defer c.close()
	for ctx.Err() == nil {
		m, err := c.wire.Receive()
		if err != nil {
			return
		}
		if !c.waitResponsive() || !c.handle(m) {
			return
		}
	}
}

// waitResponsive waits until the server is responsive or the session is terminated. It
// returns false if the group stops during the wait.
func (c *session) waitResponsive() bool {
	c.group().mu.Lock()
	defer c.group().mu.Unlock()
	for c.server.unresponsive && !c.terminated {
		select {
		case <-c.server.stopped:
			return false
		default:
		}
		c.group().changed.Wait()
	}
	return true
}

// handshake reads startup messages, and refuses TLS, until a session is open. It returns
// false if the connection ends without one, for example after a cancel request.
func (c *session) handshake(ctx context.Context) bool {
	m, err := c.wire.ReceiveStartupMessage()
	if err != nil {
		return false
	}
	switch m := m.(type) {
	case *pgproto3.SSLRequest:
		if _, err := c.conn.Write([]byte{'N'}); err != nil {
			return false
		}
		return c.handshake(ctx)
	case *pgproto3.CancelRequest:
		c.server.cancelStatement(m.ProcessID, binary.BigEndian.Uint32(m.SecretKey))
		return false
	case *pgproto3.StartupMessage:
		return c.acceptStartup(ctx, m)
	}
	return false
}

// cancelStatement cancels the statement that waits in the given session, if the
// secret key is right.
func (s *Server) cancelStatement(pid, secret uint32) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if c := s.sessions[pid]; c != nil && c.secret == secret {
		c.cancelRequested = true
		s.group.changed.Broadcast()
	}
}

// acceptStartup waits Options.ConnectTime, registers the session and completes the
// startup without authentication. It returns false if the connection must be closed.
func (c *session) acceptStartup(ctx context.Context, m *pgproto3.StartupMessage) bool {
	if err := c.group().options.Clock.Sleep(ctx, c.group().options.ConnectTime); err != nil {
		return false
	}
	if !c.waitResponsive() || c.server.isDown() {
		return false
	}
	if !c.register(m.Parameters) {
		c.wire.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "sorry, too many clients already"})
		_ = c.wire.Flush()
		return false
	}
	c.wire.Send(&pgproto3.AuthenticationOk{})
	for name, v := range map[string]string{"server_version": "16.0", "client_encoding": "UTF8", "standard_conforming_strings": "on", "integer_datetimes": "on"} {
		c.wire.Send(&pgproto3.ParameterStatus{Name: name, Value: v})
	}
	c.wire.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.wire.Flush() == nil
}

// register adds the session to the server. It returns false when the server is
// down or has Options.Connections sessions.
func (c *session) register(parameters map[string]string) bool {
	s := c.server
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.down || len(s.sessions) >= s.group.options.Connections {
		return false
	}
	s.nextPID++
	// The multiplier is odd, so that each process ID gets a different secret.
	c.pid, c.secret = s.nextPID, s.nextPID*2654435761
	c.user, c.startupParameters = parameters["user"], parameters
	c.settings = c.initialSettings()
	s.sessions[c.pid] = c
	return true
}

// close removes the session from the server and rolls back its transaction.
func (c *session) close() {
	c.group().mu.Lock()
	defer c.group().mu.Unlock()
	delete(c.server.sessions, c.pid)
	c.releaseAdvisoryLocks()
	c.endTransaction()
}

// handle processes one message and reports whether the connection stays open.
func (c *session) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		c.query(m.String)
		return c.sendReady()
	case *pgproto3.Sync:
		c.skipUntilSync = false
		c.commitImplicit()
		return c.sendReady()
	case *pgproto3.Flush:
		return c.wire.Flush() == nil
	}
	if c.skipUntilSync {
		return true
	}
	if err := c.handleExtended(m); err != nil {
		c.sendError(err)
		c.skipUntilSync = true
	}
	return true
}

func (c *session) handleExtended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.preparedStatements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.wire.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &sqlError{code: "08P01", message: "unexpected message"}
}

func (c *session) parse(m *pgproto3.Parse) error {
	sql := normalize(m.Query)
	if sql != "" {
		if _, _, err := findPattern(sql); err != nil {
			return err
		}
	}
	if _, exists := c.preparedStatements[m.Name]; exists && m.Name != "" {
		return &sqlError{code: "42P05", message: "prepared statement " + m.Name + " already exists"}
	}
	c.preparedStatements[m.Name] = preparedStatement{sql: sql}
	c.wire.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(m *pgproto3.Bind) error {
	p, ok := c.preparedStatements[m.PreparedStatement]
	if !ok {
		return &sqlError{code: "26000", message: "prepared statement " + m.PreparedStatement + " does not exist"}
	}
	out := portal{sql: p.sql, formats: append([]int16(nil), m.ResultFormatCodes...)}
	for _, v := range m.Parameters {
		out.parameters = append(out.parameters, string(v))
	}
	c.portals[m.DestinationPortal] = out
	c.wire.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	var sql string
	if m.ObjectType == 'S' {
		p, ok := c.preparedStatements[m.Name]
		if !ok {
			return &sqlError{code: "26000", message: "prepared statement " + m.Name + " does not exist"}
		}
		sql = p.sql
		c.wire.Send(&pgproto3.ParameterDescription{ParameterOIDs: parameterTypes(sql)})
	} else {
		p, ok := c.portals[m.Name]
		if !ok {
			return &sqlError{code: "34000", message: "portal " + m.Name + " does not exist"}
		}
		sql = p.sql
	}
	if columns := resultColumns(sql); columns != nil {
		c.wire.Send(rowDescription(columns))
	} else {
		c.wire.Send(&pgproto3.NoData{})
	}
	return nil
}

// parameterTypes returns a type for each parameter up to the highest number in sql.
// It knows $1 to $9.
func parameterTypes(sql string) []uint32 {
	n := 0
	for i := 0; i+1 < len(sql); i++ {
		if sql[i] == '$' && sql[i+1] >= '1' && sql[i+1] <= '9' {
			n = max(n, int(sql[i+1]-'0'))
		}
	}
	out := make([]uint32, n)
	for i := range out {
		out[i] = textOID
	}
	return out
}

func rowDescription(columns []string) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, name := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1})
	}
	return d
}

func (c *session) execute(m *pgproto3.Execute) error {
	p, ok := c.portals[m.Portal]
	if !ok {
		return &sqlError{code: "34000", message: "portal " + m.Portal + " does not exist"}
	}
	if p.sql == "" {
		c.wire.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	r, err := c.run(p.sql, p.parameters)
	if err != nil {
		return err
	}
	c.sendRows(r)
	return nil
}

// sendRows sends the rows of a result, if any, and CommandComplete.
func (c *session) sendRows(r result) {
	for _, row := range r.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = []byte(v)
		}
		c.wire.Send(&pgproto3.DataRow{Values: values})
	}
	c.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.commandTag)})
}

// query runs the statements of a simple query up to the first error and commits its
// implicit transaction, if one is open.
func (c *session) query(sql string) {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		c.wire.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, s := range statements {
		r, err := c.run(s, nil)
		if err != nil {
			c.sendError(err)
			break
		}
		if r.columns != nil {
			c.wire.Send(rowDescription(r.columns))
		}
		c.sendRows(r)
	}
	c.commitImplicit()
}

// run runs one statement, in a new implicit transaction if none is open. In an
// aborted transaction only transaction control runs.
func (c *session) run(sql string, parameters []string) (result, error) {
	p, args, err := findPattern(sql)
	if err != nil {
		return result{}, err
	}
	args, err = resolveArguments(args, parameters)
	if err != nil {
		return result{}, err
	}
	c.occupySlot(p)
	g := c.group()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.server.statementFunc != nil {
		c.server.statementFunc(sql)
	}
	if c.terminated {
		return result{}, errTerminated
	}
	// Drops a cancel request that came before the statement or while it occupied a slot.
	c.cancelRequested = false
	if c.txn == nil {
		c.txn = &transaction{readOnly: c.readOnlyDefault()}
	}
	if c.txn.aborted && !p.transactionControl {
		return result{}, errAborted
	}
	return p.runFunc(c, args)
}

// occupySlot occupies a slot of the server for Options.StatementTime if the pattern uses
// slots.
func (c *session) occupySlot(p statementPattern) {
	duration := c.group().options.StatementTime
	if duration <= 0 || !p.usesSlot {
		return
	}
	c.server.slots <- struct{}{}
	time.Sleep(duration)
	<-c.server.slots
}

// sendError sends an ErrorResponse, and aborts an explicit transaction or rolls back
// an implicit one.
func (c *session) sendError(err error) {
	e, ok := err.(*sqlError)
	if !ok {
		e = &sqlError{code: "XX000", message: err.Error()}
	}
	c.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: e.code, Message: e.message})
	c.group().mu.Lock()
	defer c.group().mu.Unlock()
	if c.txn == nil {
		return
	}
	if c.txn.explicit {
		c.txn.aborted = true
		return
	}
	c.endTransaction()
}

// commitImplicit commits the transaction of statements outside BEGIN ... COMMIT.
func (c *session) commitImplicit() {
	c.group().mu.Lock()
	if c.txn == nil || c.txn.explicit {
		c.group().mu.Unlock()
		return
	}
	err := c.commitTransaction()
	c.group().mu.Unlock()
	if err != nil {
		c.sendError(err)
	}
}

// sendReady sends ReadyForQuery and flushes. It returns false if the connection must be
// closed.
func (c *session) sendReady() bool {
	if !c.waitResponsive() {
		return false
	}
	c.group().mu.Lock()
	status, terminated := byte('I'), c.terminated
	switch {
	case c.txn != nil && c.txn.aborted:
		status = 'E'
	case c.txn != nil && c.txn.explicit:
		status = 'T'
	}
	c.group().mu.Unlock()
	if terminated {
		return false
	}
	c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.wire.Flush() == nil
}
