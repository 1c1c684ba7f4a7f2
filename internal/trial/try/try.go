// Package try runs the main job on embedded stand-ins: three VMs, one database
// group, the platform, and a short mixed load whose every answer is checked
// against an oracle.
package try

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// Options sizes a trial.
type Options struct {
	// Seed makes the load.
	Seed uint64
	// Length is how long the load runs, in milliseconds.
	Length clock.Millis
	// Sessions is the number of callers, each in a named session of its own that
	// roams between the VMs.
	Sessions int
}

// Report is what a trial measured.
type Report struct {
	Seed         uint64  `json:"seed"`
	ReplicaShare float64 `json:"replicashare"`
	Violations   int64   `json:"violations"`
	Wrong        int64   `json:"wrong"`
	Reads        int64   `json:"reads"`
	Writes       int64   `json:"writes"`
	Wrongful     int64   `json:"wrongful"`
	// Unknown counts the writes whose outcome was unknown, at the change of primary.
	Unknown int64 `json:"unknown"`
	// FailoverGap is the time from the last write acknowledged before the change
	// of primary to the first after it, over all sessions, in milliseconds.
	FailoverGap clock.Millis `json:"failovergap"`
	Errors      []string     `json:"errors,omitempty"`
}

// Good reports whether the trial kept every promise.
func (r Report) Good() bool {
	changed := r.FailoverGap > 0 && r.FailoverGap <= maxGap
	return r.Violations == 0 && r.Wrong == 0 && r.Wrongful == 0 && changed
}

// maxGap is the longest gap allowed at a change of primary, in milliseconds.
const maxGap = 7 * clock.Second

// database is the only database of a trial.
const database = "orders"

const routes = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

// Start starts the installation that a trial runs on.
func Start(ctx context.Context) (*system.System, error) {
	return system.New(ctx, system.Options{
		Places: []system.Place{
			{Zone: "abbotsford", Region: "mainland"},
			{Zone: "chilliwack", Region: "mainland"},
			{Zone: "kelowna", Region: "okanagan"},
		},
		Databases: []string{database},
		Servers:   backend.Options{Slots: 3, Connections: 20, Connect: 12, Work: time.Millisecond, Lag: 30},
		Accounts:  []system.Account{{Name: "counter", Key: "medlar-jelly", Rate: 1000, Burst: 100, Weight: 1}},
		Routes:    routes,
	})
}

// trial is a running load.
type trial struct {
	options  Options
	system   *system.System
	reads    atomic.Int64
	writes   atomic.Int64
	wrong    atomic.Int64
	refused  atomic.Int64
	unknown  atomic.Int64
	gap      gap
	mu       sync.Mutex
	failures []string
}

// Run starts an installation, loads it and reports.
func Run(ctx context.Context, o Options) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := Start(ctx)
	if err != nil {
		return Report{}, err
	}
	t := &trial{options: o, system: s}
	before := invariant.Total()
	t.load(ctx)
	r := t.report()
	r.Violations = invariant.Total() - before
	cancel()
	return r, s.Wait(system.Timeout.Duration())
}

func (t *trial) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.Length.Duration())
	defer cancel()
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		t.changePrimary(ctx)
	}()
	for i := range t.options.Sessions {
		running.Add(1)
		go func() {
			defer running.Done()
			t.session(ctx, i)
		}()
	}
	running.Wait()
}

// session is one caller. Nobody else writes its row, so the oracle is what it
// wrote itself.
func (t *trial) session(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(t.options.Seed, uint64(number)))
	conns := make([]*pgx.Conn, len(t.system.VMs))
	defer func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close(context.Background())
			}
		}
	}()
	id, row := strconv.Itoa(number), expected{}
	for n := 0; ctx.Err() == nil; n++ {
		c, err := t.connection(ctx, conns, random.IntN(len(conns)), number)
		if err != nil {
			t.fail(ctx, err)
			continue
		}
		if row.last == "" || random.IntN(10) == 0 {
			row = t.write(ctx, c, id, fmt.Sprintf("%d-%d", number, n), row)
			continue
		}
		row = t.read(ctx, c, id, row)
	}
}

func (t *trial) connection(ctx context.Context, conns []*pgx.Conn, i, number int) (*pgx.Conn, error) {
	if conns[i] != nil && !conns[i].IsClosed() {
		return conns[i], nil
	}
	c, err := pgx.ParseConfig(t.system.DSN(t.system.VMs[i], "counter", "medlar-jelly", "orders"))
	if err != nil {
		return nil, err
	}
	c.RuntimeParams["sycamoredoor.session"] = "member-" + strconv.Itoa(number)
	conns[i], err = pgx.ConnectConfig(ctx, c)
	return conns[i], err
}

func (t *trial) write(ctx context.Context, c *pgx.Conn, id, v string, row expected) expected {
	_, err := c.Exec(ctx, "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/", id, v)
	if isUnknown(err) {
		t.unknown.Add(1)
		return row.withUnknown(v)
	}
	if err != nil {
		t.fail(ctx, err)
		return row
	}
	t.writes.Add(1)
	t.gap.acknowledged()
	return expected{last: v}
}

func (t *trial) read(ctx context.Context, c *pgx.Conn, id string, row expected) expected {
	var got string
	err := c.QueryRow(ctx, "SELECT v FROM box WHERE id = $1 /*route='list'*/", id).Scan(&got)
	if err != nil && !errors.Is(err, pgx.ErrNoRows) {
		t.fail(ctx, err)
		return row
	}
	t.reads.Add(1)
	next, ok := row.withRead(got)
	if !ok {
		t.wrong.Add(1)
		t.note(fmt.Sprintf("session %s read %q after writing %q", id, got, row.last))
	}
	return next
}

// fail counts an error, unless the trial is over.
func (t *trial) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	t.refused.Add(1)
	t.note(err.Error())
}

// maxNotes is the number of failures kept for the report.
const maxNotes = 5

func (t *trial) note(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failures) < maxNotes {
		t.failures = append(t.failures, text)
	}
}

func (t *trial) report() Report {
	r := Report{
		Seed: t.options.Seed, Reads: t.reads.Load(), Writes: t.writes.Load(),
		Wrong: t.wrong.Load(), Wrongful: t.refused.Load(), Errors: t.failures,
		Unknown: t.unknown.Load(), FailoverGap: t.gap.length(),
	}
	var reads, replicas uint64
	for _, v := range t.system.VMs {
		s := v.Entry().Served()
		reads += s.Reads
		replicas += s.Replicas
	}
	if reads > 0 {
		r.ReplicaShare = float64(replicas) / float64(reads)
	}
	return r
}
