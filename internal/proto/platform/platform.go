// Package platform is the client of the platform's table service, object store and
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

// MaxResponse is the largest number of bytes of a response body that are read. The rest
// is ignored.
const MaxResponse = 16 << 20

// ErrConflict means that the record does not have the given ETag, or exists already.
var ErrConflict = errors.New("the record has been changed by another")

// ErrNotFound means that the record or object does not exist.
var ErrNotFound = errors.New("no such record")

// UnknownOutcomeError means that a write may or may not have taken effect, because no
// complete response came or its status was 5xx.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "the platform's answer was lost: " + e.Cause.Error()
}

// UnavailableError means that the platform did not answer, or not as expected.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return "the platform is unavailable: " + e.Cause.Error() }

// Record is an entry of the table. Its ETag changes with each write; an empty one means
// that the record does not exist.
type Record struct {
	Body []byte
	ETag string
}

// Store is the interface to the platform. Tests replace its function fields. Unless
// noted otherwise an error is *UnavailableError.
type Store struct {
	// GetRecordFunc reads a record. It returns ErrNotFound when there is none.
	GetRecordFunc func(ctx context.Context, key string) (Record, error)
	// PutRecordFunc writes a record if it still has the given ETag; an empty one
	// creates the record. It returns the new ETag. An error is ErrConflict,
	// *UnknownOutcomeError, or *UnavailableError when the platform refused the write.
	PutRecordFunc func(ctx context.Context, key, etag string, body []byte) (string, error)
	// GetObjectFunc reads an object. It returns ErrNotFound when there is none.
	GetObjectFunc func(ctx context.Context, name string) ([]byte, error)
	// PutObjectFunc writes an object.
	PutObjectFunc func(ctx context.Context, name string, body []byte) error
	// ListVMsFunc returns the list of VMs, which lags behind their starts and
	// stops.
	ListVMsFunc func(ctx context.Context) ([]member.VM, error)
}

type client struct {
	baseURL string
	timeout clock.Millis
	http    *http.Client
	// records caches the last records read, so that the platform does not send an
	// unchanged record again.
	records *lru.Cache[string, Record]
}

// maxCachedRecords is the number of records that a client caches.
const maxCachedRecords = 64

// NewStore returns a store at a URL; it sends no request yet. The timeout, in
// milliseconds, applies to each request.
func NewStore(baseURL string, timeout clock.Millis) Store {
	records, _ := lru.New[string, Record](maxCachedRecords)
	c := &client{records: records, baseURL: strings.TrimRight(baseURL, "/"), timeout: timeout, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return Store{GetRecordFunc: c.getRecord, PutRecordFunc: c.putRecord, GetObjectFunc: c.getObject, PutObjectFunc: c.putObject, ListVMsFunc: c.listVMs}
}

// do sends a request and returns the status, header and body of the response. An error
// is *UnavailableError.
func (c *client) do(ctx context.Context, method, path string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, &UnavailableError{Cause: err}
	}
	for k, v := range header {
		request.Header[k] = v
	}
	response, err := c.http.Do(request)
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

// statusError returns the error for an unexpected status, with the first line of the
// body.
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
	record := Record{Body: body, ETag: header.Get("ETag")}
	if record.ETag != "" {
		c.records.Add(key, record)
	}
	return record, nil
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
