// Package operator is the HTTP face of a VM for operators: its messages and the
// client that sycamorectl uses.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Holding is a backend server that the VM holds or wants to hold.
type Holding struct {
	Database string      `json:"database"`
	Held     bool        `json:"held"`
	State    inner.State `json:"state"`
}

// Status is what a VM knows of itself and the others.
type Status struct {
	VM         member.VM   `json:"vm"`
	Version    uint64      `json:"version"`
	Members    []member.VM `json:"members"`
	Holdings   []Holding   `json:"holdings"`
	Callers    int         `json:"callers"`
	Violations int64       `json:"violations"`
}

// Section is the text of one section of the configuration.
type Section struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	// Request is the same when an edit is repeated.
	Request string `json:"request,omitempty"`
}

// Problem is the body of an answer that is not 2xx.
type Problem struct {
	Message string `json:"message"`
}

// AnswerError is a refusal of the VM.
type AnswerError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *AnswerError) Error() string { return e.Message }

// maxAnswer is the largest answer that is read, in bytes.
const maxAnswer = 64 << 20

// Client asks one VM.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the VM at a URL. The timeout is in milliseconds.
func NewClient(base string, timeout clock.Millis) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{Timeout: timeout.Duration()}}
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

// Apply replaces the text of a section that was read at s.Version.
func (c *Client) Apply(ctx context.Context, s Section) (Section, error) {
	var out Section
	return out, c.call(ctx, http.MethodPut, "/section/"+s.Name, s, &out)
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
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("VM at %s did not answer: %w", c.base, err)
	}
	defer answer.Body.Close() //nolint:errcheck // read-only
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return err
	}
	if answer.StatusCode/100 != 2 {
		var p Problem
		if json.Unmarshal(text, &p) != nil || p.Message == "" {
			p.Message = answer.Status
		}
		return &AnswerError{Status: answer.StatusCode, Message: p.Message}
	}
	return json.Unmarshal(text, out)
}
