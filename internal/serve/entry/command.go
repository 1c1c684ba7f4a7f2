package entry

import (
	"regexp"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
)

// settingPrefix begins the names of settings that the proxy handles itself.
const settingPrefix = "sycamoredoor."

// maxCommandLength is the length in bytes beyond which a statement on a setting
// of the proxy is refused.
const maxCommandLength = 2048

// verb is the kind of a command.
type verb int

const (
	// verbSet sets a setting, or resets it when the value is empty.
	verbSet verb = iota
	verbShow
	// verbRefuse is a statement on a setting that the proxy refuses, such as SET
	// LOCAL, or one in a text with other statements.
	verbRefuse
)

// command is a statement on a setting of the proxy, which the proxy runs
// itself.
type command struct {
	verb verb
	// field is the name of the setting in lower case, without settingPrefix.
	field string
	value string
}

// spacesAndComments matches any number of spaces and SQL comments.
const spacesAndComments = `(?:\s|/\*.*?\*/|--[^\n]*\n)*`

var (
	// setPattern, resetPattern and showPattern match a lone statement on a
	// setting of the proxy. anySettingPattern finds one anywhere in a text.
	setPattern        = regexp.MustCompile(`(?is)^` + spacesAndComments + `SET\s+(SESSION\s+|LOCAL\s+)?sycamoredoor\.(\w+)\s*(?:=|\sTO\s)\s*('(?:[^']|'')*'|[\w.-]+)\s*;?` + spacesAndComments + `$`)
	resetPattern      = regexp.MustCompile(`(?is)^` + spacesAndComments + `RESET\s+sycamoredoor\.(\w+)\s*;?` + spacesAndComments + `$`)
	showPattern       = regexp.MustCompile(`(?is)^` + spacesAndComments + `SHOW\s+sycamoredoor\.(\w+)\s*;?` + spacesAndComments + `$`)
	anySettingPattern = regexp.MustCompile(`(?is)(?:^|;)` + spacesAndComments + `(?:SET\s+(?:SESSION\s+|LOCAL\s+)?|RESET\s+|SHOW\s+)sycamoredoor\.`)
	// beginPattern finds a statement that may open a transaction block.
	beginPattern = regexp.MustCompile(`(?is)(?:^|;)` + spacesAndComments + `(?:BEGIN|START\s+TRANSACTION)\b`)
	// endPattern matches a lone statement that ends a transaction block. It does
	// not match one with AND CHAIN, which begins the next block.
	endPattern = regexp.MustCompile(`(?is)^` + spacesAndComments + `(?:COMMIT|END|ROLLBACK|ABORT)(?:\s+(?:WORK|TRANSACTION))?(?:\s+AND\s+NO\s+CHAIN)?\s*;?` + spacesAndComments + `$`)
)

// parseCommand returns the command of a statement that the proxy runs itself, or
// nil when the statement is for a backend server.
func parseCommand(sql string) *command {
	if !strings.Contains(strings.ToLower(sql), settingPrefix) {
		return nil
	}
	if len(sql) <= maxCommandLength {
		if m := setPattern.FindStringSubmatch(sql); m != nil {
			return setCommand(m[1], m[2], m[3])
		}
		if m := resetPattern.FindStringSubmatch(sql); m != nil {
			return &command{verb: verbSet, field: strings.ToLower(m[1])}
		}
		if m := showPattern.FindStringSubmatch(sql); m != nil {
			return &command{verb: verbShow, field: strings.ToLower(m[1])}
		}
	}
	if anySettingPattern.MatchString(sql) {
		return &command{verb: verbRefuse}
	}
	return nil
}

// setCommand returns the command of a SET. It refuses SET LOCAL, since settings
// are set for the whole session.
func setCommand(scope, field, value string) *command {
	if strings.EqualFold(strings.TrimSpace(scope), "LOCAL") {
		return &command{verb: verbRefuse}
	}
	switch {
	case value[0] == '\'':
		value = strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	case strings.EqualFold(value, "DEFAULT"):
		value = ""
	}
	return &command{verb: verbSet, field: strings.ToLower(field), value: value}
}

// column returns the name of the result column, or "" when there is no result.
func (c *command) column() string {
	if c == nil || c.verb != verbShow {
		return ""
	}
	return settingPrefix + c.field
}

// runCommand runs a command and returns the value of its result column, if any,
// and its command tag.
func (s *session) runCommand(c *command) (value, tag string, err error) {
	switch c.verb {
	case verbSet:
		return "", "SET", s.setHint(c.field, c.value)
	case verbShow:
		value, err = s.showHint(c.field)
		return value, "SHOW", err
	}
	return "", "", outcome.Refuse(outcome.ReasonInvalidRequest, outcome.CodeUnsupported,
		"settings of the proxy are set alone, by SET %sname = 'value', for the whole session", settingPrefix)
}

// showHint returns the value of a setting of the session. The value of the token
// is the session's current floor, if it has one. The error is a refusal.
func (s *session) showHint(field string) (string, error) {
	if field == "token" && !s.floor.IsZero() {
		return formatToken(s.database, s.floor), nil
	}
	value, ok := s.hint.Field(field)
	if !ok {
		return "", outcome.Refuse(outcome.ReasonInvalidRequest, codeNoParameter, "unrecognized configuration parameter %q", settingPrefix+field)
	}
	return value, nil
}

// codeNoParameter is undefined_object.
const codeNoParameter = "42704"
