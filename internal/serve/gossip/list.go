package gossip

import (
	"context"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// listInterval is the pause between two reads of the list of VMs, in milliseconds. It
	// is listAloneInterval while this VM receives messages from no other, and
	// listStartInterval while it is not registered or knows of no other.
	listInterval      = 40 * clock.Second
	listStartInterval = clock.Millis(700)
	listAloneInterval = clock.Millis(2500)
	// listMinPause is the least pause between two updates of the list, in milliseconds.
	listMinPause = clock.Millis(300)
	// restoreTime is how long after the store came back from a copy the list may lack VMs
	// that are running, in milliseconds.
	restoreTime = 10 * clock.Second
	// unlistedTimeout is the time without a message after which a VM that is not listed and has not
	// announced that it leaves is forgotten, in milliseconds. It may be cut off from the other VMs and
	// use a primary; until then it has found out that it hears nobody, and registered again.
	unlistedTimeout = SilenceTimeout + 2*listAloneInterval
)

// RunRegistration registers this VM and reads the list of VMs periodically until the
// context ends.
func (m *Mesh) RunRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		m.awaitList(ctx, m.updateList(ctx))
	}
}

// updateList brings the list of VMs up to date: from the VM that reported a later one, else
// from the store. There it also registers this VM, or removes it if it has left. It returns the
// pause before the next call, in milliseconds.
func (m *Mesh) updateList(ctx context.Context) clock.Millis {
	if m.fetchList(ctx) || m.listConfirmed() {
		return listInterval
	}
	l, err := m.readList(ctx)
	switch {
	case err != nil:
	case !m.isLeaving():
		// An entry that an earlier process has marked as leaving differs from Self.
		m.register(ctx, slices.Contains(l.VMs, m.options.Self))
		m.registerFollowers(ctx, l.VMs)
	case hasName(l.VMs, m.options.Self.Name) && m.isRemovable():
		_ = m.unregister(ctx)
	}
	return m.listPause(len(l.VMs))
}

// hasName reports whether a list has a VM of that name.
func hasName(vms []member.VM, name string) bool {
	return slices.ContainsFunc(vms, func(v member.VM) bool { return v.Name == name })
}

// awaitList waits until the list of VMs is to be read again: for pause milliseconds at most.
func (m *Mesh) awaitList(ctx context.Context, pause clock.Millis) {
	if m.options.Clock.Sleep(ctx, listMinPause) != nil {
		return
	}
	fired, stop := m.options.Clock.AfterFunc(pause - listMinPause)
	defer stop()
	select {
	case <-ctx.Done():
	case <-fired:
	case <-m.relist:
	}
}

// StoreRestored records that the store came back from a copy, which may lack VMs that are
// running. The list is read again at once, and no VM counts as gone because it is not listed.
func (m *Mesh) StoreRestored() {
	m.mu.Lock()
	m.restoredAt, m.unlisted = m.options.Clock.Now(), true
	m.mu.Unlock()
	m.relistSoon()
}

// relistSoon starts the next update of the list early.
func (m *Mesh) relistSoon() {
	select {
	case m.relist <- struct{}{}:
	default:
	}
}

// restoredLocked reports whether the store came back from a copy less than restoreTime ago.
// The caller holds the lock.
func (m *Mesh) restoredLocked(now clock.Millis) bool { return now-m.restoredAt < restoreTime }

// registerFollowers registers the VMs of this zone that a restored list lacks, if this VM is the
// zone's first relay. Followers read the list only every listInterval.
func (m *Mesh) registerFollowers(ctx context.Context, listed []member.VM) {
	if m.Role() != Relay || !m.IsFirstRelay(m.options.Self.Name, m.options.Self.Zone) {
		return
	}
	for _, v := range m.missingFollowers(listed) {
		if err := m.options.AddFunc(ctx, v); err != nil {
			m.options.Log.Warn("registering another VM after a restore of the store failed", "vm", v.Name, "err", err)
		}
	}
}

// missingFollowers returns the running VMs of this zone that are not listed, if the store came
// back from a copy lately.
func (m *Mesh) missingFollowers(listed []member.VM) []member.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	if !m.restoredLocked(now) {
		return nil
	}
	var out []member.VM
	for _, p := range m.peers {
		alive := now-p.lastReceived < SilenceTimeout && !p.leaving
		if alive && p.vm.Zone == m.options.Self.Zone && !hasName(listed, p.vm.Name) {
			out = append(out, p.vm)
		}
	}
	return out
}

func (m *Mesh) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// isRemovable reports whether this VM is leaving and uses no primary any more.
func (m *Mesh) isRemovable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removable
}

// isUnlisted reports whether this VM has not registered again since the store came back from
// a copy.
func (m *Mesh) isUnlisted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unlisted
}

// listPause returns the pause before the next read of the list, after one that had this many
// VMs. A VM that knows others gets their messages soon.
func (m *Mesh) listPause(listed int) clock.Millis {
	switch {
	case m.isUnlisted():
		return listStartInterval
	case m.Registered() && len(m.Alive()) > 1:
		return listInterval
	case m.Registered() && listed > 1:
		return listAloneInterval
	}
	return listStartInterval
}

// register registers this VM unless it is listed already, as after a restart. That saves
// a write, and writes may take long when many VMs start at once.
func (m *Mesh) register(ctx context.Context, listed bool) {
	if !listed && m.options.RegisterFunc(ctx, m.options.Self) != nil {
		return
	}
	m.mu.Lock()
	first := !m.registered
	m.registered, m.unlisted = true, false
	if first {
		m.roster = m.roster.withRegistration(m.options.Clock.Now(), listed)
	}
	m.mu.Unlock()
	if first {
		m.options.RegisteredFunc()
	}
}

// Registered reports whether this VM is in the list of VMs.
func (m *Mesh) Registered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered
}

// RefreshVMs reads the list of VMs and merges it. This VM registers again soon if its row is missing, or
// is marked as leaving.
func (m *Mesh) RefreshVMs(ctx context.Context) error {
	l, err := m.readList(ctx)
	if err == nil && m.Registered() && !m.isLeaving() && !slices.Contains(l.VMs, m.options.Self) {
		m.relistSoon()
	}
	return err
}

func (m *Mesh) readList(ctx context.Context) (inner.List, error) {
	m.lists.Inc()
	l, err := m.options.ListFunc(ctx)
	if err == nil {
		m.adoptList(l)
		m.mu.Lock()
		m.roster = m.roster.withRead(m.options.Clock.Now())
		m.mu.Unlock()
	}
	return l, err
}

// mergeList merges the list of VMs into the peers. It removes a peer that is not listed and has
// sent nothing for unlistedTimeout, or for SilenceTimeout after it announced that it leaves, unless the
// store was restored within restoreTime. The list replaces the
// details of a VM only while the VM counts as down, since its own messages are more recent.
func (m *Mesh) mergeList(vms []member.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	listed := map[string]bool{}
	for _, v := range vms {
		listed[v.Name] = true
		// The mark may be that of an earlier process. Messages say whether the present one leaves.
		v.Leaving = false
		if v.Name == m.options.Self.Name {
			continue
		}
		p := m.peers[v.Name]
		if p == nil {
			m.peers[v.Name] = m.newPeer(v, now)
			continue
		}
		// Messages do not contain the size of their sender.
		p.vm.Size = v.Size
		if now-p.lastReceived >= SilenceTimeout {
			p.vm = v
		}
	}
	for name, p := range m.peers {
		timeout := unlistedTimeout
		if p.leaving {
			timeout = SilenceTimeout
		}
		if !listed[name] && now-p.lastReceived >= timeout && !m.restoredLocked(now) {
			delete(m.peers, name)
			m.removedAt = now
		}
	}
}

// relistIfAlone starts a read of the list if this VM is registered, hears no other and has not read the
// list for listAloneInterval. Its row may be gone, and claimants then don't wait for its lease.
func (m *Mesh) relistIfAlone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	if !m.registered || m.leaving || len(m.peers) == 0 || now-m.roster.readAt < listAloneInterval {
		return
	}
	for _, p := range m.peers {
		if now-p.lastReceived < SilenceTimeout {
			return
		}
	}
	m.relistSoon()
}

// newPeer returns a peer from which no message has come. The first message number depends
// on the process of this VM, so that the echo of a number of an earlier process is not
// taken for one of this process.
func (m *Mesh) newPeer(v member.VM, now clock.Millis) *peer {
	return &peer{vm: v, lastReceived: now - SilenceTimeout, lastSent: now - silentInterval, rosterSentAt: now - rosterInterval, lastNumber: m.process % firstNumberChoices * sentWindow}
}

// firstNumberChoices is the number of first message numbers to choose from, sentWindow
// apart.
const firstNumberChoices = 1 << 24
