package entry

import (
	"bytes"
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/retry"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// goOn runs a batch in the open transaction.
func (s *session) goOn(b *batch) error {
	s.assertKey()
	s.mu.Lock()
	x := s.running
	s.mu.Unlock()
	if x == nil {
		return errTerminated
	}
	s.block = s.block || b.begins()
	if err := x.Send(inner.Encode(inner.KindBatch, b.out)); err != nil {
		return s.unknown(b, &outcome.Unknown{Detail: "the holder of " + s.pinned + " was lost: " + err.Error()})
	}
	return s.conclude(b, s.relay(*x, s.pinned, false))
}

// relay passes the answer to a batch on to the caller. Other errors than
// outcomes mean that the caller is gone.
func (s *session) relay(x inner.Exchange, server string, first bool) error {
	for {
		f, err := x.Receive()
		if err != nil {
			return s.lost(first, "the holder of "+server+" was lost: "+err.Error())
		}
		switch f.Kind {
		case inner.KindData:
			if err := s.conn.Write(f.Body); err != nil {
				return err
			}
		case inner.KindRefuse:
			return s.refused(f, first)
		case inner.KindEnd:
			return s.ended(f, server, first)
		default:
			return s.lost(first, "the holder of "+server+" sent an unknown frame")
		}
	}
}

func (s *session) lost(first bool, detail string) error {
	if first {
		s.drop()
	}
	return &outcome.Unknown{Detail: detail}
}

func (s *session) refused(f inner.Frame, first bool) error {
	var m inner.Refuse
	if err := inner.Decode(f, &m); err != nil {
		return s.lost(first, err.Error())
	}
	if first {
		s.drop()
	}
	s.entry.directory.learn(s.database, m.State, s.entry.options.Clock.Now())
	return &outcome.NotRun{Reason: m.Reason, Code: m.Code, Detail: m.Detail}
}

func (s *session) ended(f inner.Frame, server string, first bool) error {
	var m inner.End
	if err := inner.Decode(f, &m); err != nil {
		return s.lost(first, err.Error())
	}
	if m.Unknown != "" {
		return s.lost(first, m.Unknown)
	}
	invariant.Check(m.Status == 0 || bytes.HasSuffix(m.Raw, caller.Ready(m.Status)), invariant.WholeAnswer,
		"backend server %s gave an answer that ends in status %q without its ReadyForQuery", server, m.Status)
	if m.Unrecorded && !s.record(m.Mark) {
		return s.lost(first, "the write could not be recorded for session "+s.name)
	}
	if m.Status != statusIdle {
		s.pinned = server
		s.block = s.block || m.Status != 0
		s.skipping = m.Status == 0 && hasError(m.Raw)
		return s.conn.Write(m.Raw)
	}
	if m.Open {
		s.release()
	} else {
		s.drop()
	}
	s.block = false
	clear(s.portals)
	s.entry.directory.see(server, m.Mark, s.entry.options.Clock.Now())
	s.floor = s.floor.Max(m.Mark)
	s.entry.roaming.raise(s.database, s.name, s.floor)
	if s.write && s.name != "" {
		return s.conn.Write(append(caller.Parameter(hintPrefix+"token", token(s.database, s.floor)), m.Raw...))
	}
	return s.conn.Write(m.Raw)
}

// recordWait bounds the search for a holder that remembers a write, in milliseconds.
const recordWait = 5 * clock.Second

// record has the present holder of the primary remember a write, so that no VM
// reads behind it. It reports whether that was done.
func (s *session) record(m floor.ReplicationPosition) bool {
	ctx, cancel := context.WithTimeout(context.Background(), recordWait.Duration())
	defer cancel()
	o := s.entry.options
	for ctx.Err() == nil {
		d, err := s.entry.document(ctx)
		if err != nil {
			continue
		}
		b, _ := d.Database(s.database)
		if p, ok := s.entry.directory.primary(b); ok && o.RecordFunc(ctx, p, s.database, s.name, m) == nil {
			return true
		}
		_ = o.Clock.Sleep(ctx, retry.MaxBackoff)
	}
	return false
}

// statusIdle is the status of a ReadyForQuery outside a transaction.
const statusIdle = 'I'

// hasError reports whether an answer ends in an error, after which the server
// passes over messages up to a Sync.
func hasError(raw []byte) bool {
	for m, rest := pgwire.Next(raw); m != nil; m, rest = pgwire.Next(rest) {
		if m.Type() == 'E' {
			return true
		}
	}
	return false
}
