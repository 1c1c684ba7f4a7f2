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

// competitor is a client account that writes while another asks for all there is.
type competitor struct {
	account system.Account
	callers int
	// interval is the time between two requests of the account, in milliseconds; 0
	// means that every caller asks again as soon as it is answered.
	interval clock.Millis
}

// competitors are the accounts that compete for the primary. One of them has as many
// requests waiting as the others together make in a second.
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

// demand counts what the account has asked for within a time. An account
// without pauses asks for more than there is.
func (c competitor) demand(length clock.Millis) float64 {
	const unlimited = 1e9
	if c.interval == 0 {
		return unlimited
	}
	return float64(length / c.interval)
}

// runCompetitors runs the crowd in the second half of the load and notes how the account
// fared that was served worst. Only the time while all of them ask is counted.
func (t *trial) runCompetitors(ctx context.Context) {
	if !t.waitForTenth(ctx, contentionTenth) {
		return
	}
	length := t.options.Length * contentionTenths / 10
	begin := t.clock.Now()
	contention, cancel := context.WithTimeout(ctx, length.Duration())
	defer cancel()
	servedCounts := make([]atomic.Int64, len(competitors))
	var running sync.WaitGroup
	for i, c := range competitors {
		due := make(chan struct{}, length)
		running.Go(func() { t.scheduleRequests(contention, c, due) })
		for n := range c.callers {
			running.Go(func() { t.runCompetitor(ctx, contention, c, n, due, &servedCounts[i]) })
		}
	}
	running.Wait()
	if t.clock.Now() < begin+length {
		// The trial ended while they asked. What they read after that may take longer
		// than the trial on a busy machine, and counts for nothing here.
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

// scheduleRequests says when the account's next request is due.
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

// runCompetitor writes whenever a request is due and counts what was served in time. At
// the end it reads what it wrote.
func (t *trial) runCompetitor(ctx, contention context.Context, c competitor, number int, due <-chan struct{}, served *atomic.Int64) {
	id := fmt.Sprintf("%s-%d", c.account.Name, number)
	k := newCaller(t, c.account, id)
	defer k.close()
	conn, err := k.connection(ctx, t.system.VMs[number%len(t.system.VMs)])
	if err != nil {
		t.recordRefusal(ctx, err)
		return
	}
	row := oracle.Row{}
	for n := 0; c.waitDue(contention, due); n++ {
		v := strconv.Itoa(n)
		if row = t.write(ctx, conn, id, v, row); row.Last == v && contention.Err() == nil {
			served.Add(1)
		}
		if conn.IsClosed() {
			return
		}
	}
	if row.Last != "" {
		t.read(ctx, conn, id, row)
	}
}

// waitDue waits until a request is due and reports false when the time is over.
func (c competitor) waitDue(contention context.Context, due <-chan struct{}) bool {
	if c.interval == 0 {
		return contention.Err() == nil
	}
	select {
	case <-contention.Done():
		return false
	case _, ok := <-due:
		return ok
	}
}
