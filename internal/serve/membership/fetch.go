package membership

import (
	"context"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
)

// fetchRetryDelay is the pause after a fetch that found no later revision, in milliseconds.
const fetchRetryDelay = 50 * clock.Millis(1)

// fetchWhenNeeded fetches a later revision as soon as heartbeats announce one and, at the
// start, the first revision from any VM, until the context ends.
func (m *Membership) fetchWhenNeeded(ctx context.Context) {
	m.wakeFetch()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.fetchWakeup:
		}
		if !m.fetch(ctx) && m.isBehind() {
			m.wakeFetch()
			_ = m.options.Clock.Sleep(ctx, fetchRetryDelay)
		}
	}
}

// isBehind reports whether this VM has no revision or a later one is known.
func (m *Membership) isBehind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Version() == 0 || m.state.NewestVersion() > m.state.Version()
}

// fetch asks the sources in turn for a later revision. If none has one, it reads the
// platform's record, provided that shouldReadStore allows it. It reports whether there was
// a later revision.
func (m *Membership) fetch(ctx context.Context) bool {
	for _, address := range m.fetchSources() {
		b, err := m.ask(ctx, address)
		if err != nil || b.Record.Revision <= m.Revision() {
			continue
		}
		m.Adopt(ctx, b)
		return true
	}
	before := m.Revision()
	if m.shouldReadStore() {
		m.readRecord(ctx)
	}
	return m.Revision() > before
}

// fetchSources returns the addresses of the VMs to fetch from: the relay or, at a root, the
// other roots. If none of their addresses is known, it returns Options.Peers.
func (m *Membership) fetchSources() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, name := range m.state.FetchSources() {
		if a := m.addressLocked(name); a != "" {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		out = append(out, m.options.Peers...)
	}
	return out
}

// ask gets the bundle of another VM. Objects that this VM has are not sent again.
func (m *Membership) ask(ctx context.Context, address string) (*configuration.Bundle, error) {
	known := m.bundle.Load()
	q := inner.Question{Topic: inner.TopicConfiguration}
	if known != nil {
		q.KnownObjects = slices.Sorted(maps.Keys(known.Objects))
	}
	answer, err := m.options.AskFunc(ctx, address, q)
	if err != nil {
		return nil, err
	}
	return configuration.NewBundle(answer.Payload, func(hash string) ([]byte, error) {
		if body := answer.Objects[hash]; body != nil {
			return body, nil
		}
		if known != nil && known.Objects[hash] != nil {
			return known.Objects[hash], nil
		}
		return nil, errors.Errorf("VM at %s did not send object %s", address, hash)
	})
}

// Serve answers a VM that asks for the configuration.
func (m *Membership) Serve(q inner.Question) inner.Answer {
	b := m.bundle.Load()
	if b == nil {
		return inner.Answer{Error: "the VM has no configuration yet"}
	}
	out := inner.Answer{Payload: b.RawRecord, Objects: map[string][]byte{}}
	for hash, body := range b.Objects {
		if !slices.Contains(q.KnownObjects, hash) {
			out.Objects[hash] = body
		}
	}
	return out
}
