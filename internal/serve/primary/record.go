package primary

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
)

// record is a group's entry in the platform's table. It usually lets only one of
// several claimants go on, and informs operators; safety does not depend on it.
type record struct {
	Term     floor.Term `json:"term"`
	Claimant string     `json:"claimant"`
	// Primary is "" until the claim is complete.
	Primary string `json:"primary,omitempty"`
}

// recordClaim writes a claim or its result. A claim is refused only if the table
// certainly names another claimant of the same or a later term; if the table cannot be
// read or written, the claim goes on.
func (v *Observer) recordClaim(ctx context.Context, a primary.Action) {
	wanted := record{Term: a.Term, Claimant: a.Claimant, Primary: a.Leader}
	known, err := v.storeRecord(ctx, wanted)
	if a.Kind == primary.RecordPrimary {
		return
	}
	refused := err == nil && known.Claimant != wanted.Claimant
	v.post(ctx, primary.Event{Kind: primary.ClaimRecorded, Term: known.Term, Claimant: a.Claimant, Refused: refused})
}

// maxWriteAttempts bounds the attempts to write the record.
const maxWriteAttempts = 3

// storeRecord writes the record unless the stored one supersedes it, and returns the
// one in force. With an error it returns wanted.
func (v *Observer) storeRecord(ctx context.Context, wanted record) (record, error) {
	key := "group/" + v.options.Database.Name
	body, err := json.Marshal(wanted)
	if err != nil {
		return wanted, err
	}
	for range maxWriteAttempts {
		r, err := v.options.Store.GetRecordFunc(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return wanted, err
		}
		var known record
		if err == nil && json.Unmarshal(r.Body, &known) == nil && wanted.supersededBy(known) {
			return known, nil
		}
		_, err = v.options.Store.PutRecordFunc(ctx, key, r.ETag, body)
		var unknown *platform.UnknownOutcomeError
		if !errors.Is(err, platform.ErrConflict) && !errors.As(err, &unknown) {
			return wanted, err
		}
	}
	return wanted, errors.New("every attempt to write the record met a conflict or had an unknown outcome")
}

// supersededBy reports whether known, the stored record, equals r or belongs to
// another claim of the same or a later term.
func (r record) supersededBy(known record) bool {
	if known.Term != r.Term || known.Claimant != r.Claimant {
		return known.Term >= r.Term
	}
	return known.Primary == r.Primary
}
