package holder

import (
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// shape classifies the first batch of a transaction by what is certain before
// it runs.
type shape byte

const (
	// shapeOther is a batch about which nothing is certain.
	shapeOther shape = iota
	// shapeIdle is a batch that runs no statement.
	shapeIdle
	// shapeSingle is a batch that is one whole transaction: it begins and ends
	// an implicit one.
	shapeSingle
	// shapeBegin is a batch that opens a transaction and runs nothing else.
	shapeBegin
)

// dataKeywords are the first keywords of statements that cannot open, end or
// outlive a transaction.
var dataKeywords = map[string]bool{
	"SELECT": true, "INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true,
	"WITH": true, "VALUES": true, "TABLE": true, "SHOW": true,
}

// shapeOf classifies the first batch of a transaction. It reads only the first
// keyword of each statement; in doubt it returns shapeOther.
func shapeOf(batch inner.Batch) shape {
	s := shapeScanner{texts: map[string]string{}}
	for _, n := range batch.Statements {
		if m, _ := pgwire.SplitMessage(n.Parse); m != nil {
			s.parse(m)
		}
	}
	rest := batch.Raw
	for {
		var m pgwire.Message
		m, rest = pgwire.SplitMessage(rest)
		if m == nil {
			return s.shape()
		}
		if s.ended || !s.add(m) {
			return shapeOther
		}
	}
}

// shapeScanner collects the statements that a batch executes.
type shapeScanner struct {
	// texts holds the SQL texts of the prepared statements by statement name,
	// portals those of the bound statements by portal name.
	texts    map[string]string
	portals  map[string]string
	executed []string
	// simple is set after a simple query, ended after that or a Sync.
	simple bool
	ended  bool
}

func (s *shapeScanner) parse(m pgwire.Message) {
	name, rest := cutString(m.Body())
	text, _ := cutString(rest)
	s.texts[name] = text
}

// add scans a message and reports false when the batch is shapeOther.
func (s *shapeScanner) add(m pgwire.Message) bool {
	switch m.Type() {
	case 'P': // Parse
		s.parse(m)
	case 'B': // Bind
		return s.bind(m.Body())
	case 'E': // Execute
		portal, _ := cutString(m.Body())
		text, ok := s.portals[portal]
		s.executed = append(s.executed, text)
		return ok
	case 'Q': // Query
		if len(s.executed) > 0 {
			return false
		}
		text, _ := cutString(m.Body())
		s.executed = append(s.executed, strings.TrimRight(text, "; \t\r\n"))
		s.simple, s.ended = true, true
	case 'S': // Sync
		s.ended = true
	case 'D', 'C': // Describe, Close
	default:
		return false
	}
	return true
}

// bind scans a Bind and reports false when its statement is not known.
func (s *shapeScanner) bind(body []byte) bool {
	portal, rest := cutString(body)
	name, _ := cutString(rest)
	text, ok := s.texts[name]
	if s.portals == nil {
		s.portals = map[string]string{}
	}
	s.portals[portal] = text
	return ok
}

func (s *shapeScanner) shape() shape {
	if !s.ended {
		return shapeOther
	}
	if len(s.executed) == 0 {
		return shapeIdle
	}
	for _, text := range s.executed {
		// It may hold several statements, and only the first keyword is read.
		if s.simple && strings.Contains(text, ";") {
			return shapeOther
		}
		word := firstKeyword(text)
		if (word == "BEGIN" || word == "START") && len(s.executed) == 1 {
			return shapeBegin
		}
		if !dataKeywords[word] {
			return shapeOther
		}
	}
	return shapeSingle
}

// firstKeyword returns the first word of a statement in upper case, skipping
// comments. It returns "" when a comment is nested or not terminated.
func firstKeyword(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f\v")
		end := ""
		switch {
		case strings.HasPrefix(text, "--"):
			end = "\n"
		case strings.HasPrefix(text, "/*"):
			end = "*/"
		default:
			return leadingLetters(text)
		}
		inside, after, ok := strings.Cut(text[2:], end)
		if !ok || strings.Contains(inside, "/*") {
			return ""
		}
		text = after
	}
}

// leadingLetters returns the ASCII letters at the start of text in upper case.
func leadingLetters(text string) string {
	i := 0
	for i < len(text) && (text[i] >= 'a' && text[i] <= 'z' || text[i] >= 'A' && text[i] <= 'Z') {
		i++
	}
	return strings.ToUpper(text[:i])
}
