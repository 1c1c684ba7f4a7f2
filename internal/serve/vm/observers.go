package vm

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	decide "github.com/sycamoredoor/sycamoredoor/internal/core/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/primary"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// observers runs an observer for each database of which this VM should hold a server.
type observers struct {
	vm *VM
	// nonce identifies this process of the VM.
	nonce string

	mu sync.Mutex
	// running maps a database's name to its observer.
	running map[string]*runningObserver
}

type runningObserver struct {
	observer *primary.Observer
	cancel   context.CancelFunc
}

func newObservers(v *VM) *observers {
	return &observers{vm: v, nonce: rand.Text(), running: map[string]*runningObserver{}}
}

// get returns the observer of a database, or nil.
func (o *observers) get(database string) *primary.Observer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.running[database]; r != nil {
		return r.observer
	}
	return nil
}

// update starts and stops observers after a change of the members or the configuration. It
// replaces an observer if the configuration of its servers has changed.
func (o *observers) update(ctx context.Context) {
	d := o.vm.membership.Latest()
	if d == nil {
		return
	}
	wanted := map[string]document.Database{}
	for name, b := range d.Databases() {
		if slices.ContainsFunc(o.vm.voters(b), func(v decide.Voter) bool { return v.VM == o.vm.self.Name }) {
			wanted[name] = b
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, r := range o.running {
		if b, ok := wanted[name]; !ok || !slices.Equal(b.Servers, r.observer.Database().Servers) {
			r.cancel()
			delete(o.running, name)
		}
	}
	for name, b := range wanted {
		if o.running[name] == nil {
			o.startLocked(ctx, b, name)
		}
	}
}

// startLocked starts the observer of a database. The caller holds o.mu.
func (o *observers) startLocked(ctx context.Context, database document.Database, name string) {
	ctx, cancel := context.WithCancel(ctx)
	v := o.vm
	r := &runningObserver{cancel: cancel, observer: primary.New(primary.Options{
		Database: database, Self: decide.Voter{VM: v.self.Name, Zone: v.self.Zone}, Nonce: o.nonce,
		User: v.options.User, Password: v.options.Password, Store: v.options.Store, Clock: v.options.Clock, Log: v.options.Log,
		VotersFunc:        func() []decide.Voter { return v.voters(database) },
		AskLostTermFunc:   v.askLostTerm,
		NotifyPrimaryFunc: func(term floor.Term, leader string) { v.holders.learnPrimary(name, term, leader) },
	})}
	o.running[name] = r
	go r.observer.Run(ctx)
}

// stop stops the running observers and waits until they have ended. It does not wait for those
// that update has stopped.
func (o *observers) stop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.running {
		r.cancel()
		<-r.observer.Done()
	}
}

// voters returns the VMs that should hold the servers of a database, each once.
func (v *VM) voters(b document.Database) []decide.Voter {
	var out []decide.Voter
	for _, s := range b.Servers {
		m, ok := v.holderOf(s)
		if w := (decide.Voter{VM: m.Name, Zone: m.Zone}); ok && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	return out
}

// askLostTerm asks another VM for the term whose primary its observer has lost, or 0.
func (v *VM) askLostTerm(ctx context.Context, name, database string) (floor.Term, error) {
	for _, m := range v.membership.Alive() {
		if m.Name == name {
			a, err := v.ask(ctx, m, inner.Question{Topic: inner.TopicPrimaryLost, Database: database})
			return a.LostTerm, err
		}
	}
	return 0, errors.Errorf("VM %s is not known", name)
}

// answerLostTerm answers a VM that asks which term's primary this VM's observer has lost.
func (v *VM) answerLostTerm(database string) inner.Answer {
	o := v.observers.get(database)
	if o == nil {
		return inner.Answer{Error: "the VM does not observe database " + database}
	}
	return inner.Answer{LostTerm: o.LostTerm()}
}

// learnPrimary passes a term and its primary, the backend server leader, to the holders of
// a database's servers. Retired holders get it as well, since their transactions may still
// be open.
func (h *holders) learnPrimary(database string, term floor.Term, leader string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.running {
		if r.database == database {
			r.holder.LearnPrimary(term, leader)
		}
	}
	for _, r := range h.retired {
		if r.database == database {
			r.holder.LearnPrimary(term, leader)
		}
	}
}
