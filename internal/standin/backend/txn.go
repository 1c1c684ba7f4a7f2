package backend

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// transaction is the open transaction of a session. It is explicit after BEGIN; an
// implicit one ends with the simple query or at Sync. writes are not visible to other
// sessions before the commit.
type transaction struct {
	explicit bool
	aborted  bool
	readOnly bool
	writes   []write
}

var (
	errReadOnly   = &sqlError{code: "25006", message: "cannot execute a write in a read-only transaction"}
	errAborted    = &sqlError{code: "25P02", message: "current transaction is aborted, commands ignored until end of transaction block"}
	errTerminated = &sqlError{code: "57P01", message: "terminating connection due to administrator command"}
	errCanceled   = &sqlError{code: "57014", message: "canceling statement due to user request"}
)

func (c *session) begin(args []string) (result, error) {
	if c.txn == nil {
		c.txn = &transaction{readOnly: c.readOnlyDefault()}
	}
	c.txn.explicit = true
	if args[0] != "" {
		c.txn.readOnly = strings.EqualFold(strings.Join(strings.Fields(args[0]), " "), "READ ONLY")
	}
	return result{commandTag: "BEGIN"}, nil
}

// readOnlyDefault reports whether new transactions are read-only: always on a server
// that is not the primary, else by the setting default_transaction_read_only.
func (c *session) readOnlyDefault() bool {
	return c.server.role != rolePrimary || c.settings["default_transaction_read_only"] == "on"
}

func (c *session) commit([]string) (result, error) {
	t := c.txn
	if t == nil {
		return result{commandTag: "COMMIT"}, nil
	}
	if t.aborted {
		c.endTransaction()
		return result{commandTag: "ROLLBACK"}, nil
	}
	if err := c.commitTransaction(); err != nil {
		return result{}, err
	}
	return result{commandTag: "COMMIT"}, nil
}

func (c *session) rollback([]string) (result, error) {
	c.endTransaction()
	return result{commandTag: "ROLLBACK"}, nil
}

// commitTransaction commits the open transaction and waits until a majority of the
// group has it. If the session is terminated or the server stops being the primary of
// the term while it waits, it ends the connection and returns errTerminated; the writes
// may still be committed later. It returns errReadOnly at once for writes on a server
// that is not the primary. The caller holds the group's lock.
func (c *session) commitTransaction() error {
	t := c.txn
	if len(t.writes) == 0 {
		c.endTransaction()
		return nil
	}
	if c.server.role != rolePrimary {
		c.endTransaction()
		return errReadOnly
	}
	term := c.server.term
	r := c.server.appendRecord(t.writes)
	// Replicates at once, so that the commit need not wait for the next round.
	c.group().replicate()
	for !r.committed {
		if c.terminated || c.server.role != rolePrimary || c.server.term != term {
			c.endTransaction()
			c.terminateSession()
			return errTerminated
		}
		c.group().changed.Wait()
	}
	c.group().replicate()
	c.endTransaction()
	return nil
}

// endTransaction closes the open transaction and releases its row locks. Writes that
// were not appended to the log are lost. The caller holds the group's lock.
func (c *session) endTransaction() {
	c.txn = nil
	for k, owner := range c.server.rowLocks {
		if owner == c {
			delete(c.server.rowLocks, k)
		}
	}
	c.group().changed.Broadcast()
}

// lockRow locks a row for the session's transaction, waiting while another session
// holds the lock. Its errors are errReadOnly and those of waitForChange.
func (c *session) lockRow(table, id string) error {
	if c.txn.readOnly {
		return errReadOnly
	}
	k := [2]string{table, id}
	for c.server.rowLocks[k] != nil && c.server.rowLocks[k] != c {
		if err := c.waitForChange(); err != nil {
			return err
		}
	}
	c.server.rowLocks[k] = c
	return nil
}

// waitForChange waits for the next broadcast of the group, which comes at least every
// replicationInterval. It returns errTerminated or errCanceled if the session was
// terminated or its statement canceled.
func (c *session) waitForChange() error {
	c.group().changed.Wait()
	if c.terminated {
		return errTerminated
	}
	if c.cancelRequested {
		c.cancelRequested = false
		return errCanceled
	}
	return nil
}

// readRow returns a row as the transaction sees it, its own writes included.
func (c *session) readRow(table, id string) (string, bool) {
	for _, w := range slices.Backward(c.txn.writes) {
		if w.table == table && w.id == id {
			return w.value, !w.deleted
		}
	}
	v, ok := c.server.rows[table][id]
	return v, ok
}

func (c *session) selectRow(args []string) (result, error) {
	v, ok := c.readRow(args[0], args[1])
	if !ok {
		return result{columns: []string{"v"}, commandTag: "SELECT 0"}, nil
	}
	return singleRow("v", v), nil
}

// selectRows returns the applied rows of a table in the order of their ids, without the
// transaction's own writes.
func (c *session) selectRows(args []string) (result, error) {
	out := result{columns: []string{"id", "v"}}
	for id, v := range c.server.rows[args[0]] {
		out.rows = append(out.rows, []string{id, v})
	}
	sort.Slice(out.rows, func(i, j int) bool { return out.rows[i][0] < out.rows[j][0] })
	out.commandTag = "SELECT " + strconv.Itoa(len(out.rows))
	return out, nil
}

// countRows counts the applied rows of a table, without the transaction's own writes.
func (c *session) countRows(args []string) (result, error) {
	return singleRow("count", strconv.Itoa(len(c.server.rows[args[0]]))), nil
}

// insertRow inserts a row. If the id exists, ON CONFLICT DO NOTHING leaves the row, DO
// UPDATE replaces its value, and a statement without either fails.
func (c *session) insertRow(args []string) (result, error) {
	table, id, v, conflict, returning := args[0], args[1], args[2], strings.ToUpper(args[3]), args[4]
	if err := c.lockRow(table, id); err != nil {
		return result{}, err
	}
	if _, exists := c.readRow(table, id); exists {
		switch {
		case conflict == "NOTHING":
			return result{commandTag: "INSERT 0 0"}, nil
		case conflict == "":
			return result{}, &sqlError{code: "23505", message: "duplicate key value violates unique constraint of " + table}
		}
	}
	c.txn.writes = append(c.txn.writes, write{table: table, id: id, value: v})
	return writeResult("INSERT 0 1", returning, v), nil
}

// writeResult returns the answer to a write, with the value if the statement has a
// RETURNING clause.
func writeResult(tag, returning, v string) result {
	out := result{commandTag: tag}
	if returning != "" {
		out.columns, out.rows = []string{"v"}, [][]string{{v}}
	}
	return out
}

// updateRow sets v, or adds to it for SET v = v + operand.
func (c *session) updateRow(args []string) (result, error) {
	table, addition, v, id, returning := args[0], args[1], args[2], args[3], args[4]
	if err := c.lockRow(table, id); err != nil {
		return result{}, err
	}
	old, exists := c.readRow(table, id)
	if !exists {
		return result{commandTag: "UPDATE 0"}, nil
	}
	if addition != "" {
		a, _ := strconv.Atoi(old)
		b, _ := strconv.Atoi(v)
		v = strconv.Itoa(a + b)
	}
	c.txn.writes = append(c.txn.writes, write{table: table, id: id, value: v})
	return writeResult("UPDATE 1", returning, v), nil
}

func (c *session) deleteRow(args []string) (result, error) {
	if err := c.lockRow(args[0], args[1]); err != nil {
		return result{}, err
	}
	if _, exists := c.readRow(args[0], args[1]); !exists {
		return result{commandTag: "DELETE 0"}, nil
	}
	c.txn.writes = append(c.txn.writes, write{table: args[0], id: args[1], deleted: true})
	return result{commandTag: "DELETE 1"}, nil
}

func (c *session) selectLiteral(args []string) (result, error) { return singleRow("v", args[0]), nil }

func (c *session) sleep(args []string) (result, error) {
	until := time.Now().Add(parseSeconds(args[0]))
	for time.Now().Before(until) {
		if err := c.waitForChange(); err != nil {
			return result{}, err
		}
	}
	return singleRow("pg_sleep", ""), nil
}
