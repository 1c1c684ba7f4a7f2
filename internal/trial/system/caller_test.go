package system

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestCallerProtocol uses the parts of the protocol that real drivers use, with pgx:
// batches, pipelines with Flush, prepared statements of the same name on several
// connections, settings, COPY, empty queries and cancel requests.
func TestCallerProtocol(t *testing.T) {
	s := startSystem(t)
	conn := connect(t, s, 0, nil)
	t.Run("batch", func(t *testing.T) { testBatch(t, conn) })
	t.Run("pipeline", func(t *testing.T) { testPipeline(t, conn.PgConn()) })
	t.Run("settings", func(t *testing.T) { testSettings(t, conn) })
	t.Run("statements", func(t *testing.T) {
		for i := range 3 {
			other := connect(t, s, i, nil)
			if _, err := other.Prepare(t.Context(), "one", "SELECT v FROM box WHERE id = $1"); err != nil {
				t.Fatal(err)
			}
			var got string
			if err := other.QueryRow(t.Context(), "one", "1").Scan(&got); err != nil {
				t.Fatal(err)
			}
			if err := other.Deallocate(t.Context(), "one"); err != nil {
				t.Fatal(err)
			}
		}
	})
	t.Run("copy in a transaction", func(t *testing.T) {
		tx, err := conn.Begin(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_, err = conn.PgConn().CopyTo(t.Context(), nil, "COPY box TO STDOUT")
		wantCode(t, err, "0A000")
		_, err = tx.Exec(t.Context(), "SELECT 1")
		wantCode(t, err, "25P02")
		if err := tx.Rollback(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("empty query", func(t *testing.T) {
		if err := conn.Ping(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Exec(t.Context(), "", pgx.QueryExecModeExec); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("cancel", func(t *testing.T) { testCancelThroughOtherVM(t, s, conn) })
	if status := conn.PgConn().TxStatus(); status != 'I' {
		t.Errorf("transaction status at the end is %c", status)
	}
}

func wantCode(t *testing.T, err error, want string) {
	t.Helper()
	var got *pgconn.PgError
	if !errors.As(err, &got) || got.Code != want {
		t.Errorf("got %v, want SQLSTATE %s", err, want)
	}
}

// testBatch sends a batch in which a read returns the row that the batch inserted, and a
// batch that fails, of which no write may remain.
func testBatch(t *testing.T, conn *pgx.Conn) {
	b := &pgx.Batch{}
	b.Queue("INSERT INTO box (id, v) VALUES ($1, $2)", "1", "plum")
	b.Queue("SET sycamoredoor.route = 'box'")
	b.Queue("SELECT v FROM box WHERE id = $1", "1")
	results := conn.SendBatch(t.Context(), b)
	for range 2 {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
	}
	var got string
	if err := results.QueryRow().Scan(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("plum", got); diff != "" {
		t.Errorf("read within the batch (-want +got):\n%s", diff)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	b = &pgx.Batch{}
	b.Queue("INSERT INTO box (id, v) VALUES ($1, $2)", "2", "quince")
	b.Queue("INSERT INTO box (id, v) VALUES ($1, $2)", "1", "again")
	wantCode(t, conn.SendBatch(t.Context(), b).Close(), "23505")
	err := conn.QueryRow(t.Context(), "SELECT v FROM box WHERE id = $1", "2").Scan(&got)
	if !errors.Is(err, pgx.ErrNoRows) {
		t.Errorf("a row of a failed batch was read: %q, %v", got, err)
	}
}

// testPipeline reads a result after a Flush without a Sync. Then it sends an invalid
// statement and a valid one before the next Sync, and expects the error of the invalid
// one.
func testPipeline(t *testing.T, conn *pgconn.PgConn) {
	p := conn.StartPipeline(t.Context())
	p.SendQueryParams("SELECT v FROM box WHERE id = $1", [][]byte{[]byte("1")}, nil, nil, nil)
	p.SendFlushRequest()
	if err := p.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, err := p.GetResults(); err != nil {
		t.Fatal(err)
	}
	p.SendQueryParams("no such statement", nil, nil, nil, nil)
	p.SendFlushRequest()
	p.SendQueryParams("SELECT 1", nil, nil, nil, nil)
	if err := p.Sync(); err != nil {
		t.Fatal(err)
	}
	var got *pgconn.PgError
	for got == nil {
		r, err := p.GetResults()
		if reader, ok := r.(*pgconn.ResultReader); ok && err == nil {
			_, err = reader.Close()
		}
		if err != nil && !errors.As(err, &got) {
			t.Fatal(err)
		}
	}
	wantCode(t, got, "42601")
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	if status := conn.TxStatus(); status != 'I' {
		t.Errorf("transaction status after the pipeline is %c", status)
	}
}

// testSettings changes a setting and reads it back in three of pgx's query modes, which
// use named and unnamed prepared statements and simple queries.
func testSettings(t *testing.T, conn *pgx.Conn) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		if _, err := conn.Exec(t.Context(), "SET sycamoredoor.session = 'member-1'", mode); err != nil {
			t.Fatal(err)
		}
		var got string
		if err := conn.QueryRow(t.Context(), "SHOW sycamoredoor.session", mode).Scan(&got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("member-1", got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", mode, diff)
		}
	}
}

// testCancelThroughOtherVM sends cancel requests to another VM than the caller's until
// the statement is cancelled; one that arrives before the statement has no effect.
func testCancelThroughOtherVM(t *testing.T, s *System, conn *pgx.Conn) {
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(30)")
		ended <- err
	}()
	other := connect(t, s, 1, nil).PgConn()
	request := encodeCancel(conn.PgConn())
	for begin := time.Now(); time.Since(begin) < Timeout.Duration(); time.Sleep(10 * time.Millisecond) {
		sendCancel(t, other.Conn().RemoteAddr().String(), request)
		select {
		case err := <-ended:
			wantCode(t, err, "57014")
			return
		default:
		}
	}
	t.Error("the statement was not cancelled")
}

func encodeCancel(c *pgconn.PgConn) []byte {
	raw, _ := (&pgproto3.CancelRequest{ProcessID: c.PID(), SecretKey: c.SecretKey()}).Encode(nil)
	return raw
}

// sendCancel sends a cancel request and waits until the VM closes the connection.
func sendCancel(t *testing.T, address string, request []byte) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // the VM closes first
	if _, err := c.Write(request); err != nil {
		t.Fatal(err)
	}
	_, _ = c.Read(make([]byte, 1))
}
