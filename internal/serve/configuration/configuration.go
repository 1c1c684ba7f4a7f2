// Package configuration stores the operators' document and the member set in the platform's
// table and object store: one record with the versions and hashes, and objects for the texts
// of the sections, the member sets and the older history.
package configuration

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Key is the key of the record in the platform's table.
const Key = "configuration"

// Retries of a write that lost a race or whose answer was lost. maxTries counts the first
// try too.
const (
	maxTries       = 12
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Change is one edit of the document.
type Change struct {
	// Texts maps the name of each replaced section to its new text.
	Texts map[string]string
	// BaseVersion is the version at which the sections were read; 0 means that they
	// must not exist yet.
	BaseVersion uint64
	// RequestID identifies the edit; it must be the same when the edit is repeated after a
	// lost answer. An empty one is replaced by a random one.
	RequestID string
	// Time is the time of the edit in the history.
	Time time.Time
	// AllowFunc returns the name of the operator who makes the change, or an error if it
	// is not allowed. It gets the document that the change replaces, nil if there is
	// none, so that a right that has just been withdrawn does not count. A nil function
	// allows every change.
	AllowFunc func(old *document.Document) (operator string, err error)
}

// MissingObjectError means that the object store lacks an object that the record names. It
// is no platform.ErrNotFound, which means that there is no record.
type MissingObjectError struct{ Hash string }

// Error implements error.
func (e *MissingObjectError) Error() string { return "the object store lacks object " + e.Hash }

// Load reads the latest document, its record and the ETag of the record in the table. It
// returns platform.ErrNotFound if there is no record, and a *MissingObjectError if an object
// is missing. The document is nil if the record is from before the first edit.
func Load(ctx context.Context, store platform.Store) (*document.Document, Record, string, error) {
	r, etag, err := loadRecord(ctx, store)
	if err != nil {
		return nil, r, etag, err
	}
	d, err := readDocument(ctx, store, r)
	return d, r, etag, err
}

// readDocument reads and parses the texts of a record. It returns nil for a record from
// before the first edit.
func readDocument(ctx context.Context, store platform.Store, r Record) (*document.Document, error) {
	if r.Version == 0 {
		return nil, nil
	}
	texts := map[string]string{}
	for section, hash := range r.SectionHashes {
		body, err := readObject(ctx, store, hash)
		if err != nil {
			return nil, errors.Wrapf(err, "section %s", section)
		}
		texts[section] = string(body)
	}
	return document.Parse(r.Version, texts)
}

// readObject reads an object and checks that its content has the hash.
func readObject(ctx context.Context, store platform.Store, hash string) ([]byte, error) {
	body, err := store.GetObjectFunc(ctx, hash)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, &MissingObjectError{Hash: hash}
	}
	if err != nil {
		return nil, err
	}
	if Hash(body) != hash {
		return nil, errors.New("the object store gave another text")
	}
	return body, nil
}

// loadRecord reads the record and its ETag.
func loadRecord(ctx context.Context, store platform.Store) (Record, string, error) {
	var r Record
	v, err := store.GetRecordFunc(ctx, Key)
	if err != nil {
		return r, "", err
	}
	if err := json.Unmarshal(v.Body, &r); err != nil {
		return r, "", errors.Wrap(err, "configuration record")
	}
	return r, v.ETag, nil
}

// Hash returns the hash of a text, which is the name of its object.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Apply replaces sections and returns the version that contains the change. It retries a
// write that lost a race against another change of the record or whose answer was lost, a
// bounded number of times. The error is a *ConflictError, *RequestError, *BaseError or
// *strict.Error, that of AllowFunc or the platform's.
func Apply(ctx context.Context, store platform.Store, c Change) (uint64, error) {
	if c.RequestID == "" {
		c.RequestID = rand.Text()
	}
	exponentialBackoff := backoff.NewExponentialBackOff()
	exponentialBackoff.InitialInterval, exponentialBackoff.MaxInterval = initialBackoff, maxBackoff
	return backoff.Retry(ctx, func() (uint64, error) {
		version, err := applyOnce(ctx, store, c)
		if err != nil && !isRetryable(err) {
			return 0, backoff.Permanent(err)
		}
		return version, err
	}, backoff.WithBackOff(exponentialBackoff), backoff.WithMaxTries(maxTries))
}

// isRetryable reports whether the write lost a race or may have taken effect. In the second
// case the retry recognizes the request by its identifier.
func isRetryable(err error) bool {
	var unknownOutcome *platform.UnknownOutcomeError
	return errors.Is(err, platform.ErrConflict) || errors.As(err, &unknownOutcome)
}

// applyOnce tries once to apply a change to the current record.
func applyOnce(ctx context.Context, store platform.Store, c Change) (uint64, error) {
	old, etag, err := loadRecord(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	current, err := readDocument(ctx, store, old)
	if err != nil {
		return 0, err
	}
	operator := ""
	if c.AllowFunc != nil {
		if operator, err = c.AllowFunc(current); err != nil {
			return 0, err
		}
	}
	next, version, err := old.WithChange(c, operator)
	if err != nil || next.Revision == old.Revision {
		return version, err
	}
	return version, writeDocument(ctx, store, current, next, etag, c.Texts)
}

// writeDocument checks the document with the new texts, stores these and replaces the record
// if it still has the ETag.
func writeDocument(ctx context.Context, store platform.Store, current *document.Document, next Record, etag string, texts map[string]string) error {
	merged := map[string]string{}
	for section := range next.SectionHashes {
		if text, changed := texts[section]; changed {
			merged[section] = text
			continue
		}
		merged[section] = current.Text(section)
	}
	if _, err := document.Parse(next.Version, merged); err != nil {
		return err
	}
	for _, text := range texts {
		if err := store.PutObjectFunc(ctx, Hash([]byte(text)), []byte(text)); err != nil {
			return err
		}
	}
	next, err := moveOldHistory(ctx, store, next)
	if err != nil {
		return err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "configuration record")
	}
	_, err = store.PutRecordFunc(ctx, Key, etag, body)
	return err
}
