// Package limit keeps client accounts to their rate and burst over all VMs
// together. It runs the decisions of internal/core/limit: each VM spends its
// parts of the accounts and renews them at their owners, and is itself the owner
// of some accounts.
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

// Options makes a limiter.
type Options struct {
	VM    member.VM
	Clock clock.Clock
	// MembersFunc returns the version that this VM acts on, its members, and
	// whether the VM may act now.
	MembersFunc func() (version uint64, members []member.VM, may bool)
	// AcceptedFunc returns the highest version below which nobody acts.
	AcceptedFunc func() uint64
	// DocumentFunc returns the configuration in force, or nil when the VM may not act.
	DocumentFunc func() *document.Document
	// AskFunc puts a question to another VM or to this one.
	AskFunc func(ctx context.Context, vm member.VM, a inner.Question) (inner.Answer, error)
}

// Limiter is the part of one VM. Its maps change under a lock; the values in
// them are immutable.
type Limiter struct {
	options  Options
	counters *counters
	// process tells this process from earlier ones of the VM.
	process     string
	wakeup      chan struct{}
	requestDone chan struct{}
	done        chan struct{}

	mu      sync.Mutex
	version uint64
	members []member.VM
	// shardOwners is the owner of each shard, and shards what this VM owns.
	shardOwners [shardCount]member.VM
	shards      [shardCount]shard
	owners      map[string]limit.Owner
	survey      survey
	lastSweep   clock.Millis
	localLimits map[string]*localLimit
	// inFlight is the VMs that have a question of ours, asked the marks to give back
	// to new owners.
	inFlight       map[string]bool
	pendingSurveys map[string]uint64
}

// New returns a limiter that works once Run is called.
func New(o Options) *Limiter {
	raw := make([]byte, processSize)
	_, _ = rand.Read(raw)
	return &Limiter{
		options: o, counters: newCounters(o.VM.Name), process: o.VM.Name + "/" + hex.EncodeToString(raw),
		wakeup: make(chan struct{}, 1), requestDone: make(chan struct{}), done: make(chan struct{}),
		owners: map[string]limit.Owner{}, localLimits: map[string]*localLimit{},
		inFlight: map[string]bool{}, pendingSurveys: map[string]uint64{},
	}
}

// processSize is the length of a process's tag in bytes.
const processSize = 8

// Done is closed once Run has ended.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// tickInterval is the pause between two looks at what is due, in milliseconds.
const tickInterval clock.Millis = 20

// Run renews the parts until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	running := 0
	for ctx.Err() == nil {
		running += l.sendDue(ctx)
		fired, stop := l.options.Clock.AfterFunc(tickInterval)
		select {
		case <-ctx.Done():
		case <-l.requestDone:
			running--
		case <-l.wakeup:
		case <-fired:
		}
		stop()
	}
	for ; running > 0; running-- {
		<-l.requestDone
	}
}

// wake lets Run look again at once.
func (l *Limiter) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// sendDue sends the questions that are due and returns their number.
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
		s := inner.ShareRequest{From: l.options.VM.Name, Process: l.process, Version: l.version, SurveyID: l.pendingSurveys[vm.Name], Reports: reports}
		delete(l.pendingSurveys, vm.Name)
		l.inFlight[vm.Name] = true
		sent++
		go l.renew(ctx, vm, s)
	}
	return sent
}

// askTimeout bounds a question in milliseconds.
const askTimeout = clock.Second

// renew sends one batch of reports and takes in the answer.
func (l *Limiter) renew(ctx context.Context, vm member.VM, s inner.ShareRequest) {
	defer func() { l.requestDone <- struct{}{} }()
	bounded, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	l.counters.renewals.Inc()
	a, err := l.options.AskFunc(bounded, vm, inner.Question{Topic: inner.TopicShare, Share: &s})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inFlight, vm.Name)
	if err != nil && s.SurveyID != 0 && l.pendingSurveys[vm.Name] == 0 {
		l.pendingSurveys[vm.Name] = s.SurveyID
	}
	now := l.options.Clock.Now()
	for _, g := range a.Grants {
		if h := l.localLimits[g.Account]; h != nil && err == nil {
			h.bucket = h.bucket.WithGrant(g, now)
			h.notifyChanged()
		}
	}
	for _, r := range s.Reports {
		if h := l.localLimits[r.Account]; h != nil && h.bucket.Number() == r.Number {
			h.bucket = h.bucket.WithAnswerLost()
		}
	}
}
