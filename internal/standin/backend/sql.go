package backend

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// result is the answer to one statement. columns is nil if the statement returns no
// rows.
type result struct {
	columns    []string
	rows       [][]string
	commandTag string
}

// sqlError is an error that the client gets, with its SQLSTATE in code.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message }

// statementPattern is one form of statement that the stand-in understands.
type statementPattern struct {
	expression *regexp.Regexp
	// runFunc is called with the group's lock held. args are the texts of the groups of
	// expression, with parameters replaced and string literals unquoted.
	runFunc func(c *session, args []string) (result, error)
	// transactionControl is set for statements that run in an aborted transaction.
	transactionControl bool
	// usesSlot is set for statements that occupy a slot for Options.StatementTime.
	usesSlot bool
}

// parsedStatement is a statement's pattern and the texts that its groups matched.
type parsedStatement struct {
	pattern statementPattern
	args    []string
}

// textCacheSize is the number of texts that each cache holds. Without the caches, the
// stand-in's parsing would hide the cost that the proxy adds.
const textCacheSize = 1024

// lru.New fails only for a size below 1.
var (
	parsedCache, _ = lru.New[string, parsedStatement](textCacheSize)
	splitCache, _  = lru.New[string, []string](textCacheSize)
)

// operandExpression matches a parameter, a string literal or an integer.
const operandExpression = `(\$\d+|'(?:[^']|'')*'|-?\d+)`

func plainPattern(expression string, run func(*session, []string) (result, error)) statementPattern {
	return statementPattern{expression: compileExpression(expression), runFunc: run}
}

func slotPattern(expression string, run func(*session, []string) (result, error)) statementPattern {
	return statementPattern{expression: compileExpression(expression), runFunc: run, usesSlot: true}
}

func transactionPattern(expression string, run func(*session, []string) (result, error)) statementPattern {
	return statementPattern{expression: compileExpression(expression), runFunc: run, transactionControl: true}
}

// compileExpression compiles a pattern in which a space stands for any white space and
// OPERAND for operandExpression. Case is ignored.
func compileExpression(expression string) *regexp.Regexp {
	text := strings.ReplaceAll(expression, " ", `\s+`)
	text = strings.ReplaceAll(text, "OPERAND", operandExpression)
	return regexp.MustCompile(`(?is)^` + text + `$`)
}

// statementPatterns holds every pattern; the first that matches a statement is used.
var statementPatterns []statementPattern

func init() {
	statementPatterns = []statementPattern{
		transactionPattern(`(?:BEGIN|START TRANSACTION)(?: (READ ONLY|READ WRITE))?`, (*session).begin),
		transactionPattern(`(?:COMMIT|END)`, (*session).commit),
		transactionPattern(`(?:ROLLBACK|ABORT)`, (*session).rollback),
		slotPattern(`SELECT (?:v|value) FROM (\w+) WHERE id = OPERAND`, (*session).selectRow),
		slotPattern(`SELECT id, v FROM (\w+)`, (*session).selectRows),
		slotPattern(`SELECT count\(\*\) FROM (\w+)`, (*session).countRows),
		slotPattern(`INSERT INTO (\w+) \(id, v\) VALUES \(OPERAND, OPERAND\)(?: ON CONFLICT \(id\) DO (NOTHING|UPDATE SET v = EXCLUDED\.v))?(?: RETURNING (v))?`, (*session).insertRow),
		slotPattern(`UPDATE (\w+) SET v = (v \+ )?OPERAND WHERE id = OPERAND(?: RETURNING (v))?`, (*session).updateRow),
		slotPattern(`DELETE FROM (\w+) WHERE id = OPERAND`, (*session).deleteRow),
		slotPattern(`SELECT OPERAND`, (*session).selectLiteral),
		plainPattern(`SELECT pg_sleep\(([\d.]+)\)`, (*session).sleep),
		plainPattern(`SELECT current_user`, func(c *session, _ []string) (result, error) { return singleRow("current_user", c.user), nil }),
		plainPattern(`SELECT pg_try_advisory_lock\((-?\d+)\)`, (*session).tryAdvisoryLock),
		plainPattern(`SELECT pg_advisory_unlock_all\(\)`, (*session).unlockAllAdvisory),
		plainPattern(`SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND key = (-?\d+)`, (*session).advisoryLockOwner),
		plainPattern(`SELECT pid FROM pg_locks WHERE locktype = 'advisory' AND classid = 0 AND objid = (\d+) AND objsubid = 1 AND granted`, (*session).advisoryLockOwner),
		plainPattern(`SELECT application_name FROM pg_stat_activity WHERE pid = (\d+)`, (*session).applicationName),
		plainPattern(`SELECT pg_terminate_backend\((\d+)\)`, (*session).terminateBackend),
		plainPattern(`SELECT count\(pg_terminate_backend\(pid\)\) FROM pg_stat_activity WHERE application_name = OPERAND`, (*session).terminateByApplicationName),
		plainPattern(`SET (?:SESSION |LOCAL )?([\w.]+)(?: TO | = |=)OPERAND`, (*session).set),
		plainPattern(`SET SESSION AUTHORIZATION DEFAULT`, tagOnly("SET")),
		plainPattern(`RESET ALL`, (*session).resetAll),
		plainPattern(`RESET ([\w.]+)`, (*session).reset),
		plainPattern(`SHOW ([\w.]+)`, (*session).show),
		plainPattern(`CLOSE ALL`, tagOnly("CLOSE CURSOR ALL")),
		plainPattern(`UNLISTEN \*`, tagOnly("UNLISTEN")),
		plainPattern(`DISCARD ALL`, (*session).discardAll),
		plainPattern(`DISCARD (?:TEMP|PLANS|SEQUENCES)`, tagOnly("DISCARD")),
		plainPattern(`DEALLOCATE (?:PREPARE )?ALL`, (*session).deallocateAll),
		plainPattern(`SELECT \* FROM group_state\(\)`, (*session).groupState),
		plainPattern(`SELECT group_seal\((\d+), OPERAND\)`, (*session).groupSeal),
		plainPattern(`SELECT group_promote\((\d+), OPERAND\)`, (*session).groupPromote),
		plainPattern(`SELECT group_follow\((\d+), OPERAND\)`, (*session).groupFollow),
	}
}

// tagOnly returns a run function that has no effect and answers with the command tag.
func tagOnly(tag string) func(*session, []string) (result, error) {
	return func(*session, []string) (result, error) { return result{commandTag: tag}, nil }
}

func singleRow(column, value string) result {
	return result{columns: []string{column}, rows: [][]string{{value}}, commandTag: "SELECT 1"}
}

// commentExpression matches block comments and whole-line comments.
var commentExpression = regexp.MustCompile(`(?s)/\*.*?\*/|(?m:^\s*--[^\n]*$)`)

// normalize removes comments, surrounding white space and the final semicolon.
func normalize(sql string) string {
	text := strings.TrimSpace(commentExpression.ReplaceAllString(sql, " "))
	return strings.TrimSpace(strings.TrimSuffix(text, ";"))
}

// findPattern returns the pattern of a statement and its arguments, in which
// parameters are not yet resolved. The arguments are cached and must not be changed.
func findPattern(sql string) (statementPattern, []string, error) {
	if f, ok := parsedCache.Get(sql); ok {
		return f.pattern, f.args, nil
	}
	for _, p := range statementPatterns {
		if m := p.expression.FindStringSubmatch(sql); m != nil {
			parsedCache.Add(sql, parsedStatement{pattern: p, args: m[1:]})
			return p, m[1:], nil
		}
	}
	return statementPattern{}, nil, &sqlError{code: "42601", message: "syntax error: the stand-in does not understand " + strconv.Quote(sql)}
}

// resultColumns returns the columns that Describe reports before a statement runs, or
// nil if it returns no rows. A single column is reported as v, whatever its name.
func resultColumns(sql string) []string {
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

// resolveArguments replaces parameters such as $1 by their values and unquotes string
// literals.
func resolveArguments(args []string, parameters []string) ([]string, error) {
	out := make([]string, len(args))
	for i, a := range args {
		v, err := resolveArgument(a, parameters)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

func resolveArgument(a string, parameters []string) (string, error) {
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

// splitStatements splits a simple query at semicolons outside quotes and normalizes the
// statements. It drops empty ones. The result is cached and must not be changed.
func splitStatements(sql string) []string {
	if out, ok := splitCache.Get(sql); ok {
		return out
	}
	out := splitUncached(sql)
	splitCache.Add(sql, out)
	return out
}

func splitUncached(sql string) []string {
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
	nonempty := out[:0]
	for _, s := range out {
		if p := normalize(s); p != "" {
			nonempty = append(nonempty, p)
		}
	}
	return nonempty
}

func parseSeconds(s string) time.Duration {
	f, _ := strconv.ParseFloat(s, 64)
	return time.Duration(f * float64(time.Second))
}
