package entry

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
)

// formatToken returns the floor of a session in the form that a caller can
// carry to another VM: database:term/position.
func formatToken(database string, position floor.ReplicationPosition) string {
	return database + ":" + position.String()
}

// parseToken returns the floor in a token, which must be of the given database.
// Its error becomes part of the refusal that the caller gets.
func parseToken(database, text string) (floor.ReplicationPosition, error) {
	positionText, ok := strings.CutPrefix(text, database+":")
	if !ok {
		return floor.ReplicationPosition{}, errors.Errorf("%q is no token of database %s", text, database)
	}
	term, position, _ := strings.Cut(positionText, "/")
	t, termErr := strconv.ParseUint(term, 10, 64)
	p, positionErr := strconv.ParseUint(position, 10, 64)
	parsed := floor.ReplicationPosition{Term: floor.Term(t), Position: floor.Position(p)}
	if termErr != nil || positionErr != nil || parsed.String() != positionText {
		return floor.ReplicationPosition{}, errors.Errorf("%q is no token", text)
	}
	return parsed, nil
}
