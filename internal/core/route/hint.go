// Package route parses the routing hints of a request and finds its route.
package route

import (
	"net/url"
	"strings"
)

// Hint holds the routing hints that a request gives in a sqlcommenter comment, a
// startup parameter or a SET. It is an immutable value.
type Hint struct {
	// Route is the name of the route.
	Route string
	// Session identifies a session that may move between VMs.
	Session string
	// Key is the idempotency key of a request that must not be run twice.
	Key string
	// Parent is the W3C traceparent of the caller.
	Parent string
	// Token is a session floor, the lowest position to read at, that the caller
	// supplies.
	Token string
}

// MaxFieldBytes is the length in bytes above which a field of a hint is ignored.
const MaxFieldBytes = 256

// WithOverrides returns h with the fields that are set in o replaced.
func (h Hint) WithOverrides(o Hint) Hint {
	h.Route = firstNonEmpty(o.Route, h.Route)
	h.Session = firstNonEmpty(o.Session, h.Session)
	h.Key = firstNonEmpty(o.Key, h.Key)
	h.Parent = firstNonEmpty(o.Parent, h.Parent)
	h.Token = firstNonEmpty(o.Token, h.Token)
	return h
}

// WithField returns h with the named field set. It returns h unchanged and false when
// the name is unknown or the value is longer than MaxFieldBytes.
func (h Hint) WithField(name, value string) (Hint, bool) {
	if len(value) > MaxFieldBytes {
		return h, false
	}
	switch name {
	case "route":
		h.Route = value
	case "session":
		h.Session = value
	case "key":
		h.Key = value
	case "traceparent":
		h.Parent = value
	case "token":
		h.Token = value
	default:
		return h, false
	}
	return h, true
}

// Field returns the named field, and false when the name is unknown.
func (h Hint) Field(name string) (string, bool) {
	switch name {
	case "route":
		return h.Route, true
	case "session":
		return h.Session, true
	case "key":
		return h.Key, true
	case "traceparent":
		return h.Parent, true
	case "token":
		return h.Token, true
	}
	return "", false
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// Parse reads the sqlcommenter comments at the start and the end of a statement. A
// field in the latter replaces one in the former. Unknown and malformed fields are
// ignored.
func Parse(sql string) Hint {
	h := Hint{}
	s := strings.TrimSpace(sql)
	if strings.HasPrefix(s, "/*") {
		if body, _, ok := strings.Cut(s[2:], "*/"); ok {
			h = parseFields(h, body)
		}
	}
	s = strings.TrimRight(s, "; \t\r\n")
	if strings.HasSuffix(s, "*/") {
		body := s[:len(s)-2]
		if i := strings.LastIndex(body, "/*"); i >= 0 {
			h = parseFields(h, body[i+2:])
		}
	}
	return h
}

func parseFields(h Hint, body string) Hint {
	for _, field := range strings.Split(body, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
			continue
		}
		decoded, err := url.PathUnescape(value[1 : len(value)-1])
		if err != nil {
			continue
		}
		h, _ = h.WithField(strings.TrimSpace(name), decoded)
	}
	return h
}
