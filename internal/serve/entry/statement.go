package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
)

// statement is a prepared statement of a caller. Its name on servers is a hash
// of its text and parameter types, so that callers who prepare the same statement
// share it.
type statement struct {
	sql string
	// name is the name on servers, which is empty for the unnamed statement.
	name string
	// parse is the raw Parse message that prepares the statement on a server.
	parse []byte
	hint  route.Hint
	// isCopy is set for a COPY, which is refused.
	isCopy bool
	// command is set when the proxy runs the statement itself.
	command *command
}

// newStatement builds a statement from a caller's Parse message. The unnamed
// statement stays unnamed on servers.
func newStatement(p pgproto3.Parse) (*statement, error) {
	st := &statement{sql: strings.Clone(p.Query)}
	st.hint, st.command, st.isCopy = route.Parse(st.sql), parseCommand(st.sql), copyPattern.MatchString(st.sql)
	if p.Name != "" {
		p.Name = ""
		raw, err := p.Encode(nil)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(raw)
		st.name = "s" + hex.EncodeToString(sum[:16])
		p.Name = st.name
	}
	raw, err := p.Encode(nil)
	st.parse = raw
	return st, err
}

// size returns the memory that the statement takes, in bytes; 0 for nil.
func (st *statement) size() int {
	if st == nil {
		return 0
	}
	return len(st.sql) + len(st.parse)
}
