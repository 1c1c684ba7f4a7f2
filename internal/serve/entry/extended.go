package entry

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// maxLocalMessages is the largest number of messages that the proxy answers in
// one batch.
const maxLocalMessages = 1024

// extendedMessage is one message of the extended query protocol, parsed as far
// as the proxy needs.
type extendedMessage struct {
	kind byte
	// object is 'S' when the message refers to a prepared statement, 'P' when it
	// refers to a portal, and 0 in a Parse.
	object byte
	// name and portal are the names that the caller uses.
	name   string
	portal string
	// statement is nil when the proxy knows no statement for the name.
	statement *statement
	// rest is the part of a Bind after the names.
	rest []byte
	// failure is set when the message refers to a name that does not exist, or
	// exceeds a bound.
	failure *outcome.NotRun
}

// codeNoMemory is out_of_memory.
const codeNoMemory = "53200"

// addExtended adds one message of the extended query protocol and reports
// whether the batch has to be answered before the next message.
func (s *session) addExtended(b *batch, m pgwire.Message) (bool, error) {
	e, err := s.parseExtended(m)
	if err != nil {
		return false, err
	}
	local := s.isLocal(b, e)
	if local && b.forwardedCount > 0 || !local && len(b.localMessages) > 0 {
		s.pendingMessage = bytes.Clone(m)
		return s.flush(b), nil
	}
	if local && e.statement == nil && e.failure == nil && e.kind != 'C' {
		e.failure = outcome.Refuse(outcome.ReasonInvalidRequest, codeNoPortal, "portal %q does not exist", e.portal)
	}
	s.updateNames(e, local)
	if !local {
		s.forward(b, e, m)
		return false, nil
	}
	b.localMessages = append(b.localMessages, localMessage{kind: e.kind, object: e.object, statement: e.statement, failure: e.failure})
	// An Execute may end a failed block, after which messages go to a server again.
	if s.failed && e.kind == 'E' || len(b.localMessages) >= maxLocalMessages {
		return s.flush(b), nil
	}
	return false, nil
}

// parseExtended parses a message and looks up the statement that it refers to.
func (s *session) parseExtended(m pgwire.Message) (extendedMessage, error) {
	e := extendedMessage{kind: m.Type()}
	body, ok := m.Body(), true
	switch e.kind {
	case 'P':
		return s.parseParse(e, body)
	case 'B':
		e.portal, body, ok = cutString(body)
		if ok {
			e.name, e.rest, ok = cutString(body)
		}
		e.object = 'S'
	case 'E':
		e.portal, _, ok = cutString(body)
		e.object = 'P'
	case 'D', 'C':
		if len(body) == 0 || body[0] != 'S' && body[0] != 'P' {
			return e, refuseMalformed(errUnterminatedString)
		}
		e.object = body[0]
		e.name, _, ok = cutString(body[1:])
		e.portal = e.name
	default:
		return e, outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeProtocolViolation, "unexpected message %q", e.kind)
	}
	if !ok {
		return e, refuseMalformed(errUnterminatedString)
	}
	s.resolveStatement(&e)
	return e, nil
}

// parseParse parses the body of a Parse message. It sets failure if the caller's
// prepared statements would exceed a bound.
func (s *session) parseParse(e extendedMessage, body []byte) (extendedMessage, error) {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return e, refuseMalformed(err)
	}
	st, err := newStatement(p)
	if err != nil {
		return e, refuseMalformed(err)
	}
	if len(s.statements) >= maxPreparedStatements && s.statements[p.Name] == nil || s.preparedSize+st.size()-s.statements[p.Name].size() > maxPreparedSize {
		e.failure = outcome.Refuse(outcome.ReasonQueueFull, codeNoMemory, "the caller's prepared statements exceed %d, or %d bytes", maxPreparedStatements, maxPreparedSize)
	}
	e.name, e.statement = p.Name, st
	return e, nil
}

// resolveStatement looks up the statement that a message refers to. Portals of
// statements that run on a server are known to the server alone.
func (s *session) resolveStatement(e *extendedMessage) {
	if e.object == 'P' {
		e.statement = s.portals[e.portal]
		return
	}
	e.statement = s.statements[e.name]
	if e.statement == nil && e.kind != 'C' {
		e.failure = outcome.Refuse(outcome.ReasonInvalidRequest, codeNoStatement, "prepared statement %q does not exist", e.name)
	}
}

// isLocal reports whether the proxy answers the message itself. A Close of a
// statement goes to the server only with other messages, so that it costs no
// round trip by itself.
func (s *session) isLocal(b *batch, e extendedMessage) bool {
	// A server may know portals that the proxy does not.
	hasServer := s.pinnedServer != "" || b.forwardedCount > 0
	switch {
	case s.failed, e.failure != nil:
		return true
	case e.kind == 'C' && e.object == 'S':
		return b.forwardedCount == 0
	case e.kind == 'C':
		return e.statement != nil || !hasServer
	case e.object == 'P':
		return e.statement != nil || !hasServer
	}
	return e.statement.command != nil
}

// updateNames tracks the caller's names for prepared statements, and for the
// portals of commands.
func (s *session) updateNames(e extendedMessage, local bool) {
	switch {
	case e.failure != nil:
	case e.kind == 'P':
		if s.statements == nil {
			s.statements = map[string]*statement{}
		}
		s.preparedSize += e.statement.size() - s.statements[e.name].size()
		s.statements[e.name] = e.statement
	case e.kind == 'B' && local:
		if s.portals == nil {
			s.portals = map[string]*statement{}
		}
		s.portals[e.portal] = e.statement
	case e.kind == 'B', e.kind == 'C' && e.object == 'P':
		delete(s.portals, e.portal)
	case e.kind == 'C':
		s.preparedSize -= s.statements[e.name].size()
		delete(s.statements, e.name)
	}
}

// forward adds a message to those for a server, with the names that its
// statements have on servers.
func (s *session) forward(b *batch, e extendedMessage, m pgwire.Message) {
	b.forwardedCount++
	switch {
	case e.kind == 'P':
		s.addStatement(b, e.statement.sql, e.statement.hint, e.statement.isCopy)
		b.out.Raw = append(b.out.Raw, e.statement.parse...)
	case e.kind == 'B':
		s.requireStatement(b, e.statement)
		b.out.Raw = appendMessage(b.out.Raw, 'B', []byte(e.portal+"\x00"+e.statement.name+"\x00"), e.rest)
	case e.object == 'S' && e.kind == 'D':
		s.requireStatement(b, e.statement)
		b.out.Raw = appendMessage(b.out.Raw, 'D', []byte("S"+e.statement.name+"\x00"), nil)
	case e.object == 'S' && e.statement != nil:
		b.out.Raw = appendMessage(b.out.Raw, 'C', []byte("S"+e.statement.name+"\x00"), nil)
	default:
		b.out.Raw = append(b.out.Raw, m...)
	}
}
