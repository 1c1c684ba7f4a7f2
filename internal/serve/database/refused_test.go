package database

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// changedConn returns a connection whose functions change replaces, and what it logs.
func changedConn(t *testing.T, change func(c *Conn)) (*PooledConn, *bytes.Buffer) {
	t.Helper()
	p := (&sentLines{}).protocol()
	dial := p.DialFunc
	p.DialFunc = func(ctx context.Context, s Server, account string) (*Conn, floor.ReplicationPosition, error) {
		c, position, err := dial(ctx, s, account)
		change(c)
		return c, position, err
	}
	var out bytes.Buffer
	g := (&fakeGroup{}).group(t, 4)
	g.options.Protocol, g.options.Log = p, log.NewWithOptions(&out, log.Options{Level: log.InfoLevel})
	conn, err := g.pools["p"].acquire(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return conn, &out
}

func executionOf(shape string) Request {
	return Request{ID: "x", Timeout: 1000, Execution: statement.Execution{Shape: statement.Shape{Text: shape}, Arguments: "a"}}
}

// TestFailedPreparationIsNoAnswer guards against an execution that is answered with the failure of another statement.
func TestFailedPreparationIsNoAnswer(t *testing.T) {
	slow := &RefusalError{Code: statement.Timeout, Detail: "slow", Status: statement.Idle}
	for name, change := range map[string]func(c *Conn){
		"prepare":    func(c *Conn) { c.PrepareFunc = func(string, statement.Shape, clock.Millis) error { return slow } },
		"deallocate": func(c *Conn) { c.DeallocateFunc = func(string, clock.Millis) error { return slow } },
	} {
		conn, logged := changedConn(t, change)
		var err error
		for i := 0; i <= maxPrepared && err == nil; i++ {
			_, err = conn.Run(executionOf("s" + strings.Repeat("x", i)))
		}
		if !IsUnsent(err) {
			t.Errorf("%s: %v, want an UnsentError", name, err)
		}
		if !strings.Contains(logged.String(), "id=x") {
			t.Errorf("%s: the request is not logged: %s", name, logged)
		}
	}
}

// TestRefusedShapeKeepsItsConnection guards against a connection that is closed for a shape that no server runs.
func TestRefusedShapeKeepsItsConnection(t *testing.T) {
	for name, refusal := range map[string]error{
		"refused":  &RefusalError{Code: statement.Invalid, Detail: "no", Status: statement.Idle},
		"not sent": &UnsendableError{Detail: "no"},
	} {
		conn, logged := changedConn(t, func(c *Conn) {
			c.PrepareFunc = func(string, statement.Shape, clock.Millis) error { return refusal }
		})
		a, err := conn.Run(executionOf("q7"))
		if diff := cmp.Diff(statement.Refuse(statement.Invalid, "no", statement.Idle), a); diff != "" || err != nil || conn.broken {
			t.Errorf("%s: error %v, broken %v, answer (-want +got):\n%s", name, err, conn.broken, diff)
		}
		if !strings.Contains(logged.String(), statement.Digest("q7")) {
			t.Errorf("%s: the shape is not logged: %s", name, logged)
		}
	}
}

// TestUnsentStatementTellsNothingOfTheServer guards against a server that counts as alive by what was not sent.
func TestUnsentStatementTellsNothingOfTheServer(t *testing.T) {
	conn, _ := changedConn(t, func(c *Conn) {
		c.RunFunc = func(Request) (statement.Answer, error) {
			return statement.Answer{}, &UnsendableError{Detail: "too long"}
		}
	})
	pool := conn.pool
	pool.answeredAt, pool.latency = 1, 100
	window, running := pool.window, pool.running
	a, err := conn.Run(Request{ID: "x", Text: "READ long", Timeout: 1000})
	if diff := cmp.Diff(statement.Refuse(statement.Invalid, "too long", statement.Idle), a); diff != "" || err != nil || conn.broken {
		t.Errorf("error %v, broken %v, answer (-want +got):\n%s", err, conn.broken, diff)
	}
	if pool.answeredAt != 1 || pool.latency != 100 || pool.window != window || pool.running != running {
		t.Errorf("answered at %d, latency %v, window %v, running %d", pool.answeredAt, pool.latency, pool.window, pool.running)
	}
}
