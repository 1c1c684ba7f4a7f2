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
	// tickInterval is the pause between two looks at the node's timers.
	tickInterval = 50 * clock.Millis(1)
	// storeInterval is the pause between two reads of the record by a root.
	storeInterval = 500 * clock.Millis(1)
	// listInterval is the pause between two reads of the platform's list by a root.
	listInterval = clock.Second
	// startInterval is the same while there is no member set.
	startInterval = 100 * clock.Millis(1)
)

// Run works until the context ends.
func (m *Membership) Run(ctx context.Context) {
	defer close(m.done)
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){m.tick, m.readStore, m.readList, m.fetchWhenNeeded} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part(ctx)
		}()
	}
	parts.Wait()
}

func (m *Membership) tick(ctx context.Context) {
	for ctx.Err() == nil {
		m.step(heartbeat.State.Tick)
		_ = m.options.Clock.Sleep(ctx, tickInterval)
	}
}

// readsStore reports whether this VM reads the record itself: a root for its
// zone, and a VM that has no member set yet.
func (m *Membership) readsStore() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.node.Members()) == 0 || m.node.IsRoot()
}

func (m *Membership) readStore(ctx context.Context) {
	for ctx.Err() == nil {
		if m.readsStore() {
			m.readRecord(ctx)
		}
		_ = m.options.Clock.Sleep(ctx, storeInterval)
	}
}

func (m *Membership) readRecord(ctx context.Context) {
	began := m.options.Clock.Now()
	b, err := configuration.Read(ctx, m.options.Store, m.bundle.Load())
	if err != nil {
		return
	}
	m.Adopt(ctx, b)
	m.step(func(n heartbeat.State, _ clock.Millis) (heartbeat.State, []heartbeat.Message) {
		return n.WithStoreRead(b.Record.Revision, began), nil
	})
}

// Adopt puts a later version in force.
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
			Version: b.Record.Revision, Members: b.Members, OldMembers: b.Old,
			First: len(b.Old) == 0 && b.Record.Since == b.Record.Revision,
		}, now)
	})
	m.options.ChangedFunc(ctx)
	m.options.Log.Info("configuration in force", "vm", m.options.Self.Name, "version", b.Record.Version, "revision", b.Record.Revision)
}

func (m *Membership) readList(ctx context.Context) {
	for m.options.Clock.Sleep(ctx, m.listPause()) == nil {
		if m.readsStore() {
			m.reconcile(ctx)
		}
	}
}

func (m *Membership) listPause() clock.Millis {
	if _, members, _ := m.Set(); len(members) == 0 {
		return startInterval
	}
	return listInterval
}

// reconcile brings the member set level with the platform's list. The first
// root by name does so, or anybody while there is no member set.
func (m *Membership) reconcile(ctx context.Context) {
	list, err := m.options.Store.ListFunc(ctx)
	if err != nil {
		return
	}
	names := make([]string, len(list))
	for i, v := range list {
		names[i] = v.Name
	}
	m.mu.Lock()
	now := m.options.Clock.Now()
	m.node = m.node.WithVMList(names, identity(list), now)
	revision, members, first := m.node.Version(), m.node.Members(), m.node.IsFirstRoot()
	ready := len(members) == 0 || first && m.node.AcceptedVersion() >= revision
	next := nextSet(members, list, func(name string) bool { return m.node.Ended(name, now) })
	m.mu.Unlock()
	if ready && len(next) > 0 && !slices.Equal(next, members) {
		if configuration.SetMembers(ctx, m.options.Store, revision, next) == nil {
			m.counters.changes.Inc()
			m.readRecord(ctx)
		}
	}
}

func identity(list []member.VM) uint64 {
	h := fnv.New64a()
	for _, v := range configuration.Sorted(list) {
		_, _ = h.Write([]byte(v.Name + " " + v.Address + "\n"))
	}
	return h.Sum64()
}

// nextSet returns the set that follows a member set towards the platform's list.
// Members that have ended go at once; of the others that are off the list, a
// majority of the earlier set stays, so that it can accept the change.
func nextSet(members, list []member.VM, ended func(name string) bool) []member.VM {
	next := configuration.Sorted(list)
	spare := (len(members) - 1) / 2
	for _, v := range members {
		if slices.ContainsFunc(list, func(o member.VM) bool { return o.Name == v.Name }) || ended(v.Name) {
			continue
		}
		if spare > 0 {
			spare--
			continue
		}
		next = append(next, v)
	}
	return configuration.Sorted(next)
}
