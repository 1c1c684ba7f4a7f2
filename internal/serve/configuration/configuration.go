// Package configuration keeps the operators' document in the platform's table
// and object store: a record with the version and the hash of each section, and
// an object for each text.
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

// Key is the name of the record in the table.
const Key = "configuration"

// Retries of a write that lost a race or whose answer was lost.
const (
	maxTries       = 12
	initialBackoff = 2 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Change is one edit.
type Change struct {
	// Texts are the sections that are replaced.
	Texts map[string]string
	// Base is the version at which they were read; 0 means that they must be new.
	Base uint64
	// Request is the same when an edit is repeated after a lost answer. An empty
	// one is replaced by a random one.
	Request string
	// When stands in the history.
	When time.Time
	// AllowFunc returns who makes the change, or an error when it is not allowed.
	// It is given the document that the change replaces, nil when there is none,
	// so that a right that has just been withdrawn does not count. A nil function
	// allows everything.
	AllowFunc func(old *document.Document) (who string, err error)
}

// Load reads the document that the table names.
func Load(ctx context.Context, store platform.Store) (*document.Document, Record, string, error) {
	r, tag, err := load(ctx, store)
	if err != nil {
		return nil, r, tag, err
	}
	d, err := readDocument(ctx, store, r)
	return d, r, tag, err
}

// readDocument reads the texts of a record. It returns nil for the record before
// the first version.
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

// readObject reads an object and checks that it is the one with that hash.
func readObject(ctx context.Context, store platform.Store, hash string) ([]byte, error) {
	body, err := store.GetObjectFunc(ctx, hash)
	if err != nil {
		return nil, err
	}
	if Hash(body) != hash {
		return nil, errors.New("the object store gave another text")
	}
	return body, nil
}

func load(ctx context.Context, store platform.Store) (Record, string, error) {
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

// Hash names the object of a text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Apply replaces sections and returns the version that contains the change. It
// repeats a write that lost a race against other sections or whose answer was
// lost, a bounded number of times. It returns *ConflictError, *RequestError,
// *strict.Error, the error of AllowFunc or the platform's.
func Apply(ctx context.Context, store platform.Store, c Change) (uint64, error) {
	if c.Request == "" {
		c.Request = rand.Text()
	}
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval, exponential.MaxInterval = initialBackoff, maxBackoff
	return backoff.Retry(ctx, func() (uint64, error) {
		version, err := applyOnce(ctx, store, c)
		if err != nil && !isRetryable(err) {
			return 0, backoff.Permanent(err)
		}
		return version, err
	}, backoff.WithBackOff(exponential), backoff.WithMaxTries(maxTries))
}

// isRetryable reports whether the write lost a race or may have taken effect; the
// request's identifier settles which.
func isRetryable(err error) bool {
	var lost *platform.UnknownOutcomeError
	return errors.Is(err, platform.ErrConflict) || errors.As(err, &lost)
}

func applyOnce(ctx context.Context, store platform.Store, c Change) (uint64, error) {
	old, tag, err := load(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	replaced, err := readDocument(ctx, store, old)
	if err != nil {
		return 0, err
	}
	who := ""
	if c.AllowFunc != nil {
		if who, err = c.AllowFunc(replaced); err != nil {
			return 0, err
		}
	}
	next, version, err := old.WithChange(c, who)
	if err != nil || next.Revision == old.Revision {
		return version, err
	}
	return version, writeDocument(ctx, store, replaced, next, tag, c.Texts)
}

// writeDocument checks the merged document, keeps its texts and replaces the record.
func writeDocument(ctx context.Context, store platform.Store, replaced *document.Document, next Record, tag string, texts map[string]string) error {
	merged := map[string]string{}
	for section := range next.SectionHashes {
		if text, changed := texts[section]; changed {
			merged[section] = text
			continue
		}
		merged[section] = replaced.Text(section)
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
	_, err = store.PutRecordFunc(ctx, Key, tag, body)
	return err
}
