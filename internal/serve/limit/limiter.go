// Package limit enforces the rate and the burst of client accounts over all VMs
// together. It runs the algorithm of internal/core/limit: each VM spends its
// parts of the accounts' limits, renews them with the accounts' owners, and is
// itself the owner of some accounts.
package limit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Options configures a Limiter.
type Options struct {
	VM    member.VM
	Clock clock.Clock
	// MembersFunc returns the version of the member set that this VM acts on,
	// its members, and whether the VM may act now.
	MembersFunc func() (version uint64, members []member.VM, mayAct bool)
	// AcceptedFunc returns the accepted version: no VM acts on a lower one.
	AcceptedFunc func() uint64
	// DocumentFunc returns the configuration in force, or nil while the VM may
	// not act.
	DocumentFunc func() *document.Document
	// AskFunc sends a request to another VM, or to this one, and returns the
	// answer.
	AskFunc func(ctx context.Context, vm member.VM, a inner.Question) (inner.Answer, error)
}

// Limiter enforces the limits on one VM and owns part of the accounts. Its maps
// change under mu; the limit.Owner and limit.Holder values in them are
// immutable.
type Limiter struct {
	options  Options
	counters *counters
	// process distinguishes this process from earlier ones of the VM.
	process string
	// wakeup makes Run check for due requests at once. Each request that Run has
	// sent sends on requestDone when it ends.
	wakeup      chan struct{}
	requestDone chan struct{}
	done        chan struct{}

	mu      sync.Mutex
	version uint64
	members []member.VM
	// shardOwners is the owner of each shard, and shards the state of the
	// shards on this VM.
	shardOwners [shardCount]member.VM
	shards      [shardCount]shard
	// owners holds the state of the accounts that this VM owns, and localLimits
	// this VM's parts of accounts, by account.
	owners      map[string]limit.Owner
	survey      survey
	lastSweep   clock.Millis
	localLimits map[string]*localLimit
	// inFlight marks the VMs that have not answered this VM's last report yet.
	// pendingSurveys holds the IDs of the surveys that this VM has to answer,
	// by the name of the new owner.
	inFlight       map[string]bool
	pendingSurveys map[string]uint64
}

// New returns a limiter that works once Run is called.
func New(o Options) *Limiter {
	raw := make([]byte, processSuffixSize)
	_, _ = rand.Read(raw)
	return &Limiter{
		options: o, counters: newCounters(o.VM.Name), process: o.VM.Name + "/" + hex.EncodeToString(raw),
		wakeup: make(chan struct{}, 1), requestDone: make(chan struct{}), done: make(chan struct{}),
		owners: map[string]limit.Owner{}, localLimits: map[string]*localLimit{},
		inFlight: map[string]bool{}, pendingSurveys: map[string]uint64{},
	}
}

// processSuffixSize is the length in bytes of the random value that ends
// Limiter.process.
const processSuffixSize = 8

// Done is closed once Run has ended.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// tickInterval is the longest pause between two checks for due requests, in
// milliseconds.
const tickInterval clock.Millis = 20

// Run sends reports and surveys until the context ends, and returns once no
// request is in flight.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	inFlight := 0
	for ctx.Err() == nil {
		inFlight += l.sendDue(ctx)
		fired, stop := l.options.Clock.AfterFunc(tickInterval)
		select {
		case <-ctx.Done():
		case <-l.requestDone:
			inFlight--
		case <-l.wakeup:
		case <-fired:
		}
		stop()
	}
	for ; inFlight > 0; inFlight-- {
		<-l.requestDone
	}
}

// wake makes Run check for due requests at once.
func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// sendDue sends the requests that are due and returns their number. Each sends
// on requestDone when it ends.
func (l *Limiter) sendDue(ctx context.Context) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if !l.refreshLocked(now) {
		return 0
	}
	l.sweepLocked(now)
	sent := l.sendSurveyLocked(ctx, now)
	for vm, reports := range l.dueReportsLocked(now) {
		request := inner.ShareRequest{From: l.options.VM.Name, Process: l.process, Version: l.version, SurveyID: l.pendingSurveys[vm.Name], Reports: reports}
		delete(l.pendingSurveys, vm.Name)
		l.inFlight[vm.Name] = true
		sent++
		go l.renew(ctx, vm, request)
	}
	return sent
}

// askTimeout bounds a request in milliseconds.
const askTimeout = clock.Second

// renew sends one batch of reports to the owner vm and applies the grants of
// its answer. Answers to reports without a grant are marked as lost, so that they
// do not delay the next reports. A survey that the request answers stays pending if
// the request fails.
func (l *Limiter) renew(ctx context.Context, vm member.VM, request inner.ShareRequest) {
	defer func() { l.requestDone <- struct{}{} }()
	timeoutCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	l.counters.renewals.Inc()
	a, err := l.options.AskFunc(timeoutCtx, vm, inner.Question{Topic: inner.TopicShare, Share: &request})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, vm.Name)
	if err != nil && request.SurveyID != 0 && l.pendingSurveys[vm.Name] == 0 {
		l.pendingSurveys[vm.Name] = request.SurveyID
	}
	now := l.options.Clock.Now()
	for _, g := range a.Grants {
		if h := l.localLimits[g.Account]; h != nil && err == nil {
			h.bucket = h.bucket.WithGrant(g, now)
			h.notifyChanged()
		}
	}
	for _, r := range request.Reports {
		if h := l.localLimits[r.Account]; h != nil && h.bucket.Number() == r.Number {
			h.bucket = h.bucket.WithAnswerLost()
		}
	}
}
