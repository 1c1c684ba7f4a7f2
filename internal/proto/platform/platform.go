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

// MaxResponse is the largest answer that is read, in bytes.
const MaxResponse = 16 << 20

// ErrConflict means that the record has another version than the one given.
var ErrConflict = errors.New("the record has been changed by another")

// ErrNotFound means that there is no such record or object.
var ErrNotFound = errors.New("no such record")

// UnknownOutcomeError means that a write may or may not have taken effect.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "the platform's answer was lost: " + e.Cause.Error()
}

// UnavailableError means that the platform could not be asked.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "the platform is unavailable: " + e.Cause.Error() }

// Record is a versioned entry of the table. An empty tag means that it does not exist.
type Record struct {
	Body []byte
	ETag string
}

// Store is the platform as the program sees it; its fields are the seams.
type Store struct {
	// GetRecordFunc reads a record. It returns ErrAbsent when there is none.
	GetRecordFunc func(ctx context.Context, key string) (Record, error)
	// PutRecordFunc writes a record if it still has the given tag; an empty tag
	// creates it. It returns the new tag, ErrConflict or *LostError.
	PutRecordFunc func(ctx context.Context, key, tag string, body []byte) (string, error)
	// GetObjectFunc reads an object.
	GetObjectFunc func(ctx context.Context, name string) ([]byte, error)
	// PutObjectFunc writes an object.
	PutObjectFunc func(ctx context.Context, name string, body []byte) error
	// ListVMsFunc returns the list of VMs, which lags.
	ListVMsFunc func(ctx context.Context) ([]member.VM, error)
}

type client struct {
	baseURL string
	timeout clock.Millis
	http    *http.Client
	// records holds the last records read, so that a record which has not changed
	// is not sent again.
	records *lru.Cache[string, Record]
}

// maxCachedRecords is the number of records that a client remembers.
const maxCachedRecords = 64

// NewStore returns a store at a URL; no request is made yet. The timeout in
// milliseconds holds for each request.
func NewStore(baseURL string, timeout clock.Millis) Store {
	records, _ := lru.New[string, Record](maxCachedRecords)
	c := &client{records: records, baseURL: strings.TrimRight(baseURL, "/"), timeout: timeout, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return Store{GetRecordFunc: c.getRecord, PutRecordFunc: c.putRecord, GetObjectFunc: c.getObject, PutObjectFunc: c.putObject, ListVMsFunc: c.listVMs}
}

func (c *client) do(ctx context.Context, method, path string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	for k, v := range header {
		r.Header[k] = v
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	defer response.Body.Close() //nolint:errcheck // read-only
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxResponse))
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	return response.StatusCode, response.Header, text, nil
}

func statusError(status int, text []byte) error {
	line, _, _ := strings.Cut(string(text), "\n")
	return &UnavailableError{Cause: fmt.Errorf("status %d: %s", status, line)}
}

func (c *client) getRecord(ctx context.Context, key string) (Record, error) {
	cached, isCached := c.records.Get(key)
	requestHeader := http.Header{}
	if isCached {
		requestHeader.Set("If-None-Match", cached.ETag)
	}
	status, header, body, err := c.do(ctx, http.MethodGet, "/table/"+key, nil, requestHeader)
	switch {
	case err != nil:
		return Record{}, err
	case status == http.StatusNotModified && isCached:
		return cached, nil
	case status == http.StatusNotFound:
		return Record{}, ErrNotFound
	case status != http.StatusOK:
		return Record{}, statusError(status, body)
	}
	r := Record{Body: body, ETag: header.Get("ETag")}
	if r.ETag != "" {
		c.records.Add(key, r)
	}
	return r, nil
}

func (c *client) putRecord(ctx context.Context, key, etag string, body []byte) (string, error) {
	header := http.Header{"If-Match": {etag}}
	if etag == "" {
		header = http.Header{"If-None-Match": {"*"}}
	}
	status, responseHeader, text, err := c.do(ctx, http.MethodPut, "/table/"+key, body, header)
	switch {
	case err != nil:
		return "", &UnknownOutcomeError{Cause: err}
	case status == http.StatusPreconditionFailed:
		return "", ErrConflict
	case status/100 == 5:
		return "", &UnknownOutcomeError{Cause: statusError(status, text)}
	case status/100 != 2:
		return "", statusError(status, text)
	}
	return responseHeader.Get("ETag"), nil
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	status, _, body, err := c.do(ctx, http.MethodGet, "/object/"+name, nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, statusError(status, body)
	}
	return body, nil
}

func (c *client) putObject(ctx context.Context, name string, body []byte) error {
	status, _, text, err := c.do(ctx, http.MethodPut, "/object/"+name, body, nil)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return statusError(status, text)
	}
	return nil
}

func (c *client) listVMs(ctx context.Context) ([]member.VM, error) {
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
