// Package oracle says what callers of a trial may be answered, and how it fared.
package oracle

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

// Row is what a session may read in its row: the last value known to be
// there, or a later one whose write had an unknown outcome.
type Row struct {
	// Last is the last value known to be there; it is empty before the first.
	Last          string
	unknownWrites []string
}

// WithUnknownWrite adds a write whose outcome is unknown.
func (r Row) WithUnknownWrite(v string) Row {
	r.unknownWrites = append(slices.Clone(r.unknownWrites), v)
	return r
}

// WithRead checks a value that was read and reports whether it may be. A value once seen stays: an earlier one
// must not come back.
func (r Row) WithRead(got string) (Row, bool) {
	if got == r.Last {
		return r, true
	}
	i := slices.Index(r.unknownWrites, got)
	if i < 0 {
		return r, false
	}
	return Row{Last: got, unknownWrites: r.unknownWrites[i+1:]}, true
}

// IsErrorResponse reports whether a VM answered at all.
func IsErrorResponse(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer)
}

// IsUnknownOutcome reports whether a VM answered that the outcome is unknown.
func IsUnknownOutcome(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == outcome.CodeUnknown
}
