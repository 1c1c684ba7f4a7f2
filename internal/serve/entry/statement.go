package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
)

// statement is a prepared statement of a caller. On servers it goes by a name
// made from its text, so that callers who prepare the same share it.
type statement struct {
	sql  string
	name string
	// parse makes the statement on a server.
	parse []byte
	hint  route.Hint
	// isCopy is set for a COPY, which is refused.
	isCopy bool
	// command is set when the proxy itself carries the statement out.
	command *command
}

// newStatement gives a statement its name on servers. The unnamed statement
// keeps its empty name.
func newStatement(p pgproto3.Parse) (*statement, error) {
	st := &statement{sql: strings.Clone(p.Query)}
	st.hint, st.command, st.isCopy = route.Parse(st.sql), parseCommand(st.sql), copyPattern.MatchString(st.sql)
	if p.Name != "" {
		p.Name = ""
		text, err := p.Encode(nil)
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(text)
		st.name = "s" + hex.EncodeToString(sum[:16])
		p.Name = st.name
	}
	text, err := p.Encode(nil)
	st.parse = text
	return st, err
}

// size is the memory that the statement takes, in bytes; 0 for none.
func (st *statement) size() int {
	if st == nil {
		return 0
	}
	return len(st.sql) + len(st.parse)
}
