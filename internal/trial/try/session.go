package try

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// thinkTime is the mean pause of a caller between two requests, in milliseconds.
const thinkTime = 60 * clock.Millis(1)

// runSession runs one caller in a named session, with each request to a random VM. No
// other session writes its row, so its own writes determine what it may read.
func (t *trial) runSession(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(number)))
	c := newCaller(t, sessionAccount, "member-"+strconv.Itoa(number))
	defer c.close()
	row := oracle.Row{}
	for n := 0; t.clock.Sleep(ctx, clock.Millis(random.Int64N(2*int64(thinkTime)))) == nil; n++ {
		conn, err := c.connection(ctx, t.system.VMs[random.IntN(len(t.system.VMs))])
		if err != nil {
			t.recordRefusal(ctx, err)
			continue
		}
		if row.LastValue == "" || random.IntN(10) == 0 {
			row = t.write(ctx, conn, c.name, fmt.Sprintf("%d-%d", number, n), row)
			continue
		}
		row = t.read(ctx, conn, c.name, row)
	}
}

// caller is the client of a named session, with a connection to each VM that it has
// used.
type caller struct {
	trial   *trial
	account system.Account
	name    string
	conns   map[string]*pgx.Conn
}

func newCaller(t *trial, a system.Account, name string) *caller {
	return &caller{trial: t, account: a, name: name, conns: map[string]*pgx.Conn{}}
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close(context.Background())
	}
}

// connection returns the caller's connection to a VM, and opens one if there is none.
func (c *caller) connection(ctx context.Context, v *vm.VM) (*pgx.Conn, error) {
	name := v.Self().Name
	if conn := c.conns[name]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := pgx.ParseConfig(c.trial.system.DSN(v, c.account.Name, c.account.Key, database))
	if err != nil {
		return nil, err
	}
	config.RuntimeParams["sycamoredoor.session"] = c.name
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		c.conns[name] = conn
	}
	return conn, err
}

// write writes v to the row called id and returns the values that may be read from it
// after that.
func (t *trial) write(ctx context.Context, c *pgx.Conn, id, v string, row oracle.Row) oracle.Row {
	_, err := c.Exec(ctx, "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/", id, v)
	if oracle.IsUnknownOutcome(err) {
		t.unknownOutcomes.Add(1)
		return row.WithUnknownWrite(v)
	}
	if err != nil {
		t.recordRefusal(ctx, err)
		if !oracle.IsErrorResponse(err) {
			return row.WithUnknownWrite(v)
		}
		return row
	}
	t.writes.Add(1)
	t.failoverGap.RecordWrite()
	return oracle.Row{LastValue: v}
}

// read reads the row called id, checks the value against the oracle and returns the
// values that may be read after that.
func (t *trial) read(ctx context.Context, c *pgx.Conn, id string, row oracle.Row) oracle.Row {
	var got string
	err := c.QueryRow(ctx, "SELECT v FROM box WHERE id = $1 /*route='list'*/", id).Scan(&got)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		t.recordRefusal(ctx, err)
		return row
	}
	t.reads.Add(1)
	next, ok := row.WithRead(got)
	if !ok {
		t.wrongAnswers.Add(1)
		t.addError(fmt.Sprintf("session %s read %q after writing %q", id, got, row.LastValue))
	}
	return next
}
