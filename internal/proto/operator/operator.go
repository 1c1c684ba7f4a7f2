// Package operator is the HTTP face of a VM for operators: its messages and the
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

// Holding is a backend server that the VM holds or wants to hold.
type Holding struct {
	Database string            `json:"database"`
	Held     bool              `json:"held"`
	State    inner.ServerState `json:"state"`
}

// Status is what a VM knows of itself and the others.
type Status struct {
	VM      member.VM `json:"vm"`
	Version uint64    `json:"version"`
	// AcceptedVersion is the highest version below which no VM acts any more.
	AcceptedVersion uint64 `json:"accepted"`
	// Confirmed is set while the VM may act on its version.
	Confirmed  bool        `json:"confirmed"`
	Members    []member.VM `json:"members"`
	Holdings   []Holding   `json:"holdings"`
	Callers    int         `json:"callers"`
	Violations int64       `json:"violations"`
}

// Section is the text of one section of the configuration.
type Section struct {
	Name string `json:"name"`
	// Version is the last one; an edit starts from it. It may not be in force yet.
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Edit replaces sections.
type Edit struct {
	// Sections holds the new texts by name.
	Sections map[string]string `json:"sections"`
	// Version is the one at which they were read; 0 means that they are new.
	Version uint64 `json:"version"`
	// Request is the same when an edit is repeated.
	Request string `json:"request"`
}

// EditResult answers an edit.
type EditResult struct {
	// Version is the one that contains the edit.
	Version uint64 `json:"version"`
}

// HistoryEntry is one version in the history.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	Who     string `json:"who"`
	// When is in UTC.
	When    time.Time `json:"when"`
	Request string    `json:"request"`
	// Sections holds the SHA-256 hash of each text that the version replaced.
	Sections map[string]string `json:"sections"`
}

// History holds versions, the newest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// Problem is the body of an answer that is not 2xx.
type Problem struct {
	Message string `json:"message"`
}

// ResponseError is a refusal of the VM.
type ResponseError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *ResponseError) Error() string { return e.Message }

// maxResponse is the largest answer that is read, in bytes.
const maxResponse = 64 << 20

// Client asks one VM.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// Options makes a client.
type Options struct {
	// BaseURL is the VM's URL for operators.
	BaseURL string
	// Token is the operator's; empty for what is open to all.
	Token string
	// Timeout bounds each request in milliseconds.
	Timeout clock.Millis
	// TLS is nil for the machine's own authorities.
	TLS *tls.Config
}

// NewClient returns a client of one VM.
func NewClient(o Options) *Client {
	t := &http.Transport{TLSClientConfig: o.TLS, DisableKeepAlives: true}
	return &Client{baseURL: strings.TrimRight(o.BaseURL, "/"), token: o.Token, http: &http.Client{Timeout: o.Timeout.Duration(), Transport: t}}
}

// Status asks for the VM's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.call(ctx, http.MethodGet, "/status", nil, &out)
}

// Section asks for the text of a section.
func (c *Client) Section(ctx context.Context, name string) (Section, error) {
	var out Section
	return out, c.call(ctx, http.MethodGet, "/section/"+name, nil, &out)
}

// Apply replaces sections. It can be repeated with the same request.
func (c *Client) Apply(ctx context.Context, e Edit) (EditResult, error) {
	var out EditResult
	return out, c.call(ctx, http.MethodPut, "/sections", e, &out)
}

// History asks for the last versions, at most limit of them.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var out History
	return out, c.call(ctx, http.MethodGet, fmt.Sprintf("/history?limit=%d", limit), nil, &out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
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
