// Package operator is the HTTP interface of a VM for operators: its messages and the
// client that sycamorectl uses.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Holding is a backend server that the VM holds or is about to hold.
type Holding struct {
	Database string            `json:"database"`
	Held     bool              `json:"held"`
	State    inner.ServerState `json:"state"`
}

// Status is what a VM reports about itself and the other VMs.
type Status struct {
	VM member.VM `json:"vm"`
	// Version is the version of the configuration that the VM has, or 0.
	Version uint64 `json:"version"`
	// AcceptedVersion is the highest version of the configuration for which it is
	// known that no VM acts on a lower one any more.
	AcceptedVersion uint64 `json:"accepted"`
	// Confirmed is set while the VM may act on its version of the configuration.
	Confirmed bool        `json:"confirmed"`
	Members   []member.VM `json:"members"`
	Holdings  []Holding   `json:"holdings"`
	Callers   int         `json:"callers"`
	// Violations is the number of invariant violations since the VM started.
	Violations int64 `json:"violations"`
}

// Section is the text of one section of the configuration.
type Section struct {
	Name string `json:"name"`
	// Version is the last version of the configuration, which may not be in force
	// yet. An edit of Text must name it.
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Edit is a request to replace sections of the configuration.
type Edit struct {
	// Sections holds the new texts by section name.
	Sections map[string]string `json:"sections"`
	// Version is the version at which the sections were read; 0 means that they
	// must be new.
	Version uint64 `json:"version"`
	// RequestID is the idempotency key: a repeated edit carries the same.
	RequestID string `json:"request"`
}

// EditResult answers an Edit.
type EditResult struct {
	// Version is the version that contains the edit.
	Version uint64 `json:"version"`
}

// HistoryEntry is one version in the history of the configuration.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	// Operator is the name of the operator who made the version.
	Operator string `json:"who"`
	// Time is the time of the edit in UTC.
	Time      time.Time `json:"when"`
	RequestID string    `json:"request"`
	// Sections holds the SHA-256 hash of the new text of each section that the
	// version replaced, by section name.
	Sections map[string]string `json:"sections"`
}

// History holds versions of the configuration, the newest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// Problem is the body of a response with a status other than 2xx.
type Problem struct {
	Message string `json:"message"`
}

// ResponseError is a response with a status other than 2xx.
type ResponseError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Message }

// maxResponse is the largest number of bytes of a response body that are read.
const maxResponse = 64 << 20

// Client is the client of one VM's interface for operators. Its methods return a
// status other than 2xx as *ResponseError.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// Options configures a client.
type Options struct {
	// BaseURL is the VM's URL for operators.
	BaseURL string
	// Token is the operator's bearer token. It may be empty for requests that
	// need no authentication.
	Token string
	// Timeout bounds each request in milliseconds.
	Timeout clock.Millis
	// TLS is nil to trust the certificate authorities of the system.
	TLS *tls.Config
}

// NewClient returns a client of one VM.
func NewClient(o Options) *Client {
	t := &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true}
	return &Client{baseURL: strings.TrimRight(o.BaseURL, "/"), token: o.Token, http: &http.Client{Timeout: o.Timeout.Duration(), Transport: t}}
}

// Status returns the VM's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, "/status", nil, &out)
}

// Section returns a section of the configuration.
func (c *Client) Section(ctx context.Context, name string) (Section, error) {
	var out Section
	return out, c.call(ctx, http.MethodGet, "/section/"+name, nil, &out)
}

// Apply replaces sections. It is idempotent for the same Edit.RequestID.
func (c *Client) Apply(ctx context.Context, e Edit) (EditResult, error) {
	var out EditResult
	return out, c.call(ctx, http.MethodPut, "/sections", e, &out)
}

// History returns the last versions, at most limit of them.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var out History
	return out, c.call(ctx, http.MethodGet, fmt.Sprintf("/history?limit=%d", limit), nil, &out)
}

// call sends in as JSON, unless it is nil, and decodes the response into out. A status
// other than 2xx is returned as *ResponseError.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("VM at %s did not answer: %w", c.baseURL, err)
	}
	defer response.Body.Close() //nolint:errcheck // read-only
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		var p Problem
		if json.Unmarshal(text, &p) != nil || p.Message == "" {
			p.Message = response.Status
		}
		return &ResponseError{Status: response.StatusCode, Message: p.Message}
	}
	return json.Unmarshal(text, out)
}
