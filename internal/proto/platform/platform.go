// Package platform speaks to the platform's table service, object store and
// list of VMs.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// MaxBody is the largest answer that is read, in bytes.
const MaxBody = 16 << 20

// ErrConflict means that the record has another version than the one given.
var ErrConflict = errors.New("the record has been changed by another")

// ErrAbsent means that there is no such record or object.
var ErrAbsent = errors.New("no such record")

// LostError means that a write may or may not have taken effect.
type LostError struct{ Cause error }

// Error implements error.
func (e *LostError) Error() string { return "the platform's answer was lost: " + e.Cause.Error() }

// UnavailableError means that the platform could not be asked.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "the platform is unavailable: " + e.Cause.Error() }

// Record is a versioned entry of the table. An empty tag means that it does not exist.
type Record struct {
	Body []byte
	Tag  string
}

// Store is the platform as the program sees it; its fields are the seams.
type Store struct {
	// GetFunc reads a record. It returns ErrAbsent when there is none.
	GetFunc func(ctx context.Context, key string) (Record, error)
	// PutFunc writes a record if it still has the given tag; an empty tag
	// creates it. It returns the new tag, ErrConflict or *LostError.
	PutFunc func(ctx context.Context, key, tag string, body []byte) (string, error)
	// ObjectFunc reads an object.
	ObjectFunc func(ctx context.Context, name string) ([]byte, error)
	// KeepFunc writes an object.
	KeepFunc func(ctx context.Context, name string, body []byte) error
	// ListFunc returns the list of VMs, which lags.
	ListFunc func(ctx context.Context) ([]member.VM, error)
}

type client struct {
	base    string
	timeout clock.Millis
	http    *http.Client
	// known holds the last records read, so that a record which has not changed
	// is not sent again.
	known *lru.Cache[string, Record]
}

// maxKnown is the number of records that a client remembers.
const maxKnown = 64

// Dial returns a store at a URL; no request is made yet. The timeout in
// milliseconds holds for each request.
func Dial(base string, timeout clock.Millis) Store {
	known, _ := lru.New[string, Record](maxKnown)
	c := &client{known: known, base: strings.TrimRight(base, "/"), timeout: timeout, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return Store{GetFunc: c.get, PutFunc: c.put, ObjectFunc: c.object, KeepFunc: c.keep, ListFunc: c.list}
}

func (c *client) do(ctx context.Context, method, path string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	defer answer.Body.Close() //nolint:errcheck // read-only
	text, err := io.ReadAll(io.LimitReader(answer.Body, MaxBody))
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	return answer.StatusCode, answer.Header, text, nil
}

func statusError(status int, text []byte) error {
	line, _, _ := strings.Cut(string(text), "\n")
	return &UnavailableError{Cause: fmt.Errorf("status %d: %s", status, line)}
}

func (c *client) get(ctx context.Context, key string) (Record, error) {
	known, had := c.known.Get(key)
	condition := http.Header{}
	if had {
		condition.Set("If-None-Match", known.Tag)
	}
	status, header, body, err := c.do(ctx, http.MethodGet, "/table/"+key, nil, condition)
	switch {
	case err != nil:
		return Record{}, err
	case status == http.StatusNotModified && had:
		return known, nil
	case status == http.StatusNotFound:
		return Record{}, ErrAbsent
	case status != http.StatusOK:
		return Record{}, statusError(status, body)
	}
	r := Record{Body: body, Tag: header.Get("ETag")}
	if r.Tag != "" {
		c.known.Add(key, r)
	}
	return r, nil
}

func (c *client) put(ctx context.Context, key, tag string, body []byte) (string, error) {
	header := http.Header{"If-Match": {tag}}
	if tag == "" {
		header = http.Header{"If-None-Match": {"*"}}
	}
	status, answer, text, err := c.do(ctx, http.MethodPut, "/table/"+key, body, header)
	switch {
	case err != nil:
		return "", &LostError{Cause: err}
	case status == http.StatusPreconditionFailed:
		return "", ErrConflict
	case status/100 == 5:
		return "", &LostError{Cause: statusError(status, text)}
	case status/100 != 2:
		return "", statusError(status, text)
	}
	return answer.Get("ETag"), nil
}

func (c *client) object(ctx context.Context, name string) ([]byte, error) {
	status, _, body, err := c.do(ctx, http.MethodGet, "/object/"+name, nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrAbsent
	case status != http.StatusOK:
		return nil, statusError(status, body)
	}
	return body, nil
}

func (c *client) keep(ctx context.Context, name string, body []byte) error {
	status, _, text, err := c.do(ctx, http.MethodPut, "/object/"+name, body, nil)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return statusError(status, text)
	}
	return nil
}

func (c *client) list(ctx context.Context) ([]member.VM, error) {
	status, _, body, err := c.do(ctx, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, statusError(status, body)
	}
	var out []member.VM
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return out, nil
}
