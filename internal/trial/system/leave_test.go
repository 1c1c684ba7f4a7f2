package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
)

// rollingLoad is a load whose callers connect to another VM when theirs is drained.
type rollingLoad struct {
	t          *testing.T
	system     *System
	mu         sync.Mutex
	vms        []*vm.VM
	requests   int
	reconnects int
}

func (r *rollingLoad) setVMs(vms []*vm.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = vms
}

func (r *rollingLoad) pickVM(random *rand.Rand) *vm.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vms[random.IntN(len(r.vms))]
}

func (r *rollingLoad) increment(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

func (r *rollingLoad) requestCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests
}

// mustReconnect reports whether err is the SQLSTATE admin_shutdown, with which a VM
// tells a caller to connect elsewhere, or a failure to connect without an answer, as
// happens at a VM that has left.
func mustReconnect(err error) bool {
	var pgErr *pgconn.PgError
	var connectErr *pgconn.ConnectError
	return errors.As(err, &pgErr) && pgErr.Code == outcome.CodeShutdown || !errors.As(err, &pgErr) && errors.As(err, &connectErr)
}

// runCaller runs one caller, which writes and reads its own row until ctx ends. An error
// fails the test unless mustReconnect is true of it.
func (r *rollingLoad) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(1, uint64(number)))
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := 0; ctx.Err() == nil; n++ {
		if conn == nil || conn.IsClosed() {
			config, err := pgx.ParseConfig(r.system.DSN(r.pickVM(random), "counter", "jelly", "orders"))
			if err != nil {
				r.t.Error(err)
				return
			}
			config.RuntimeParams["sycamoredoor.session"] = "member-" + strconv.Itoa(number)
			if conn, err = pgx.ConnectConfig(context.Background(), config); err != nil {
				conn = nil
				if !mustReconnect(err) {
					r.t.Errorf("caller %d could not connect: %v", number, err)
					return
				}
				continue
			}
		}
		err := r.writeAndRead(conn, strconv.Itoa(number), strconv.Itoa(n))
		if err != nil && !mustReconnect(err) {
			r.t.Errorf("caller %d, request %d: %v", number, n, err)
			return
		}
		if err != nil {
			r.increment(&r.reconnects)
		}
		r.increment(&r.requests)
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// writeAndRead writes a value in a transaction of two statements and reads it back
// outside of it.
func (r *rollingLoad) writeAndRead(conn *pgx.Conn, id, want string) error {
	const insert = "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v"
	ctx := context.Background()
	tx, err := conn.Begin(ctx)
	if err != nil {
		return err
	}
	for _, v := range []string{"draft", want} {
		if _, err := tx.Exec(ctx, insert, id, v); err != nil {
			return fmt.Errorf("in the transaction: %w", err)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	var got string
	if err := conn.QueryRow(ctx, "SELECT v FROM box WHERE id = $1 /*route='list'*/", id).Scan(&got); err != nil {
		return err
	}
	if got != want {
		return errors.Errorf("read %q after writing %q", got, want)
	}
	return nil
}

// TestRollingReplacement replaces one VM after the other under load. No statement may
// be cut off or refused or get an unknown outcome.
func TestRollingReplacement(t *testing.T) {
	s := startSystem(t, func(o *Options) { o.Accounts[0].Rate, o.Accounts[0].Burst = 100_000, 100_000 })
	r := &rollingLoad{t: t, system: s, vms: s.VMs}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() { r.runCaller(ctx, i) })
	}
	for i, old := range s.VMs {
		requestsBefore := r.requestCount()
		place := Place{old.Self().Zone, old.Self().Region}
		if _, err := s.StartVM(t.Context(), fmt.Sprintf("vm%d", i+4), place); err != nil {
			t.Fatal(err)
		}
		if err := s.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		var others []*vm.VM
		for _, v := range s.VMs {
			if v != old {
				others = append(others, v)
			}
		}
		r.setVMs(others)
		drainCtx, stop := context.WithTimeout(ctx, 20*time.Second)
		if err := s.DrainVM(drainCtx, old.Self().Name); err != nil {
			t.Errorf("%s: %v", old.Self().Name, err)
		}
		stop()
		if err := s.WaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		if r.requestCount() == requestsBefore {
			t.Error("no caller was served during a replacement")
		}
	}
	cancel()
	running.Wait()
	t.Logf("%d requests, %d told to connect elsewhere", r.requestCount(), r.reconnects)
}
