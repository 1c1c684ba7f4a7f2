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
	dueTime time.Time
	// inPeak is set while some account asks for a multiple.
	inPeak bool
}

const (
	// maxQueuedArrivals bounds the arrivals of an account that wait for a session; those
	// beyond are dropped and counted.
	maxQueuedArrivals = 2000
	// maxSleep is the longest pause of the load generator in milliseconds.
	maxSleep = 100 * clock.Millis(1)
	// requestTimeout bounds a request and its repeats in milliseconds.
	requestTimeout = 20 * clock.Second
)

// Latencies are kept up to maxLatency microseconds with three digits.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// load is what one account asks for and gets.
type load struct {
	run     *run
	account Account
	queue   chan arrival
	mu      sync.Mutex
	// The fields below are guarded by mu.
	latencies *hdrhistogram.Histogram
	results   map[result]int64
	dropped   int64
	// recentMaxLatency is the highest latency since the last look.
	recentMaxLatency time.Duration
	// bucket says which arrivals are within the rate and burst.
	bucket tokenBucket
	// allowedInPeak and served are of the rush only.
	allowedInPeak float64
	servedInPeak  float64
}

func newLoad(r *run, a Account) *load {
	return &load{
		run: r, account: a, queue: make(chan arrival, maxQueuedArrivals), results: map[result]int64{},
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits), bucket: tokenBucket{rate: a.Rate, burst: a.Burst, tokens: a.Burst},
	}
}

// generateArrivals makes arrivals at the account's rate, with random pauses between them,
// until the context ends. It waits for no answer.
func (l *load) generateArrivals(ctx context.Context, random *rand.Rand) {
	defer close(l.queue)
	begin, elapsed := time.Now(), time.Duration(0)
	for ctx.Err() == nil {
		percent := int64(100 * elapsed / l.run.length.Duration())
		pause := random.ExpFloat64() / (l.account.OfferedRate * l.account.loadFactor(percent))
		elapsed += time.Duration(pause * float64(time.Second))
		for wait := elapsed - time.Since(begin); wait >= time.Millisecond; wait = elapsed - time.Since(begin) {
			if l.run.clock.Sleep(ctx, min(clock.FromDuration(wait), maxSleep)) != nil {
				return
			}
		}
		l.enqueue(arrival{dueTime: begin.Add(elapsed), inPeak: l.run.spec.isPeak(percent)})
	}
}

func (l *load) enqueue(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket.take(a.dueTime) && a.inPeak {
		l.allowedInPeak++
	}
	select {
	case l.queue <- a:
	default:
		l.dropped++
	}
}

// isPeak reports whether some account asks for a multiple then.
func (s Spec) isPeak(percent int64) bool {
	for _, a := range s.Accounts {
		if a.loadFactor(percent) > 1 {
			return true
		}
	}
	return false
}

// runSession runs one session of the account until there are no more arrivals.
func (l *load) runSession(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.run.seed, uint64(number)))
	name := fmt.Sprintf("%s-%d", l.account.Name, number)
	s := &session{caller: l.run.newCaller(l.account, name, random)}
	defer s.close()
	for a := range l.queue {
		bounded, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
		l.recordResult(a, s.request(bounded, l.account.ReadShare))
		cancel()
	}
	bounded, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	s.verifyRows(bounded)
}

// recordResult keeps how a request came out; its latency counts from when it was due.
func (l *load) recordResult(a arrival, e result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[e]++
	if e != resultServed {
		return
	}
	latency := time.Since(a.dueTime)
	l.recentMaxLatency = max(l.recentMaxLatency, latency)
	_ = l.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	if a.inPeak {
		l.servedInPeak++
	}
}

// takeMaxLatency returns the highest latency since the last look.
func (l *load) takeMaxLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.recentMaxLatency
	l.recentMaxLatency = 0
	return d
}

// peakUsage is what the account was allowed to ask for, and got, during the rush.
func (l *load) peakUsage() oracle.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return oracle.AccountUsage{Weight: float64(l.account.Weight), Demand: l.allowedInPeak, Served: l.servedInPeak}
}
