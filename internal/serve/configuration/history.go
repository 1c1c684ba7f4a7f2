package configuration

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
)

const (
	// Recent is the least number of versions that the record itself tells, once
	// there are as many. A request is known as repeated as long as it is told.
	Recent = 64
	// chunk is the number of versions that move to an object at once.
	chunk = 16
	// MaxHistory is the largest number of versions that one call returns.
	MaxHistory = 1000
)

// older is an object of the chain behind the record.
type older struct {
	History []Entry `json:"history"`
	Older   string  `json:"older,omitempty"`
}

// spill moves the oldest versions of a full record to an object.
func spill(ctx context.Context, store platform.Store, r Record) (Record, error) {
	if len(r.History) < Recent+chunk {
		return r, nil
	}
	body, err := json.Marshal(older{History: r.History[:chunk], Older: r.Older})
	if err != nil {
		return r, errors.Wrap(err, "history")
	}
	r.Older = Hash(body)
	r.History = r.History[chunk:]
	return r, store.KeepFunc(ctx, r.Older, body)
}

// History returns the last versions, the newest first, at most limit of them.
func History(ctx context.Context, store platform.Store, limit int) ([]Entry, error) {
	r, _, err := load(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrAbsent) {
		return nil, err
	}
	limit = min(limit, MaxHistory)
	part := older{History: r.History, Older: r.Older}
	var out []Entry
	for {
		for _, e := range slices.Backward(part.History) {
			if len(out) >= limit {
				return out, nil
			}
			out = append(out, e)
		}
		if part.Older == "" || len(out) >= limit {
			return out, nil
		}
		body, err := object(ctx, store, part.Older)
		if err != nil {
			return out, errors.Wrap(err, "history")
		}
		part = older{}
		if err := json.Unmarshal(body, &part); err != nil {
			return out, errors.Wrap(err, "history")
		}
	}
}
