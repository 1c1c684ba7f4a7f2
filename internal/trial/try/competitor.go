package try

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// competitor is a client account that competes with others for the primary.
type competitor struct {
	account system.Account
	callers int
	// interval is the time between two requests of the account, in milliseconds. 0 means
	// that every caller sends its next request as soon as the previous one is answered.
	interval clock.Millis
}

// competitors are the accounts that compete for the primary. The one without an
// interval always has 60 requests in flight, which overloads the primary; the others
// together send 110 a second.
var competitors = []competitor{
	{account: competitorAccount("harbor", 1), callers: 4, interval: 25},
	{account: competitorAccount("mill", 1), callers: 4, interval: 50},
	{account: competitorAccount("orchard", 2), callers: 4, interval: 20},
	{account: competitorAccount("rush", 1), callers: 60},
}

func competitorAccount(name string, weight int) system.Account {
	return system.Account{Name: name, Key: name + "-jelly", Rate: 10_000, Burst: 10_000, Weight: weight}
}

func accounts(list []competitor) []system.Account {
	var out []system.Account
	for _, c := range list {
		out = append(out, c.account)
	}
	return out
}

// demand returns the number of requests that the account sends in length
// milliseconds. Without an interval the demand is unlimited.
func (c competitor) demand(length clock.Millis) float64 {
	const unlimited = 1e9
	if c.interval == 0 {
		return unlimited
	}
	return float64(length / c.interval)
}

// runCompetitors runs the competitors from contentionTenth on and records the served
// share of the account that was served worst. Only requests that were served while
// all of them compete are counted.
func (t *trial) runCompetitors(ctx context.Context) {
	if !t.waitForTenth(ctx, contentionTenth) {
		return
	}
	length := t.options.Length * contentionLengthTenths / 10
	begin := t.clock.Now()
	contentionCtx, cancel := context.WithTimeout(ctx, length.Duration())
	defer cancel()
	servedCounts := make([]atomic.Int64, len(competitors))
	var running sync.WaitGroup
	for i, c := range competitors {
		// With room for a request a millisecond, scheduleRequests never blocks.
		due := make(chan struct{}, length)
		running.Go(func() { t.scheduleRequests(contentionCtx, c, due) })
		for n := range c.callers {
			running.Go(func() { t.runCompetitor(ctx, contentionCtx, c, n, due, &servedCounts[i]) })
		}
	}
	running.Wait()
	if t.clock.Now() < begin+length {
		// The trial ended during the contention, so there is no share to report. ctx.Err
		// would not show that: on a busy machine the final reads, which are not counted,
		// may outlast the trial.
		return
	}
	usages := make([]oracle.AccountUsage, len(competitors))
	for i, c := range competitors {
		usages[i] = oracle.AccountUsage{Weight: float64(c.account.Weight), Demand: c.demand(length), Served: float64(servedCounts[i].Load())}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.worstServedShare = oracle.WorstServedShare(usages)
}

// scheduleRequests sends to due at each interval of the account until ctx ends, and
// then closes it. Without an interval it sends nothing.
func (t *trial) scheduleRequests(ctx context.Context, c competitor, due chan<- struct{}) {
	defer close(due)
	if c.interval == 0 {
		<-ctx.Done()
		return
	}
	begin := t.clock.Now()
	for n := clock.Millis(1); t.clock.Sleep(ctx, max(begin+n*c.interval-t.clock.Now(), 0)) == nil; n++ {
		due <- struct{}{}
	}
}

// runCompetitor runs one caller of an account: it writes whenever a request is due,
// counts the writes that were acknowledged before the contention ended, and at last
// reads its row.
func (t *trial) runCompetitor(ctx, contentionCtx context.Context, c competitor, number int, due <-chan struct{}, served *atomic.Int64) {
	id := fmt.Sprintf("%s-%d", c.account.Name, number)
	k := newCaller(t, c.account, id)
	defer k.close()
	conn, err := k.connection(ctx, t.system.VMs[number%len(t.system.VMs)])
	if err != nil {
		t.recordRefusal(ctx, err)
		return
	}
	row := oracle.Row{}
	for n := 0; c.waitDue(contentionCtx, due); n++ {
		v := strconv.Itoa(n)
		if row = t.write(ctx, conn, id, v, row); row.LastValue == v && contentionCtx.Err() == nil {
			served.Add(1)
		}
		if conn.IsClosed() {
			return
		}
	}
	if row.LastValue != "" {
		t.read(ctx, conn, id, row)
	}
}

// waitDue waits until a request is due. It returns false once the contention has ended.
func (c competitor) waitDue(contentionCtx context.Context, due <-chan struct{}) bool {
	if c.interval == 0 {
		return contentionCtx.Err() == nil
	}
	select {
	case <-contentionCtx.Done():
		return false
	case _, ok := <-due:
		return ok
	}
}
