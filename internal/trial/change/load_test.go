package change

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// load runs sessions that insert unique rows until they are cancelled.
type load struct {
	system  *system.System
	seed    uint64
	vms     []*vm.VM
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu              sync.Mutex
	acknowledged    map[string]time.Time
	refusals        []string
	unknownOutcomes int
}

// startLoad runs sessions at all VMs but the first, which a test may stop. The seed
// makes the IDs of the rows unique among the loads of a system.
func startLoad(s *system.System, seed uint64) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{system: s, seed: seed, vms: s.VMs[1:], cancel: cancel, acknowledged: map[string]time.Time{}}
	for i := range sessionCount {
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			l.runSession(ctx, i)
		}()
	}
	return l
}

// runSession inserts rows until ctx ends. An insert that is in flight then still completes,
// so that its result is known.
func (l *load) runSession(ctx context.Context, number int) {
	var c *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || c.IsClosed() {
			var err error
			if c, err = pgx.Connect(ctx, l.system.DSN(l.vms[number%len(l.vms)], "counter", "jelly", "orders")); err != nil {
				l.record(ctx, "", err)
				continue
			}
		}
		id := fmt.Sprintf("%x-%d-%d", l.seed, number, n)
		_, err := c.Exec(context.Background(), "INSERT INTO box (id, v) VALUES ($1, $2) /*route='box'*/", id, id)
		l.record(ctx, id, err)
	}
	if c != nil {
		_ = c.Close(context.Background())
	}
}

// record records the result of an insert; errors other than an unknown outcome are
// refusals, unless ctx has ended.
func (l *load) record(ctx context.Context, id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		l.acknowledged[id] = time.Now()
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown:
		l.unknownOutcomes++
	case ctx.Err() == nil:
		l.refusals = append(l.refusals, id+": "+err.Error())
	}
}

func (l *load) acknowledgedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.acknowledged)
}

// longestGap returns the longest time without an acknowledged write over all sessions, in
// milliseconds.
func (l *load) longestGap() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := make([]time.Time, 0, len(l.acknowledged))
	for _, at := range l.acknowledged {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i].Sub(times[i-1]))
	}
	return clock.FromDuration(longest)
}
