package database

import (
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// maxLoggedName is the longest name in a log line, in bytes.
const maxLoggedName = 64

// LoggedName returns a name as it stands in a log line, cut to maxLoggedName bytes.
func LoggedName(name string) string { return name[:min(len(name), maxLoggedName)] }

// logSent logs a statement that was sent to the server and how that ended: at level debug, or at
// level info if it failed or its answer was lost. The name is that of the prepared statement, or "".
func (pc *PooledConn) logSent(r Request, name string, a statement.Answer, err error) {
	level, msg := log.DebugLevel, "statement sent"
	if err != nil || isFailure(a.Code) {
		level, msg = log.InfoLevel, "statement failed on a connection"
	}
	logger := pc.pool.group.options.Log
	if logger.GetLevel() > level {
		return
	}
	fields := []any{
		"id", LoggedName(r.ID), "group", pc.Group(), "server", pc.pool.entry().ID, "connection", pc.number, "account", pc.account,
		"text", statement.Digest(r.Text), "bytes", len(r.Text), "code", a.Code.String(),
	}
	if e := r.Execution; !e.IsZero() {
		fields = append(fields, "name", name, "shape", statement.Digest(e.Shape.Text), "kind", e.Shape.Kind(), "arguments", statement.Digest(e.Arguments))
	}
	if err != nil {
		fields = append(fields, "err", err)
	}
	logger.Log(level, msg, fields...)
}

// isFailure reports whether a code tells of a failure of the statement itself. A server that is
// busy, behind or no primary refuses whatever the statement is.
func isFailure(c statement.Code) bool {
	switch c {
	case statement.Success, statement.Busy, statement.ReplicaBehind, statement.ReadOnly:
		return false
	}
	return true
}

// logPrepared logs, at level debug, the name under which a shape was prepared.
func (pc *PooledConn) logPrepared(name string, s statement.Shape) {
	logger := pc.pool.group.options.Log
	if logger.GetLevel() > log.DebugLevel {
		return
	}
	logger.Debug("statement prepared", "group", pc.Group(), "server", pc.pool.entry().ID, "connection", pc.number,
		"account", pc.account, "name", name, "shape", statement.Digest(s.Text), "kind", s.Kind())
}
