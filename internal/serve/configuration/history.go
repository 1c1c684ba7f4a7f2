package configuration

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
)

const (
	// MinRecordHistory is the number of latest versions that always stay in the record
	// itself. A repeated request is recognized as long as its version is there.
	MinRecordHistory = 64
	// historyChunk is the number of versions that move from the record to one object.
	historyChunk = 16
	// MaxHistory is the largest number of versions that one call returns.
	MaxHistory = 1000
)

// historyObject holds versions that were moved out of the record, the oldest first. The
// objects form a chain; OlderHash names the next one, with older versions, or is empty.
type historyObject struct {
	History   []Entry `json:"history"`
	OlderHash string  `json:"older,omitempty"`
}

// moveOldHistory moves the historyChunk oldest versions of a record to an object of the object
// store and returns the record that names the object. A record that would keep fewer than
// MinRecordHistory versions is returned unchanged.
func moveOldHistory(ctx context.Context, store platform.Store, r Record) (Record, error) {
	if len(r.History) < MinRecordHistory+historyChunk {
		return r, nil
	}
	body, err := json.Marshal(historyObject{History: r.History[:historyChunk], OlderHash: r.OlderHash})
	if err != nil {
		return r, errors.Wrap(err, "history")
	}
	r.OlderHash = Hash(body)
	r.History = r.History[historyChunk:]
	return r, store.PutObjectFunc(ctx, r.OlderHash, body)
}

// History returns the last versions, the newest first, at most limit and MaxHistory of them.
// When an object cannot be read, it returns the newer versions with the error.
func History(ctx context.Context, store platform.Store, limit int) ([]Entry, error) {
	r, _, err := loadRecord(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	limit = min(limit, MaxHistory)
	object := historyObject{History: r.History, OlderHash: r.OlderHash}
	var out []Entry
	for {
		for _, e := range slices.Backward(object.History) {
			if len(out) >= limit {
				return out, nil
			}
			out = append(out, e)
		}
		if object.OlderHash == "" || len(out) >= limit {
			return out, nil
		}
		body, err := readObject(ctx, store, object.OlderHash)
		if err != nil {
			return out, errors.Wrap(err, "history")
		}
		object = historyObject{}
		if err := json.Unmarshal(body, &object); err != nil {
			return out, errors.Wrap(err, "history")
		}
	}
}
