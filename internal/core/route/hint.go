// Package route reads what a request says about itself and finds its route.
package route

import (
	"net/url"
	"strings"
)

// Hint is what a request says about itself in a sqlcommenter comment, a startup
// parameter or a SET.
type Hint struct {
	// Route names the route.
	Route string
	// Session names a session that may roam between VMs.
	Session string
	// Key is the idempotency key of a request that must not be repeated.
	Key string
	// Parent is the W3C traceparent of the caller.
	Parent string
	// Token is a floor that the caller brings along.
	Token string
}

// MaxFieldBytes is the length in bytes beyond which a field of a hint is ignored.
const MaxFieldBytes = 256

// WithOverrides returns h with the fields that o sets.
func (h Hint) WithOverrides(o Hint) Hint {
	h.Route = firstNonEmpty(o.Route, h.Route)
	h.Session = firstNonEmpty(o.Session, h.Session)
	h.Key = firstNonEmpty(o.Key, h.Key)
	h.Parent = firstNonEmpty(o.Parent, h.Parent)
	h.Token = firstNonEmpty(o.Token, h.Token)
	return h
}

// WithField returns h with one named field set, and whether the name is known.
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

// Field returns one named field, and whether the name is known.
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

// Parse reads the sqlcommenter comment at the start or the end of a statement.
// Fields it does not know are left alone.
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
		plain, err := url.PathUnescape(value[1 : len(value)-1])
		if err != nil {
			continue
		}
		h, _ = h.WithField(strings.TrimSpace(name), plain)
	}
	return h
}
