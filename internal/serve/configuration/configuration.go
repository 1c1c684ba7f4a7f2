// Package configuration keeps the operators' document in the platform's table
// and object store: a record with the version and the hash of each section, and
// an object for each text.
package configuration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Key is the name of the record in the table.
const Key = "configuration"

// Record is the entry in the table.
type Record struct {
	Version  uint64            `json:"version"`
	Sections map[string]string `json:"sections"`
	// Bases holds, for each section, the version that last changed it.
	Bases map[string]uint64 `json:"bases"`
	// Request identifies the last change, so that a lost answer can be settled.
	Request string `json:"request"`
}

// ConflictError means that the section was changed by another since its base.
type ConflictError struct {
	Section string
	Base    uint64
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "section " + e.Section + " has been changed by another; get it again and repeat the edit"
}

// Load reads the document that the table names.
func Load(ctx context.Context, store platform.Store) (*document.Document, Record, string, error) {
	r, tag, err := load(ctx, store)
	if err != nil {
		return nil, r, tag, err
	}
	texts := map[string]string{}
	for section, hash := range r.Sections {
		body, err := store.ObjectFunc(ctx, hash)
		if err != nil {
			return nil, r, tag, errors.Wrapf(err, "section %s", section)
		}
		if Hash(body) != hash {
			return nil, r, tag, errors.Errorf("section %s: the object store gave another text", section)
		}
		texts[section] = string(body)
	}
	d, err := document.Parse(r.Version, texts)
	return d, r, tag, err
}

func load(ctx context.Context, store platform.Store) (Record, string, error) {
	var r Record
	v, err := store.GetFunc(ctx, Key)
	if err != nil {
		return r, "", err
	}
	if err := json.Unmarshal(v.Body, &r); err != nil {
		return r, "", errors.Wrap(err, "configuration record")
	}
	return r, v.Tag, nil
}

// Hash names the object of a text.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Apply replaces sections and returns the new version. Base is the version at
// which the sections were read; 0 means that they must be new. The request is
// the same when an edit is repeated after a lost answer.
func Apply(ctx context.Context, store platform.Store, texts map[string]string, base uint64, request string) (uint64, error) {
	for {
		version, err := applyOnce(ctx, store, texts, base, request)
		if errors.Is(err, platform.ErrConflict) {
			continue
		}
		return version, err
	}
}

func applyOnce(ctx context.Context, store platform.Store, texts map[string]string, base uint64, request string) (uint64, error) {
	old, tag, err := load(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrAbsent) {
		return 0, err
	}
	if request != "" && old.Request == request {
		return old.Version, nil
	}
	next, err := merge(ctx, store, old, texts, base, request)
	if err != nil {
		return 0, err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "configuration record")
	}
	_, err = store.PutFunc(ctx, Key, tag, body)
	return next.Version, err
}

func merge(ctx context.Context, store platform.Store, old Record, texts map[string]string, base uint64, request string) (Record, error) {
	next := Record{Version: old.Version + 1, Sections: map[string]string{}, Bases: map[string]uint64{}, Request: request}
	maps.Copy(next.Sections, old.Sections)
	maps.Copy(next.Bases, old.Bases)
	whole := map[string]string{}
	for section, hash := range old.Sections {
		body, err := store.ObjectFunc(ctx, hash)
		if err != nil {
			return next, errors.Wrapf(err, "section %s", section)
		}
		whole[section] = string(body)
	}
	for section, text := range texts {
		if old.Bases[section] > base {
			return next, &ConflictError{Section: section, Base: base, Current: old.Bases[section]}
		}
		whole[section] = text
		next.Sections[section] = Hash([]byte(text))
		next.Bases[section] = next.Version
	}
	if _, err := document.Parse(next.Version, whole); err != nil {
		return next, err
	}
	for section, text := range texts {
		if err := store.KeepFunc(ctx, next.Sections[section], []byte(text)); err != nil {
			return next, err
		}
	}
	return next, nil
}
