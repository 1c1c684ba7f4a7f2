package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
)

// arrival is a request that is due, whether or not a session is free for it.
type arrival struct {
	at time.Time
	// rush is set while some account asks for a multiple.
	rush bool
}

const (
	// maxDue bounds the arrivals of an account that wait for a session; those
	// beyond are dropped and counted.
	maxDue = 2000
	// step is the longest pause of the load generator in milliseconds.
	step = 100 * clock.Millis(1)
	// maxRequest bounds a request and its repeats in milliseconds.
	maxRequest = 20 * clock.Second
)

// Latencies are kept up to maxLatency microseconds with three digits.
const (
	maxLatency = 60_000_000
	digits     = 3
)

// load is what one account asks for and gets.
type load struct {
	run     *run
	account Account
	due     chan arrival
	mu      sync.Mutex
	// The fields below are guarded by mu.
	latency *hdrhistogram.Histogram
	endings map[ending]int64
	dropped int64
	// recent is the highest latency since the last look.
	recent time.Duration
	// allowance says which arrivals are within the rate and burst.
	allowance allowance
	// allowed and served are of the rush only.
	allowed float64
	served  float64
}

func newLoad(r *run, a Account) *load {
	return &load{
		run: r, account: a, due: make(chan arrival, maxDue), endings: map[ending]int64{},
		latency: hdrhistogram.New(1, maxLatency, digits), allowance: allowance{rate: a.Rate, burst: a.Burst, tokens: a.Burst},
	}
}

// offer makes arrivals at the account's rate, with random pauses between them,
// until the context ends. It waits for no answer.
func (l *load) offer(ctx context.Context, random *rand.Rand) {
	defer close(l.due)
	begin, at := time.Now(), time.Duration(0)
	for ctx.Err() == nil {
		percent := int64(100 * at / l.run.length.Duration())
		pause := random.ExpFloat64() / (l.account.Wanted * l.account.factor(percent))
		at += time.Duration(pause * float64(time.Second))
		for wait := at - time.Since(begin); wait >= time.Millisecond; wait = at - time.Since(begin) {
			if l.run.clock.Sleep(ctx, min(clock.FromDuration(wait), step)) != nil {
				return
			}
		}
		l.arrive(arrival{at: begin.Add(at), rush: l.run.file.rush(percent)})
	}
}

func (l *load) arrive(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowance.take(a.at) && a.rush {
		l.allowed++
	}
	select {
	case l.due <- a:
	default:
		l.dropped++
	}
}

// rush reports whether some account asks for a multiple then.
func (f File) rush(percent int64) bool {
	for _, a := range f.Accounts {
		if a.factor(percent) > 1 {
			return true
		}
	}
	return false
}

// serve runs one session of the account until there are no more arrivals.
func (l *load) serve(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.run.seed, uint64(number)))
	name := fmt.Sprintf("%s-%d", l.account.Name, number)
	s := &session{caller: l.run.newCaller(l.account, name, random)}
	defer s.close()
	for a := range l.due {
		bounded, cancel := context.WithTimeout(ctx, maxRequest.Duration())
		l.note(a, s.request(bounded, l.account.Reads))
		cancel()
	}
	bounded, cancel := context.WithTimeout(ctx, maxRequest.Duration())
	defer cancel()
	s.settle(bounded)
}

// note keeps how a request came out; its latency counts from when it was due.
func (l *load) note(a arrival, e ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endings[e]++
	if e != served {
		return
	}
	took := time.Since(a.at)
	l.recent = max(l.recent, took)
	_ = l.latency.RecordValue(min(max(took.Microseconds(), 1), maxLatency))
	if a.rush {
		l.served++
	}
}

// look returns the highest latency since the last look.
func (l *load) look() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.recent
	l.recent = 0
	return d
}

// claim is what the account was allowed to ask for, and got, during the rush.
func (l *load) claim() oracle.Claim {
	l.mu.Lock()
	defer l.mu.Unlock()
	return oracle.Claim{Weight: float64(l.account.Weight), Demand: l.allowed, Served: l.served}
}
