package experiment

import (
	"context"
	"math/rand/v2"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
)

// ending is how a request came out for its caller.
type ending string

const (
	// served is an answer.
	served ending = "served"
	// moved is a caller that was told to connect elsewhere, or found a VM that has
	// left; nothing was run.
	moved ending = "moved"
	// limited is a refusal because the account is over its rate.
	limited ending = "limited"
	// unknown is a truthful answer that the outcome is not known.
	unknown ending = "unknown"
	// cut is a connection that broke because its VM was killed.
	cut ending = "cut"
	// refused is every other error. Only a request that a VM answered with an
	// error has surely not been run.
	refused ending = "refused"
	// broken is a connection that broke though nobody killed its VM.
	broken ending = "broken"
)

// ran reports whether a request with this ending may have been run.
func (e ending) ran() bool { return e == unknown || e == cut || e == broken }

// judge says how a request of the account came out at a VM. A refusal for the
// rate is truthful only to an account that asks for more than its rate.
func (r *run) judge(a Account, v *vm.VM, err error) ending {
	var told *pgconn.PgError
	var unconnected *pgconn.ConnectError
	switch {
	case err == nil:
		return served
	case oracle.IsUnknown(err):
		return unknown
	case errors.As(err, &told) && told.Code == outcome.CodeShutdown:
		return moved
	case errors.As(err, &told) && told.Code == outcome.CodeRateLimit && a.greedy():
		return limited
	case errors.As(err, &told):
		return refused
	case errors.As(err, &unconnected) && r.fleet.gone(v):
		return moved
	case errors.As(err, &unconnected):
		return refused
	case r.fleet.killed(v):
		return cut
	}
	return broken
}

// caller is a named session with a connection to each VM that it has used.
type caller struct {
	run     *run
	account Account
	name    string
	random  *rand.Rand
	conns   map[*vm.VM]*pgx.Conn
}

func (r *run) newCaller(a Account, name string, random *rand.Rand) *caller {
	return &caller{run: r, account: a, name: name, random: random, conns: map[*vm.VM]*pgx.Conn{}}
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close(context.Background())
	}
}

// maxMoves is the number of VMs that a caller tries for one request.
const maxMoves = 10

// do runs a request at some VM, and at another when told to connect elsewhere.
func (c *caller) do(ctx context.Context, f func(*pgx.Conn) error) (ending, error) {
	for range maxMoves {
		vms := c.run.fleet.serving()
		v := vms[c.random.IntN(len(vms))]
		conn, err := c.connection(ctx, v)
		if err == nil {
			err = f(conn)
		}
		e := c.run.judge(c.account, v, err)
		if e != moved {
			return e, err
		}
		c.run.counts.moves.Add(1)
	}
	return refused, errors.Errorf("%d VMs told the caller to connect elsewhere", maxMoves)
}

// connection returns the connection to a VM, and opens it when there is none.
func (c *caller) connection(ctx context.Context, v *vm.VM) (*pgx.Conn, error) {
	if conn := c.conns[v]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	o, err := pgx.ParseConfig(c.run.system.DSN(v, c.account.Name, c.account.key(), c.account.Database))
	if err != nil {
		return nil, err
	}
	o.RuntimeParams["sycamoredoor.session"] = c.name
	conn, err := pgx.ConnectConfig(ctx, o)
	if err == nil {
		c.conns[v] = conn
	}
	return conn, err
}
