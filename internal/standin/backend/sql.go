package backend

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// result is the answer to one statement.
type result struct {
	columns []string
	rows    [][]string
	tag     string
}

// sqlError is an error of the server with its SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message }

// pattern is one statement that the toy understands.
type pattern struct {
	match *regexp.Regexp
	run   func(c *session, args []string) (result, error)
	// control statements run while a transaction has failed.
	control bool
	// works is set for statements that keep a slot for Options.Work.
	works bool
}

// found is a statement taken apart.
type found struct {
	pattern pattern
	args    []string
}

// cachedTexts is the number of texts that are remembered taken apart, so that
// the stand-in's own work does not hide what the proxy adds to it.
const cachedTexts = 1024

// An error means a size below 1.
var (
	foundTexts, _ = lru.New[string, found](cachedTexts)
	splitTexts, _ = lru.New[string, []string](cachedTexts)
)

const operand = `(\$\d+|'(?:[^']|'')*'|-?\d+)`

func statement(expression string, run func(*session, []string) (result, error)) pattern {
	return pattern{match: compile(expression), run: run}
}

func data(expression string, run func(*session, []string) (result, error)) pattern {
	return pattern{match: compile(expression), run: run, works: true}
}

func control(expression string, run func(*session, []string) (result, error)) pattern {
	return pattern{match: compile(expression), run: run, control: true}
}

func compile(expression string) *regexp.Regexp {
	e := strings.ReplaceAll(expression, " ", `\s+`)
	e = strings.ReplaceAll(e, "OPERAND", operand)
	return regexp.MustCompile(`(?is)^` + e + `$`)
}

var patterns []pattern

func init() {
	patterns = []pattern{
		control(`(?:BEGIN|START TRANSACTION)(?: (READ ONLY|READ WRITE))?`, (*session).begin),
		control(`(?:COMMIT|END)`, (*session).commit),
		control(`(?:ROLLBACK|ABORT)`, (*session).rollback),
		data(`SELECT (?:v|value) FROM (\w+) WHERE id = OPERAND`, (*session).selectRow),
		data(`SELECT id, v FROM (\w+)`, (*session).selectAll),
		data(`SELECT count\(\*\) FROM (\w+)`, (*session).count),
		data(`INSERT INTO (\w+) \(id, v\) VALUES \(OPERAND, OPERAND\)(?: ON CONFLICT \(id\) DO (NOTHING|UPDATE SET v = EXCLUDED\.v))?(?: RETURNING (v))?`, (*session).insert),
		data(`UPDATE (\w+) SET v = (v \+ )?OPERAND WHERE id = OPERAND(?: RETURNING (v))?`, (*session).update),
		data(`DELETE FROM (\w+) WHERE id = OPERAND`, (*session).remove),
		data(`SELECT OPERAND`, (*session).selectLiteral),
		statement(`SELECT pg_sleep\(([\d.]+)\)`, (*session).sleep),
		statement(`SELECT current_user`, func(c *session, _ []string) (result, error) { return one("current_user", c.user), nil }),
		statement(`SELECT pg_try_advisory_lock\((-?\d+)\)`, (*session).advisoryLock),
		statement(`SELECT pg_advisory_unlock_all\(\)`, (*session).advisoryUnlock),
		statement(`SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND key = (-?\d+)`, (*session).advisoryHolder),
		statement(`SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = (\d+) AND objsubid = 1 AND granted`, (*session).advisoryHolder),
		statement(`SELECT application_name FROM pg_stat_activity WHERE pid = (\d+)`, (*session).applicationName),
		statement(`SELECT pg_terminate_backend\((\d+)\)`, (*session).terminate),
		statement(`SELECT count\(pg_terminate_backend\(pid\)\) FROM pg_stat_activity WHERE application_name = OPERAND`, (*session).terminateNamed),
		statement(`SET (?:SESSION |LOCAL )?([\w.]+)(?: TO | = |=)OPERAND`, (*session).set),
		statement(`SET SESSION AUTHORIZATION DEFAULT`, tagOnly("SET")),
		statement(`RESET ALL`, (*session).resetAll),
		statement(`RESET ([\w.]+)`, (*session).reset),
		statement(`SHOW ([\w.]+)`, (*session).show),
		statement(`CLOSE ALL`, tagOnly("CLOSE CURSOR ALL")),
		statement(`UNLISTEN \*`, tagOnly("UNLISTEN")),
		statement(`DISCARD ALL`, (*session).discardAll),
		statement(`DISCARD (?:TEMP|PLANS|SEQUENCES)`, tagOnly("DISCARD")),
		statement(`DEALLOCATE (?:PREPARE )?ALL`, (*session).deallocateAll),
		statement(`SELECT \* FROM group_state\(\)`, (*session).groupState),
		statement(`SELECT group_seal\((\d+), OPERAND\)`, (*session).groupSeal),
		statement(`SELECT group_promote\((\d+), OPERAND\)`, (*session).groupPromote),
		statement(`SELECT group_follow\((\d+), OPERAND\)`, (*session).groupFollow),
	}
}

func tagOnly(tag string) func(*session, []string) (result, error) {
	return func(*session, []string) (result, error) { return result{tag: tag}, nil }
}

func one(column, value string) result {
	return result{columns: []string{column}, rows: [][]string{{value}}, tag: "SELECT 1"}
}

// comment matches block comments, and lines that are a comment as a whole.
var comment = regexp.MustCompile(`(?s)/\*.*?\*/|(?m:^\s*--[^\n]*$)`)

// plain removes comments, outer space and the closing semicolon.
func plain(sql string) string {
	s := strings.TrimSpace(comment.ReplaceAllString(sql, " "))
	return strings.TrimSpace(strings.TrimSuffix(s, ";"))
}

// find returns the pattern of a statement and its arguments before parameters
// are filled in. The arguments are shared and must not be changed.
func find(sql string) (pattern, []string, error) {
	if f, ok := foundTexts.Get(sql); ok {
		return f.pattern, f.args, nil
	}
	for _, p := range patterns {
		if m := p.match.FindStringSubmatch(sql); m != nil {
			foundTexts.Add(sql, found{pattern: p, args: m[1:]})
			return p, m[1:], nil
		}
	}
	return pattern{}, nil, &sqlError{code: "42601", message: "syntax error: the stand-in does not understand " + strconv.Quote(sql)}
}

// columnsOf tells the result columns of a statement before it runs.
func columnsOf(sql string) []string {
	upper := strings.ToUpper(sql)
	switch {
	case strings.HasPrefix(upper, "SELECT ID, V"):
		return []string{"id", "v"}
	case strings.Contains(upper, "GROUP_STATE"):
		return stateColumns
	case strings.HasPrefix(upper, "SELECT"), strings.HasPrefix(upper, "SHOW"), strings.Contains(upper, " RETURNING "):
		return []string{"v"}
	}
	return nil
}

// fill puts parameter values in place of $1 and takes the quotes off literals.
func fill(args []string, parameters []string) ([]string, error) {
	out := make([]string, len(args))
	for i, a := range args {
		v, err := value(a, parameters)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

func value(a string, parameters []string) (string, error) {
	if strings.HasPrefix(a, "$") {
		n, _ := strconv.Atoi(a[1:])
		if n < 1 || n > len(parameters) {
			return "", &sqlError{code: "42P02", message: "there is no parameter " + a}
		}
		return parameters[n-1], nil
	}
	if len(a) >= 2 && a[0] == '\'' {
		return strings.ReplaceAll(a[1:len(a)-1], "''", "'"), nil
	}
	return a, nil
}

// split cuts a simple query at semicolons outside quotes. The result is shared
// and must not be changed.
func split(sql string) []string {
	if out, ok := splitTexts.Get(sql); ok {
		return out
	}
	out := cut(sql)
	splitTexts.Add(sql, out)
	return out
}

func cut(sql string) []string {
	var out []string
	quoted, start := false, 0
	for i := 0; i < len(sql); i++ {
		switch {
		case sql[i] == '\'':
			quoted = !quoted
		case sql[i] == ';' && !quoted:
			out = append(out, sql[start:i])
			start = i + 1
		}
	}
	out = append(out, sql[start:])
	kept := out[:0]
	for _, s := range out {
		if p := plain(s); p != "" {
			kept = append(kept, p)
		}
	}
	return kept
}

func seconds(s string) time.Duration {
	f, _ := strconv.ParseFloat(s, 64)
	return time.Duration(f * float64(time.Second))
}
