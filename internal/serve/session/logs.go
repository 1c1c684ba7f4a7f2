package session

import (
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// logRefusal logs why a statement was refused and the state behind it: the version of
// the configuration, the term, the primary and the age of its proof.
func (s *session) logRefusal(st statement.Statement, code statement.Code, detail string) {
	fields := []any{"id", database.LoggedName(st.ID), "database", s.route.Database, "account", s.account.Name, "code", code.String(), "reason", detail}
	fields = append(fields, s.preparedFields(st)...)
	fields = append(fields, s.configurationFields()...)
	if allowed := s.regionConstraint(); !allowed.IsAll() {
		fields = append(fields, "regions", allowed.String())
	}
	if g := s.options.GroupFunc(s.route.Group); g != nil {
		term, leader, age := g.PrimaryStatus()
		fields = append(fields, "group", s.route.Group, "term", uint64(term), "primary", leader, "proof_ms", int64(age))
	}
	s.options.Log.Info("statement refused", fields...)
}

// logFailure logs that a server ran a statement without success, or refused it.
func (s *session) logFailure(msg string, conn *database.PooledConn, st statement.Statement, a statement.Answer) {
	fields := []any{"id", database.LoggedName(st.ID), "server", conn.Server().ID, "holder", conn.Holder(), "code", a.Code.String(), "detail", a.Detail}
	s.options.Log.Info(msg, append(fields, s.preparedFields(st)...)...)
}

// logSending logs, at level debug, a statement before it is sent, as its caller wrote it. The
// VM that holds the connection logs what it sends.
func (s *session) logSending(conn *database.PooledConn, st statement.Statement) {
	if s.options.Log.GetLevel() > log.DebugLevel {
		return
	}
	fields := []any{
		"id", database.LoggedName(st.ID), "account", s.account.Name, "group", conn.Group(), "server", conn.Server().ID, "holder", conn.Holder(),
		"text", statement.Digest(st.Text), "bytes", len(st.Text),
	}
	s.options.Log.Debug("sending a statement", append(fields, s.preparedFields(st)...)...)
}

// preparedFields returns the log fields of the execution of a prepared statement: the caller's
// name for it, the digest and kind of its shape, and the digest of the arguments.
func (s *session) preparedFields(st statement.Statement) []any {
	if st.Kind != statement.Execute {
		return nil
	}
	fields := []any{"prepared", database.LoggedName(st.Name), "arguments", statement.Digest(st.Arguments)}
	if shape, ok := s.prepared[st.Name]; ok {
		fields = append(fields, "shape", statement.Digest(shape.Text), "kind", shape.Kind())
	}
	return fields
}

// configurationFields returns the log fields of the configuration in force: its version, its source,
// the time since its adoption, the VM that last confirmed it, and the time since the store had no
// later version. Times are in milliseconds.
func (s *session) configurationFields() []any {
	c, now := s.options.CopyFunc(), s.options.Clock.Now()
	if c.Version == 0 {
		return nil
	}
	fields := []any{"version", c.Version, "version_from", c.Source, "version_ms", int64(now - c.AdoptedAt)}
	if c.IsConfirmed() {
		fields = append(fields, "confirmed_by", c.ConfirmedBy, "confirmed_ms", int64(c.Age(now)))
	}
	return fields
}
