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

// result is how a request came out for its caller.
type result string

const (
	// resultServed is an answer.
	resultServed result = "served"
	// resultReconnect is a caller that was told to connect elsewhere, or found a VM that has
	// left; nothing was run.
	resultReconnect result = "moved"
	// resultRateLimited is a refusal because the account is over its rate.
	resultRateLimited result = "limited"
	// resultUnknown is a truthful answer that the outcome is not known.
	resultUnknown result = "unknown"
	// resultVMKilled is a connection that broke because its VM was killed.
	resultVMKilled result = "cut"
	// resultRefused is every other error. Only a request that a VM answered with an
	// error has surely not been run.
	resultRefused result = "refused"
	// resultDisconnected is a connection that broke though nobody killed its VM.
	resultDisconnected result = "broken"
)

// mayHaveRun reports whether a request with this ending may have been run.
func (r result) mayHaveRun() bool {
	return r == resultUnknown || r == resultVMKilled || r == resultDisconnected
}

// classify says how a request of the account came out at a VM. A refusal for the
// rate is truthful only to an account that asks for more than its rate.
func (r *run) classify(a Account, v *vm.VM, err error) result {
	var pgErr *pgconn.PgError
	var connectErr *pgconn.ConnectError
	switch {
	case err == nil:
		return resultServed
	case oracle.IsUnknownOutcome(err):
		return resultUnknown
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeShutdown:
		return resultReconnect
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeRateLimit && a.exceedsRate():
		return resultRateLimited
	case errors.As(err, &pgErr):
		return resultRefused
	case errors.As(err, &connectErr) && r.balancer.isRemoved(v):
		return resultReconnect
	case errors.As(err, &connectErr):
		return resultRefused
	case r.balancer.isKilled(v):
		return resultVMKilled
	}
	return resultDisconnected
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

// maxReconnects is the number of VMs that a caller tries for one request.
const maxReconnects = 10

// do runs a request at some VM, and at another when told to connect elsewhere.
func (c *caller) do(ctx context.Context, f func(*pgx.Conn) error) (result, error) {
	for range maxReconnects {
		vms := c.run.balancer.activeVMs()
		v := vms[c.random.IntN(len(vms))]
		conn, err := c.connection(ctx, v)
		if err == nil {
			err = f(conn)
		}
		e := c.run.classify(c.account, v, err)
		if e != resultReconnect {
			return e, err
		}
		c.run.counts.reconnects.Add(1)
	}
	return resultRefused, errors.Errorf("%d VMs told the caller to connect elsewhere", maxReconnects)
}

// connection returns the connection to a VM, and opens it when there is none.
func (c *caller) connection(ctx context.Context, v *vm.VM) (*pgx.Conn, error) {
	if conn := c.conns[v]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	config, err := pgx.ParseConfig(c.run.system.DSN(v, c.account.Name, c.account.key(), c.account.Database))
	if err != nil {
		return nil, err
	}
	config.RuntimeParams["sycamoredoor.session"] = c.name
	conn, err := pgx.ConnectConfig(ctx, config)
	if err == nil {
		c.conns[v] = conn
	}
	return conn, err
}
