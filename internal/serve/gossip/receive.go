package gossip

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// Receive handles a datagram from the VM of that name. It ignores messages that are
// malformed or name another sender.
func (m *Mesh) Receive(name string, datagram []byte) {
	m.received.Inc()
	if r, ok := decodeRoster(datagram); ok {
		if r.From == name {
			m.mergeRoster(r)
		}
		return
	}
	if e, ok := decodeEvacuation(datagram); ok {
		if e.From == name && name != m.options.Self.Name && m.options.ReceiveEvacuationFunc != nil {
			m.options.ReceiveEvacuationFunc(e)
		}
		return
	}
	g, down, err := decode(datagram)
	if err != nil || g.From != name || name == m.options.Self.Name {
		return
	}
	toLocalTime, restarted := m.recordMessage(g)
	if restarted {
		m.options.RestartedFunc(g.Address)
	}
	if down != nil {
		m.mergeDown(g, *down)
	}
	m.options.ReceiveFunc(g, toLocalTime)
}

// decodeRoster decodes a Roster; it returns false for another message.
func decodeRoster(datagram []byte) (inner.Roster, bool) {
	var r inner.Roster
	f, err := inner.Unpack(datagram)
	return r, err == nil && f.Kind == inner.KindRoster && inner.Decode(f, &r) == nil
}

// decodeEvacuation decodes an Evacuation; it returns false for another message.
func decodeEvacuation(datagram []byte) (inner.Evacuation, bool) {
	var e inner.Evacuation
	f, err := inner.Unpack(datagram)
	return e, err == nil && f.Kind == inner.KindEvacuation && inner.Decode(f, &e) == nil
}

// decode decodes a Gossip or a Summary. The latter is returned as a Gossip, and in its first
// part with the VMs that are down.
func decode(datagram []byte) (inner.Gossip, *downList, error) {
	f, err := inner.Unpack(datagram)
	if err != nil {
		return inner.Gossip{}, nil, err
	}
	switch f.Kind {
	case inner.KindGossip:
		var g inner.Gossip
		err := inner.Decode(f, &g)
		return g, nil, err
	case inner.KindSummary:
		var s inner.Summary
		if err := inner.Decode(f, &s); err != nil {
			return inner.Gossip{}, nil, err
		}
		c, err := inner.DecodeContent(s)
		g := inner.Gossip{
			From: s.From, Address: s.Address, Process: s.Process, Sequence: s.Sequence, Echo: s.Echo, EchoAge: s.EchoAge, Leaving: s.Leaving,
			Zone: s.Zone, Region: s.Region, Version: c.Version, VersionAge: c.VersionAge, DirectoryHash: c.DirectoryHash, DirectoryAge: c.DirectoryAge,
			Scope: c.Scope, Covered: c.Covered, Known: c.Known, Usages: c.Usages, Views: c.Views,
		}
		if !c.First {
			return g, nil, err
		}
		return g, &downList{vms: c.Down, zones: c.DownZones}, err
	}
	return inner.Gossip{}, nil, &inner.FrameError{Detail: "no gossip"}
}

// recordMessage records a message from a VM. The function toLocalTime turns the age of an
// event at the sender into a time of this VM's clock: the send time of the message that the
// sender echoes, plus EchoAge, less the age. The sender cannot have received that message
// before it was sent, so the result is never later than the event. toLocalTime is nil when
// that send time is not kept. The result restarted is set when an earlier message came from
// another process of that VM.
func (m *Mesh) recordMessage(g inner.Gossip) (toLocalTime func(clock.Millis) clock.Millis, restarted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	p := m.peers[g.From]
	if p == nil {
		p = m.newPeer(member.VM{Name: g.From}, now)
		m.peers[g.From] = p
	}
	if m.role == Relay && !g.Leaving && m.roster.isStranger(g.From, now) {
		m.relistSoon()
	}
	if p.process != g.Process {
		restarted = p.process != 0
		p.process, p.highestNumber = g.Process, 0
	}
	p.vm.Address, p.vm.Zone, p.vm.Region, p.leaving, p.lastReceived, p.unanswered = g.Address, g.Zone, g.Region, g.Leaving, now, 0
	if g.Sequence > p.highestNumber {
		p.highestNumber, p.highestNumberAt = g.Sequence, now
	}
	if g.Echo == 0 || g.Echo > p.lastNumber || p.lastNumber-g.Echo >= sentWindow {
		return nil, restarted
	}
	sent := p.sentTimes[g.Echo%sentWindow]
	return func(age clock.Millis) clock.Millis { return min(sent+g.EchoAge-age, now) }, restarted
}
