// Package oracle checks the answers that callers of a trial get, and computes its
// failover gap and how fairly the accounts were served.
package oracle

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

// Row holds the values that a session may read in a row that no other session
// writes: the last one known to be stored, or a later one whose write had an
// unknown outcome.
type Row struct {
	// LastValue is the last value known to be stored; it is empty before the first.
	LastValue     string
	unknownWrites []string
}

// WithUnknownWrite returns the row after a write of v whose outcome is unknown.
func (r Row) WithUnknownWrite(v string) Row {
	r.unknownWrites = append(slices.Clone(r.unknownWrites), v)
	return r
}

// WithRead returns the row after a read of v and reports whether the read was
// allowed to return it. Once a value has been read, no earlier one may be read.
func (r Row) WithRead(v string) (Row, bool) {
	if v == r.LastValue {
		return r, true
	}
	i := slices.Index(r.unknownWrites, v)
	if i < 0 {
		return r, false
	}
	return Row{LastValue: v, unknownWrites: r.unknownWrites[i+1:]}, true
}

// IsErrorResponse reports whether err is an ErrorResponse that a VM sent, and not a
// failure of the connection.
func IsErrorResponse(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr)
}

// IsUnknownOutcome reports whether err is a VM's answer that the outcome of a
// statement is unknown.
func IsUnknownOutcome(err error) bool {
	var pgErr *pgconn.PgError
	return errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown
}
