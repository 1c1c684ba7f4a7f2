// Package primary observes a database group for one VM and carries out the
// change of its primary: it probes the group's servers, asks the other observers
// whether they have lost the primary, and runs the actions that internal/core/primary
// decides on.
package primary

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// tickInterval is the interval between two tick events.
const tickInterval = 25 * clock.Millis(1)

// Options configures the observer of one database group.
type Options struct {
	Database document.Database
	Self     primary.Voter
	// Nonce differs for each start of the process.
	Nonce    string
	User     string
	Password string
	Store    platform.Store
	Clock    clock.Clock
	Log      *log.Logger
	// VotersFunc lists the VMs that observe the group.
	VotersFunc func() []primary.Voter
	// AskLostTermFunc asks another VM for the term whose primary it has lost, or 0.
	AskLostTermFunc func(ctx context.Context, vm, database string) (floor.Term, error)
	// NotifyPrimaryFunc passes the highest term and its primary to the holders.
	NotifyPrimaryFunc func(term floor.Term, leader string)
}

// Observer observes one database group and runs the actions of its state machine.
type Observer struct {
	options Options
	state   atomic.Pointer[primary.Observer]
	events  chan primary.Event
	// links holds the connections to the servers, by server name.
	links map[string]*link
	// tasks counts the goroutines that Run waits for.
	tasks        sync.WaitGroup
	pendingVotes atomic.Int32
	// primarySeenAt is the time of the last answer of a primary.
	primarySeenAt clock.Millis
	done          chan struct{}
}

// New returns an observer. It does nothing before Run.
func New(o Options) *Observer {
	s := primary.Settings{Database: o.Database.Name, Self: o.Self, Nonce: o.Nonce}
	v := &Observer{options: o, events: make(chan primary.Event), links: map[string]*link{}, done: make(chan struct{})}
	for _, server := range o.Database.Servers {
		s.Servers = append(s.Servers, server.Name)
		if server.Leaving {
			s.Leaving = append(s.Leaving, server.Name)
		}
		v.links[server.Name] = newLink(v, server)
	}
	state := primary.New(s)
	v.state.Store(&state)
	return v
}

// Done is closed once Run has ended and every connection is closed.
func (v *Observer) Done() <-chan struct{} { return v.done }

// Database returns the group that is observed.
func (v *Observer) Database() document.Database { return v.options.Database }

// LostTerm returns the term whose primary this observer has lost, or 0.
func (v *Observer) LostTerm() floor.Term { return v.state.Load().LostTerm(v.options.Clock.Now()) }

// Run observes the group until the context ends.
func (v *Observer) Run(ctx context.Context) {
	defer close(v.done)
	defer v.tasks.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, l := range v.links {
		v.start(func() { l.run(ctx) })
	}
	fired, stop := v.options.Clock.AfterFunc(0)
	defer func() { stop() }()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-v.events:
			v.apply(ctx, e)
		case <-fired:
			v.apply(ctx, primary.Event{Kind: primary.Tick, Voters: v.options.VotersFunc()})
			v.notifyPrimary()
			fired, stop = v.options.Clock.AfterFunc(tickInterval)
		}
	}
}

// start runs f in a goroutine that Run waits for.
func (v *Observer) start(f func()) {
	v.tasks.Add(1)
	go func() {
		defer v.tasks.Done()
		f()
	}()
}

// notifyPrimary passes a known primary to the holders. Run repeats this on every tick, so
// that it also reaches holders that started after the last change.
func (v *Observer) notifyPrimary() {
	if term, leader := v.state.Load().Leader(); leader != "" {
		v.options.NotifyPrimaryFunc(term, leader)
	}
}

// apply applies an event to the state and runs the resulting actions.
func (v *Observer) apply(ctx context.Context, e primary.Event) {
	old := v.state.Load()
	state, actions := old.WithEvent(e, v.options.Clock.Now())
	v.state.Store(&state)
	v.recordChange(*old, state)
	for _, a := range actions {
		v.perform(ctx, a)
	}
}

// recordChange counts and logs changes of state, and passes a new primary to the holders.
func (v *Observer) recordChange(old, state primary.Observer) {
	oldTerm, oldLeader := old.Leader()
	term, leader := state.Leader()
	if term != oldTerm || leader != oldLeader {
		v.gauge("term").Set(float64(term))
		if leader != "" && oldTerm != 0 {
			v.counter("changes").Inc()
			v.histogram("gap").Update(float64(v.options.Clock.Now()-v.primarySeenAt) / float64(clock.Second))
		}
		v.options.Log.Info("term or primary of the database group changed", "vm", v.options.Self.VM, "database", v.options.Database.Name, "term", term, "primary", leader)
		v.notifyPrimary()
	}
	if leader != "" {
		v.primarySeenAt = max(v.primarySeenAt, state.LeaderAnsweredAt())
	}
	if !old.Claiming() && state.Claiming() {
		v.counter("claims").Inc()
		v.options.Log.Warn("the primary is lost; claiming the next term", "vm", v.options.Self.VM, "database", v.options.Database.Name, "term", term)
	}
}

// metric returns a metric's name with the label of the database.
func (v *Observer) metric(name string) string {
	return name + "{database=" + label.Quote(v.options.Database.Name) + "}"
}

func (v *Observer) counter(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(v.metric(name))
}

func (v *Observer) gauge(name string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(v.metric(name), nil)
}

func (v *Observer) histogram(name string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(v.metric(name))
}

// perform runs an action, or queues it for its server.
func (v *Observer) perform(ctx context.Context, a primary.Action) {
	switch a.Kind {
	case primary.RequestVotes:
		v.counter("suspicions").Inc()
		v.requestVotes(ctx)
	case primary.RecordClaim, primary.RecordPrimary:
		v.start(func() { v.recordClaim(ctx, a) })
	default:
		v.links[a.Server].enqueue(a)
	}
}

// post sends an event to the event loop.
func (v *Observer) post(ctx context.Context, e primary.Event) {
	select {
	case v.events <- e:
	case <-ctx.Done():
	}
}

// voteTimeout bounds the request for another observer's vote, in milliseconds.
const voteTimeout = 500 * clock.Millis(1)

// maxPendingVotes bounds the requests for votes that wait for an answer.
const maxPendingVotes = 16

// requestVotes asks the other observers which term's primary they have lost, and posts
// each answer as an event.
func (v *Observer) requestVotes(ctx context.Context) {
	for _, o := range v.options.VotersFunc() {
		if o.VM == v.options.Self.VM || v.pendingVotes.Load() >= maxPendingVotes {
			continue
		}
		v.pendingVotes.Add(1)
		v.start(func() {
			defer v.pendingVotes.Add(-1)
			askCtx, cancel := context.WithTimeout(ctx, voteTimeout.Duration())
			defer cancel()
			if term, err := v.options.AskLostTermFunc(askCtx, o.VM, v.options.Database.Name); err == nil {
				v.post(ctx, primary.Event{Kind: primary.Voted, Voter: o, Term: term})
			}
		})
	}
}
