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

// result is the result of a request as its caller sees it.
type result string

const (
	// resultServed means that the request was answered without an error.
	resultServed result = "served"
	// resultReconnect means that the VM told the caller to connect elsewhere, or was
	// removed before the caller could connect. Nothing was run.
	resultReconnect result = "moved"
	// resultRateLimited means that the VM refused the request because the account is
	// over its rate.
	resultRateLimited result = "limited"
	// resultUnknown means that the VM answered that the outcome is unknown.
	resultUnknown result = "unknown"
	// resultVMKilled means that the connection broke because its VM was killed.
	resultVMKilled result = "cut"
	// resultRefused means any other error from the VM, or that the caller could not
	// connect. The request was not run.
	resultRefused result = "refused"
	// resultDisconnected means that the connection broke although its VM was not killed.
	// A request that times out after connecting counts as well.
	resultDisconnected result = "broken"
)

// mayHaveRun reports whether a request that was not served may have been run: its
// outcome is unknown or its connection broke. In any other case the VM answered that it
// was not run, or was not reached.
func (r result) mayHaveRun() bool {
	return r == resultUnknown || r == resultVMKilled || r == resultDisconnected
}

// classify returns the result of a request of the account at a VM. A rate limit error
// is right only for an account whose load exceeds its rate; for any other it counts
// as a wrongful refusal.
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

// caller is the client of a named session, with a connection to each VM that it has
// used.
type caller struct {
	run     *run
	account Account
	name    string
	random  *rand.Rand
	conns   map[*vm.VM]*pgx.Conn
}

// newCaller returns a caller without connections. random selects the VMs; it may be nil
// for a caller that does not use do.
func (r *run) newCaller(a Account, name string, random *rand.Rand) *caller {
	return &caller{run: r, account: a, name: name, random: random, conns: map[*vm.VM]*pgx.Conn{}}
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close(context.Background())
	}
}

// maxAttempts bounds the attempts at one request, each at a random VM.
const maxAttempts = 10

// do runs a request at a random VM, and tries again on resultReconnect, up to
// maxAttempts times in all; then the result is resultRefused.
func (c *caller) do(ctx context.Context, requestFunc func(*pgx.Conn) error) (result, error) {
	for range maxAttempts {
		vms := c.run.balancer.activeVMs()
		v := vms[c.random.IntN(len(vms))]
		conn, err := c.connection(ctx, v)
		if err == nil {
			err = requestFunc(conn)
		}
		res := c.run.classify(c.account, v, err)
		if res != resultReconnect {
			return res, err
		}
		c.run.counts.reconnects.Add(1)
	}
	return resultRefused, errors.Errorf("the caller had to connect elsewhere %d times", maxAttempts)
}

// connection returns the caller's connection to a VM, and opens one if there is none.
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
