package membership

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/heartbeat"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
)

const (
	// tickInterval is the pause between two ticks of the heartbeat state, in milliseconds.
	tickInterval = 50 * clock.Millis(1)
	// storePollInterval is the pause between two reads of the record by a root, in
	// milliseconds.
	storePollInterval = 500 * clock.Millis(1)
	// listPollInterval is the pause between two reads of the platform's list by a root,
	// in milliseconds.
	listPollInterval = clock.Second
	// startListInterval is the same while there is no member set, in milliseconds.
	startListInterval = 100 * clock.Millis(1)
)

// Run exchanges heartbeats and reads the platform's record and list until the context ends.
func (m *Membership) Run(ctx context.Context) {
	defer close(m.done)
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){m.tick, m.pollStore, m.pollList, m.fetchWhenNeeded} {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			task(ctx)
		}()
	}
	tasks.Wait()
}

func (m *Membership) tick(ctx context.Context) {
	for ctx.Err() == nil {
		m.step(heartbeat.State.Tick)
		_ = m.options.Clock.Sleep(ctx, tickInterval)
	}
}

// shouldReadStore reports whether this VM reads the platform's record and list itself: it is
// the root of its zone, or has no member set yet.
func (m *Membership) shouldReadStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.state.Members()) == 0 || m.state.IsRoot()
}

func (m *Membership) pollStore(ctx context.Context) {
	for ctx.Err() == nil {
		if m.shouldReadStore() {
			m.readRecord(ctx)
		}
		_ = m.options.Clock.Sleep(ctx, storePollInterval)
	}
}

// readRecord reads the platform's record, adopts its revision and records in the heartbeat
// state that this was the newest at some time after the read began. Errors are ignored,
// since the read is repeated.
func (m *Membership) readRecord(ctx context.Context) {
	startedAt := m.options.Clock.Now()
	b, err := configuration.Read(ctx, m.options.Store, m.bundle.Load())
	if err != nil {
		return
	}
	m.Adopt(ctx, b)
	m.step(func(n heartbeat.State, _ clock.Millis) (heartbeat.State, []heartbeat.Message) {
		return n.WithStoreRead(b.Record.Revision, startedAt), nil
	})
}

// Adopt replaces the present bundle by one with a later revision and calls ChangedFunc. An
// earlier or equal revision changes nothing.
func (m *Membership) Adopt(ctx context.Context, b *configuration.Bundle) {
	m.mu.Lock()
	if known := m.bundle.Load(); known != nil && known.Record.Revision >= b.Record.Revision {
		m.mu.Unlock()
		return
	}
	m.bundle.Store(b)
	m.mu.Unlock()
	m.step(func(n heartbeat.State, now clock.Millis) (heartbeat.State, []heartbeat.Message) {
		return n.WithMemberSet(heartbeat.MemberSet{
			Version: b.Record.Revision, Members: b.Members, OldMembers: b.OldMembers,
			First: len(b.OldMembers) == 0 && b.Record.MembersSince == b.Record.Revision,
		}, now)
	})
	m.options.ChangedFunc(ctx)
	m.options.Log.Info("configuration in force", "vm", m.options.Self.Name, "version", b.Record.Version, "revision", b.Record.Revision)
}

func (m *Membership) pollList(ctx context.Context) {
	for m.options.Clock.Sleep(ctx, m.currentListInterval()) == nil {
		if m.shouldReadStore() {
			m.reconcile(ctx)
		}
	}
}

func (m *Membership) currentListInterval() clock.Millis {
	if _, members, _ := m.MemberSet(); len(members) == 0 {
		return startListInterval
	}
	return listPollInterval
}

// reconcile reads the platform's list, records it in the heartbeat state and changes the
// member set towards it. Only the first root by name changes the set, once the present
// revision is accepted, or any VM while there is no member set.
func (m *Membership) reconcile(ctx context.Context) {
	list, err := m.options.Store.ListVMsFunc(ctx)
	if err != nil {
		return
	}
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.Name
	}
	m.mu.Lock()
	now := m.options.Clock.Now()
	m.state = m.state.WithVMList(names, listID(list), now)
	revision, members, isFirstRoot := m.state.Version(), m.state.Members(), m.state.IsFirstRoot()
	canChange := len(members) == 0 || isFirstRoot && m.state.AcceptedVersion() >= revision
	next := nextMemberSet(members, list, func(name string) bool { return m.state.Ended(name, now) })
	m.mu.Unlock()
	if canChange && len(next) > 0 && !slices.Equal(next, members) {
		if configuration.SetMembers(ctx, m.options.Store, revision, next) == nil {
			m.counters.setChanges.Inc()
			m.readRecord(ctx)
		}
	}
}

// listID identifies a list of VMs by their names and addresses, whatever its order.
func listID(list []member.VM) uint64 {
	h := fnv.New64a()
	for _, v := range configuration.SortedMembers(list) {
		_, _ = h.Write([]byte(v.Name + " " + v.Address + "\n"))
	}
	return h.Sum64()
}

// nextMemberSet returns the next member set on the way to the platform's list. Members that
// have ended are removed at once, since acceptance does not wait for them. Of the other
// members that are no longer listed, only a minority is removed, so that a majority of the
// earlier set remains to accept the change.
func nextMemberSet(members, list []member.VM, ended func(name string) bool) []member.VM {
	next := configuration.SortedMembers(list)
	removable := (len(members) - 1) / 2
	for _, v := range members {
		if slices.ContainsFunc(list, func(o member.VM) bool { return o.Name == v.Name }) || ended(v.Name) {
			continue
		}
		if removable > 0 {
			removable--
			continue
		}
		next = append(next, v)
	}
	return configuration.SortedMembers(next)
}
