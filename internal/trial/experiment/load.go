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

// arrival is a request that is due, whether or not a session is free to send it.
type arrival struct {
	dueTime time.Time
	// inPeak is set if some account's load factor is above 1 when the pause before the
	// arrival begins.
	inPeak bool
}

const (
	// maxQueuedArrivals bounds the arrivals of an account that wait for a session;
	// arrivals beyond it are dropped and counted.
	maxQueuedArrivals = 2000
	// maxSleep is the longest single sleep of the load generator, in milliseconds.
	maxSleep = 100 * clock.Millis(1)
	// requestTimeout bounds a request with its retries, and the final check of a session's
	// rows, in milliseconds.
	requestTimeout = 20 * clock.Second
)

// Latencies are recorded up to maxLatencyMicros microseconds, with latencyDigits
// significant digits; longer ones count as the maximum.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// load generates the requests of one account and measures how they are served.
type load struct {
	run     *run
	account Account
	queue   chan arrival
	mu      sync.Mutex
	// The fields below are guarded by mu.
	latencies *hdrhistogram.Histogram
	results   map[result]int64
	dropped   int64
	// recentMaxLatency is the highest latency since the last call of takeMaxLatency.
	recentMaxLatency time.Duration
	// bucket decides which arrivals are within the account's rate and burst.
	bucket tokenBucket
	// allowedInPeak counts the arrivals during a peak that were within the rate,
	// servedInPeak the requests that were served of those due during a peak.
	allowedInPeak float64
	servedInPeak  float64
}

func newLoad(r *run, a Account) *load {
	return &load{
		run: r, account: a, queue: make(chan arrival, maxQueuedArrivals), results: map[result]int64{},
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits), bucket: tokenBucket{rate: a.Rate, burst: a.Burst, tokens: a.Burst},
	}
}

// generateArrivals enqueues arrivals at the account's offered rate, with exponentially
// distributed pauses, until the context ends. It does not wait for answers, so a
// slow proxy does not slow the load down.
func (l *load) generateArrivals(ctx context.Context, random *rand.Rand) {
	defer close(l.queue)
	begin, elapsed := time.Now(), time.Duration(0)
	for ctx.Err() == nil {
		percent := int64(100 * elapsed / l.run.length.Duration())
		pauseSeconds := random.ExpFloat64() / (l.account.OfferedRate * l.account.loadFactor(percent))
		elapsed += time.Duration(pauseSeconds * float64(time.Second))
		for wait := elapsed - time.Since(begin); wait >= time.Millisecond; wait = elapsed - time.Since(begin) {
			if l.run.clock.Sleep(ctx, min(clock.FromDuration(wait), maxSleep)) != nil {
				return
			}
		}
		l.enqueue(arrival{dueTime: begin.Add(elapsed), inPeak: l.run.spec.isPeak(percent)})
	}
}

// enqueue queues an arrival for a session, or drops and counts it if the queue is full.
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

// isPeak reports whether some account's load factor is above 1 when percent of the
// length has passed.
func (s Spec) isPeak(percent int64) bool {
	for _, a := range s.Accounts {
		if a.loadFactor(percent) > 1 {
			return true
		}
	}
	return false
}

// runSession sends the account's queued arrivals in one session until the queue is
// closed, and verifies the session's rows at the end.
func (l *load) runSession(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(l.run.seed, uint64(number)))
	name := fmt.Sprintf("%s-%d", l.account.Name, number)
	s := &session{caller: l.run.newCaller(l.account, name, random)}
	defer s.close()
	for a := range l.queue {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
		l.recordResult(a, s.request(requestCtx, l.account.ReadShare))
		cancel()
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	s.verifyRows(requestCtx)
}

// recordResult records the result of a request. Its latency counts from the time at
// which it was due, and so includes the wait for a free session.
func (l *load) recordResult(a arrival, res result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[res]++
	if res != resultServed {
		return
	}
	latency := time.Since(a.dueTime)
	l.recentMaxLatency = max(l.recentMaxLatency, latency)
	_ = l.latencies.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	if a.inPeak {
		l.servedInPeak++
	}
}

// takeMaxLatency returns the highest latency since the previous call.
func (l *load) takeMaxLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.recentMaxLatency
	l.recentMaxLatency = 0
	return d
}

// peakUsage returns the account's demand within its rate, and the requests served,
// during peaks.
func (l *load) peakUsage() oracle.AccountUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return oracle.AccountUsage{Weight: float64(l.account.Weight), Demand: l.allowedInPeak, Served: l.servedInPeak}
}
