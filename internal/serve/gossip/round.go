package gossip

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/traffic"
	"github.com/sycamoredoor/sycamoredoor/internal/core/overlay"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// datagram is a message to send.
type datagram struct {
	address string
	body    []byte
	kind    traffic.Kind
	// otherRegion is set if the receiver is in another region.
	otherRegion bool
}

// part is a part of a message that fits into a datagram. It is the same for all receivers;
// the fields of a message that depend on the receiver are not set.
type part struct {
	gossip inner.Gossip
	// content is the encoded content of a Summary, or nil for a Gossip.
	content []byte
}

// scopes holds the scope of each content.
var scopes = map[overlay.Content]inner.Scope{overlay.Own: inner.ScopeVM, overlay.Zone: inner.ScopeZone, overlay.Summary: inner.ScopeAll}

// kinds holds the kind of traffic of each content.
var kinds = map[overlay.Content]traffic.Kind{overlay.Own: traffic.GossipOwn, overlay.Zone: traffic.GossipZone, overlay.Summary: traffic.GossipSummary}

// round sends each VM the messages that are due.
func (m *Mesh) round(ctx context.Context) {
	m.options.BeginRoundFunc()
	m.observe()
	m.relistIfAlone()
	for _, d := range m.datagrams() {
		m.bytes.Add(len(d.body))
		m.sent.Inc()
		if d.otherRegion {
			traffic.AddBetweenRegions(d.kind, len(d.body))
		}
		// The error is ignored: an unreachable VM is detected by its silence.
		_ = m.options.SendFunc(ctx, d.address, d.body)
	}
}

// observe logs a change of this VM's role, and counts the registered VMs that it does not
// take for running.
func (m *Mesh) observe() {
	members, role := len(m.Members()), m.Role()
	m.down.Set(float64(m.KnownCount() - members))
	m.known.Set(float64(m.KnownCount()))
	m.mu.Lock()
	before := m.role
	m.role = role
	m.mu.Unlock()
	if role != before {
		m.options.Log.Info("gossip role changed", "role", role, "before", before, "vms", members)
	}
}

// datagrams returns the messages to send in a round. Receivers date what the content reports
// by the time of the last message from them, so that time counts from before the content was
// made: this VM may be suspended in between.
func (m *Mesh) datagrams() []datagram {
	started := m.options.Clock.Now()
	targets := m.dueTargets(started)
	evacuation := m.evacuationDatagram()
	parts := map[overlay.Content][]part{}
	for _, t := range targets {
		if parts[t.Content] == nil {
			parts[t.Content] = m.parts(scopes[t.Content])
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	roster := m.rosterDatagramLocked(started)
	var out []datagram
	for _, t := range targets {
		p := m.peers[t.Name]
		if p == nil {
			continue
		}
		otherRegion := p.vm.Region != m.options.Self.Region
		body := roster
		if body == nil {
			body = m.strangerDatagramLocked(p, started)
		}
		if body != nil {
			out = append(out, datagram{address: p.vm.Address, body: body, kind: traffic.Roster, otherRegion: otherRegion})
		}
		p.unanswered++
		p.lastSent = started
		if evacuation != nil {
			out = append(out, datagram{address: p.vm.Address, body: evacuation})
		}
		for _, content := range parts[t.Content] {
			out = append(out, datagram{address: p.vm.Address, body: m.encodeFor(p, content, started), kind: kinds[t.Content], otherRegion: otherRegion})
		}
	}
	return out
}

// evacuationDatagram returns the datagram on evacuated zones for a round, or nil if none is to be sent.
func (m *Mesh) evacuationDatagram() []byte {
	if m.options.EvacuationFunc == nil {
		return nil
	}
	e := m.options.EvacuationFunc()
	if e == nil {
		return nil
	}
	e.From = m.options.Self.Name
	return inner.Pack(inner.Encode(inner.KindEvacuation, *e))
}

// dueTargets returns the VMs to which a message is due at time now. After fullRateTries
// unanswered rounds, a VM that counts as down gets messages only every silentInterval. A VM
// of another region gets them only every otherRegionInterval, unless the last is unanswered
// or the round includes other regions.
func (m *Mesh) dueTargets(now clock.Millis) []overlay.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	urgent := m.otherRegionsUrgent
	m.otherRegionsUrgent = false
	var out []overlay.Target
	for _, t := range overlay.Targets(m.options.Self.Name, m.nodesLocked(now)) {
		p := m.peers[t.Name]
		if p.vm.Region != m.options.Self.Region && p.unanswered == 0 && !urgent && now-p.lastSent < otherRegionInterval-minInterval {
			continue
		}
		if now-p.lastReceived >= SilenceTimeout && p.unanswered >= fullRateTries && now-p.lastSent < silentInterval {
			continue
		}
		out = append(out, t)
	}
	return out
}

// parts returns the content of a scope in parts. It is called without the lock, since
// ContentFunc may wait for locks whose holders call the mesh.
func (m *Mesh) parts(s inner.Scope) []part {
	g := m.options.ContentFunc(s)
	if s == inner.ScopeVM {
		var out []part
		for _, g := range m.splitMessage(g, 0) {
			out = append(out, part{gossip: g})
		}
		return out
	}
	down := m.downOf(s)
	var out []part
	for i, g := range m.splitMessage(g, down.size()) {
		c := inner.SummaryContent{
			Scope: g.Scope, Version: g.Version, VersionAge: g.VersionAge, DirectoryHash: g.DirectoryHash, DirectoryAge: g.DirectoryAge, Covered: g.Covered, Known: g.Known, Usages: g.Usages, Views: g.Views,
		}
		if i == 0 {
			c.First, c.Down, c.DownZones = true, down.vms, down.zones
		}
		out = append(out, part{content: inner.EncodeContent(c)})
	}
	return out
}

// encodeFor fills in the sender and the fields that depend on the receiver, and encodes the
// message. The content is from the time started. The caller holds the lock.
func (m *Mesh) encodeFor(p *peer, content part, started clock.Millis) []byte {
	self := m.options.Self
	p.lastNumber++
	p.sentTimes[p.lastNumber%sentWindow] = started
	echoAge := started - p.highestNumberAt
	if content.content != nil {
		return inner.Pack(inner.Encode(inner.KindSummary, inner.Summary{
			From: self.Name, Address: self.Address, Process: m.process, Sequence: p.lastNumber, Echo: p.highestNumber, EchoAge: echoAge,
			Leaving: m.leaving, Zone: self.Zone, Region: self.Region, Content: content.content,
		}))
	}
	g := content.gossip
	g.From, g.Address, g.Process, g.Leaving, g.Zone, g.Region = self.Name, self.Address, m.process, m.leaving, self.Zone, self.Region
	g.Sequence, g.Echo, g.EchoAge = p.lastNumber, p.highestNumber, echoAge
	return inner.Pack(inner.Encode(inner.KindGossip, g))
}
