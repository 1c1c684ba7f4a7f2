package vm

import (
	"context"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/holder"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// holders runs a holder, which owns the connections of one backend server, for each server
// that is placed on this VM.
type holders struct {
	vm *VM

	mu sync.Mutex
	// running is by the server's name.
	running map[string]*runningHolder
	// retired holds former holders, which may still have open transactions.
	retired []*runningHolder
	// leaving is set once the VM starts no more holders.
	leaving bool
	// pendingReleases counts the retired holders whose context has not been cancelled yet.
	// Cancelling it releases the lock.
	pendingReleases sync.WaitGroup
}

// runningHolder is a holder, current or retired, with the function that ends it.
type runningHolder struct {
	holder   *holder.Holder
	database string
	cancel   context.CancelFunc
}

func newHolders(v *VM) *holders {
	return &holders{vm: v, running: map[string]*runningHolder{}}
}

// get returns the holder of a server on this VM, or nil.
func (h *holders) get(server string) *holder.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.running[server]; r != nil {
		return r.holder
	}
	return nil
}

// update starts and retires holders after a change of the members or the configuration. It
// replaces a holder that cannot apply the change of its server.
func (h *holders) update(ctx context.Context) {
	d := h.vm.membership.Latest()
	if d == nil {
		return
	}
	wanted := map[string]document.Server{}
	databaseOf := map[string]string{}
	for _, b := range d.Databases() {
		for _, s := range b.Servers {
			if owner, ok := h.vm.holderOf(s); ok && owner.Name == h.vm.self.Name {
				wanted[s.Name], databaseOf[s.Name] = s, b.Name
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, r := range h.running {
		if s, ok := wanted[name]; !ok || !r.holder.Update(s) {
			h.retireLocked(name)
		}
	}
	if h.leaving {
		return
	}
	for name, s := range wanted {
		if h.running[name] == nil {
			h.startLocked(ctx, s, databaseOf[name])
		}
	}
}

// startLocked starts the holder of a server. The caller holds the lock of h.
func (h *holders) startLocked(ctx context.Context, s document.Server, database string) {
	ctx, cancel := context.WithCancel(ctx)
	o := h.vm.options
	r := &runningHolder{database: database, cancel: cancel, holder: holder.New(holder.Options{
		Server: s, Database: database, VM: o.Name, User: o.User, Password: o.Password, Clock: o.Clock,
		Trace: o.Trace, ConfirmFunc: h.vm.confirmTerm,
		AliveFunc: h.vm.isAlive,
	})}
	h.running[s.Name] = r
	go r.holder.Run(ctx)
	o.Log.Info("taking over backend server", "vm", o.Name, "server", s.Name)
}

// stop stops the running and the retired holders and waits until they have ended. For a
// former holder that is no longer in h.retired it waits only until its context has been
// cancelled.
func (h *holders) stop() {
	h.mu.Lock()
	list := slices.Clone(h.retired)
	for _, r := range h.running {
		list = append(list, r)
	}
	h.mu.Unlock()
	for _, r := range list {
		r.cancel()
		<-r.holder.Done()
	}
	h.pendingReleases.Wait()
}

// isAlive reports whether a VM is a member that this VM does not suspect.
func (v *VM) isAlive(name string) bool {
	return slices.ContainsFunc(v.membership.Alive(), func(m member.VM) bool { return m.Name == name })
}

// holderOf returns the VM that should hold a server, or false when there is none.
func (v *VM) holderOf(s document.Server) (member.VM, bool) {
	return member.Place(v.membership.Alive(), s.Name, s.Zone)
}
