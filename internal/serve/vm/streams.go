package vm

import (
	"context"
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/peer"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/entry"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// askTimeout bounds a question to another VM, in milliseconds.
const askTimeout = clock.Second

// openTimeout bounds the wait for a connection to another VM, in milliseconds. A failed VM
// must not delay a request for longer, since another VM may hold the server by then.
const openTimeout = 400 * clock.Millis(1)

// acceptStream serves one stream of another VM. On the link between regions, its answers
// count as control traffic until a transaction of a client account begins.
func (v *VM) acceptStream(ctx context.Context, name string, s peer.Stream) {
	region := v.regionOf(name)
	s.LabelFunc(peer.Label{Region: region, Control: true})
	beginFunc := func(b inner.Begin) {
		s.LabelFunc(peer.Label{Region: region, Account: b.Account, Weight: b.Weight})
	}
	for v.serveExchange(ctx, s.Exchange, beginFunc) {
	}
}

// regionOf returns the region of a VM, or "" when it is unknown.
func (v *VM) regionOf(name string) string {
	for _, m := range v.membership.Alive() {
		if m.Name == name {
			return m.Region
		}
	}
	return ""
}

// serveExchange serves one transaction or question of an exchange and reports whether
// another may follow. It calls beginFunc before it serves a transaction.
func (v *VM) serveExchange(ctx context.Context, x inner.Exchange, beginFunc func(inner.Begin)) bool {
	f, err := x.Receive()
	for err == nil && f.Kind == inner.KindCancel {
		// The cancel was for a transaction that has ended or not begun.
		f, err = x.Receive()
	}
	if err != nil {
		return false
	}
	switch f.Kind {
	case inner.KindBegin:
		var b inner.Begin
		if inner.Decode(f, &b) == nil {
			beginFunc(b)
			return v.serveBegin(ctx, b, x)
		}
	case inner.KindQuestion:
		var q inner.Question
		if inner.Decode(f, &q) == nil {
			_ = x.Send(inner.Encode(inner.KindAnswer, v.answer(ctx, q)))
		}
	}
	return false
}

// serveBegin serves a transaction if this VM runs the server's holder, and refuses it
// otherwise. It reports whether another may follow.
func (v *VM) serveBegin(ctx context.Context, b inner.Begin, x inner.Exchange) bool {
	if h := v.holders.get(b.Server); h != nil {
		return h.Serve(ctx, b, x)
	}
	_ = x.Send(inner.Encode(inner.KindRefusal, inner.Refusal{
		Reason: outcome.ReasonNotHolder, Code: outcome.CodeUnavailable,
		Detail: "the VM does not hold backend server " + b.Server, State: inner.ServerState{Server: b.Server},
	}))
	return false
}

// openWrapped opens an exchange as openExchange does and wraps it with ExchangeFunc.
func (v *VM) openWrapped(ctx context.Context, s document.Server, account string, weight int) (inner.Exchange, error) {
	x, err := v.openExchange(ctx, s, account, weight)
	if err != nil || v.options.ExchangeFunc == nil {
		return x, err
	}
	return v.options.ExchangeFunc(x), nil
}

// openExchange opens an exchange with the holder of a server. When this VM is the holder,
// the exchange stays within the process.
func (v *VM) openExchange(ctx context.Context, s document.Server, account string, weight int) (inner.Exchange, error) {
	m, ok := v.holderOf(s)
	if !ok {
		return inner.Exchange{}, errors.New("no VM is known")
	}
	if m.Name != v.self.Name {
		v.entry.CountHop()
		ctx, cancel := context.WithTimeout(ctx, openTimeout.Duration())
		defer cancel()
		return v.transport.Open(ctx, m.Address, peer.Label{Region: m.Region, Account: account, Weight: weight})
	}
	local, remote := inner.Pipe()
	go func() {
		defer remote.Close()
		// ctx is that of one request, but a transaction can take several requests.
		v.serveExchange(context.WithoutCancel(ctx), remote, func(inner.Begin) {})
	}()
	return local, nil
}

// ask puts one question to another VM, or answers it here when m is this VM.
func (v *VM) ask(ctx context.Context, m member.VM, q inner.Question) (inner.Answer, error) {
	if m.Name == v.self.Name {
		return peer.CheckAnswer(v.answer(ctx, q))
	}
	return v.askWithTimeout(ctx, m.Address, peer.Label{Region: m.Region, Control: true}, q)
}

// askAt puts one question to the VM at an address. The VM's region is not known, so the
// question is not paced.
func (v *VM) askAt(ctx context.Context, address string, q inner.Question) (inner.Answer, error) {
	return v.askWithTimeout(ctx, address, peer.Label{Control: true}, q)
}

// askWithTimeout puts one question to the VM at an address, for at most askTimeout.
func (v *VM) askWithTimeout(ctx context.Context, address string, label peer.Label, q inner.Question) (inner.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	return v.transport.Ask(ctx, address, label, q)
}

// askMember puts a question to a member. It uses the member's latest address instead of
// that in m if the member is alive.
func (v *VM) askMember(ctx context.Context, m member.VM, q inner.Question) (inner.Answer, error) {
	for _, alive := range v.membership.Alive() {
		if alive.Name == m.Name {
			m = alive
		}
	}
	return v.ask(ctx, m, q)
}

// answer answers a question of another VM or of this one.
func (v *VM) answer(ctx context.Context, q inner.Question) inner.Answer {
	if q.Topic == inner.TopicCancel {
		v.entry.Cancel(q.Process, q.Secret)
		return inner.Answer{}
	}
	if q.Topic == inner.TopicConfiguration {
		return v.membership.Serve(q)
	}
	if q.Topic == inner.TopicShare {
		return v.limiter.Serve(q)
	}
	if q.Topic == inner.TopicPrimaryLost {
		return v.answerLostTerm(q.Database)
	}
	h := v.holders.get(q.Server)
	if h == nil {
		return inner.Answer{Error: "the VM does not hold backend server " + q.Server}
	}
	switch q.Topic {
	case inner.TopicState:
		state, held := h.State()
		if !held {
			return inner.Answer{Error: "the VM does not hold backend server " + q.Server}
		}
		return inner.Answer{State: state}
	case inner.TopicFloor:
		position, err := h.Floor(ctx, q.Session)
		if err != nil {
			return inner.Answer{Error: err.Error()}
		}
		return inner.Answer{Floor: position}
	}
	if q.Topic == inner.TopicRecordFloor {
		if err := h.RecordFloor(ctx, q.Session, q.Floor); err != nil {
			return inner.Answer{Error: err.Error()}
		}
		return inner.Answer{}
	}
	return inner.Answer{Error: "unknown question " + q.Topic}
}

// recordFloor records the position of a write of a named session at the primary's holder.
func (v *VM) recordFloor(ctx context.Context, primary document.Server, database, session string, position floor.ReplicationPosition) error {
	m, ok := v.holderOf(primary)
	if !ok {
		return errors.New("no VM is known")
	}
	_, err := v.ask(ctx, m, inner.Question{Topic: inner.TopicRecordFloor, Database: database, Server: primary.Name, Session: session, Floor: position})
	return err
}

// askFloor asks the primary's holder for the floor of a named session.
func (v *VM) askFloor(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error) {
	m, ok := v.holderOf(primary)
	if !ok {
		return floor.ReplicationPosition{}, errors.New("no VM is known")
	}
	a, err := v.ask(ctx, m, inner.Question{Topic: inner.TopicFloor, Database: database, Server: primary.Name, Session: session})
	return a.Floor, err
}

// confirmTerm asks the holders of a database's servers and reports whether a majority of
// the servers know no term above the given one. A holder that does not answer counts
// against it.
func (v *VM) confirmTerm(ctx context.Context, database string, term floor.Term) bool {
	d := v.membership.Latest()
	b, _ := d.Database(database)
	answers := make(chan bool, len(b.Servers))
	for _, s := range b.Servers {
		go func() {
			m, ok := v.holderOf(s)
			if !ok {
				answers <- false
				return
			}
			a, err := v.ask(ctx, m, inner.Question{Topic: inner.TopicState, Database: database, Server: s.Name})
			answers <- err == nil && a.State.Term <= term
		}()
	}
	confirmed := 0
	for range b.Servers {
		if <-answers {
			confirmed++
		}
	}
	return confirmed > len(b.Servers)/2
}

// forwardCancel forwards a cancel request to every VM whose tag is the upper half of the
// process ID; tags are hashes, so several VMs may share one. It drops requests with a
// secret that is too short or begins with four zero bytes.
func (v *VM) forwardCancel(ctx context.Context, process uint32, secret []byte) {
	if len(secret) < 4 || binary.BigEndian.Uint32(secret) == 0 {
		return
	}
	for _, m := range v.membership.Alive() {
		if entry.VMTag(m.Name) == uint16(process>>16) {
			_, _ = v.ask(ctx, m, inner.Question{Topic: inner.TopicCancel, Process: process, Secret: secret})
		}
	}
}
