package try

import (
	"slices"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

// expected is what a session may read in its row: the last value known to be
// there, or a later one whose write had an unknown outcome.
type expected struct {
	last    string
	unknown []string
}

func (e expected) withUnknown(v string) expected {
	e.unknown = append(slices.Clone(e.unknown), v)
	return e
}

// withRead checks a value that was read. A value once seen stays: an earlier one
// must not come back.
func (e expected) withRead(got string) (expected, bool) {
	if got == e.last {
		return e, true
	}
	i := slices.Index(e.unknown, got)
	if i < 0 {
		return e, false
	}
	return expected{last: got, unknown: e.unknown[i+1:]}, true
}

// isAnswer reports whether a VM answered at all.
func isAnswer(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer)
}

func isUnknown(err error) bool {
	var answer *pgconn.PgError
	return errors.As(err, &answer) && answer.Code == outcome.CodeUnknown
}
