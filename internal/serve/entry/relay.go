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

// runInTransaction runs a batch in the open transaction.
func (s *session) runInTransaction(b *batch) error {
	s.assertKeyChecked()
	s.mu.Lock()
	x := s.exchange
	s.mu.Unlock()
	if x == nil {
		return errTerminated
	}
	// The answer after a Flush would not show that the batch began a block.
	s.inBlock = s.inBlock || b.mayBeginBlock()
	if err := x.Send(inner.Encode(inner.KindBatch, b.out)); err != nil {
		return s.reportUnknown(b, &outcome.Unknown{Detail: "the holder of " + s.pinnedServer + " was lost: " + err.Error()})
	}
	return s.reportOutcome(b, s.relay(*x, s.pinnedServer, false))
}

// relay forwards the answer to a batch to the caller. Errors other than
// outcomes mean that the caller is gone. After a failure of a transaction's
// first batch the exchange is closed, so that the request can be tried on
// another server.
func (s *session) relay(x inner.Exchange, server string, firstBatch bool) error {
	for {
		f, err := x.Receive()
		if err != nil {
			return s.outcomeUnknown(firstBatch, "the holder of "+server+" was lost: "+err.Error())
		}
		switch f.Kind {
		case inner.KindData:
			if err := s.conn.Write(f.Body); err != nil {
				return err
			}
		case inner.KindRefusal:
			return s.handleRefusal(f, firstBatch)
		case inner.KindEnd:
			return s.handleEnd(f, server, firstBatch)
		default:
			return s.outcomeUnknown(firstBatch, "the holder of "+server+" sent an unknown frame")
		}
	}
}

// outcomeUnknown returns an unknown outcome, and closes the exchange after a
// transaction's first batch.
func (s *session) outcomeUnknown(firstBatch bool, detail string) error {
	if firstBatch {
		s.closeExchange()
	}
	return &outcome.Unknown{Detail: detail}
}

// handleRefusal returns the holder's refusal and records the server's state that
// came with it.
func (s *session) handleRefusal(f inner.Frame, firstBatch bool) error {
	var m inner.Refusal
	if err := inner.Decode(f, &m); err != nil {
		return s.outcomeUnknown(firstBatch, err.Error())
	}
	if firstBatch {
		s.closeExchange()
	}
	s.entry.serverCache.updateFromRefusal(s.database, m.State, s.entry.options.Clock.Now())
	return &outcome.NotRun{Reason: m.Reason, Code: m.Code, Detail: m.Detail}
}

// handleEnd sends the caller the last messages of an answer, and ends the
// exchange if the transaction has ended.
func (s *session) handleEnd(f inner.Frame, server string, firstBatch bool) error {
	var m inner.End
	if err := inner.Decode(f, &m); err != nil {
		return s.outcomeUnknown(firstBatch, err.Error())
	}
	if m.UnknownOutcome != "" {
		return s.outcomeUnknown(firstBatch, m.UnknownOutcome)
	}
	invariant.Check(m.Status == 0 || bytes.HasSuffix(m.Raw, caller.ReadyForQuery(m.Status)), invariant.WholeAnswer,
		"backend server %s gave an answer that ends in status %q without its ReadyForQuery", server, m.Status)
	if m.FloorUnrecorded && !s.recordFloor(m.Position) {
		return s.outcomeUnknown(firstBatch, "the write could not be recorded for session "+s.sessionName)
	}
	// With any status but idle the transaction is still open. The status is 0 after
	// a Flush, and otherwise that of a transaction block.
	if m.Status != statusIdle {
		s.pinnedServer = server
		s.inBlock = s.inBlock || m.Status != 0
		s.skipping = m.Status == 0 && hasError(m.Raw)
		return s.conn.Write(m.Raw)
	}
	if m.Reusable {
		s.releaseExchange()
	} else {
		s.closeExchange()
	}
	s.inBlock = false
	clear(s.portals)
	s.entry.serverCache.updateApplied(server, m.Position, s.entry.options.Clock.Now())
	s.floor = s.floor.Max(m.Position)
	s.entry.sessionFloors.raise(s.database, s.sessionName, s.floor)
	if s.isWrite && s.sessionName != "" {
		return s.conn.Write(append(caller.ParameterStatus(settingPrefix+"token", formatToken(s.database, s.floor)), m.Raw...))
	}
	return s.conn.Write(m.Raw)
}

// recordTimeout bounds the attempts to have a holder record the floor of a
// write, in milliseconds.
const recordTimeout = 5 * clock.Second

// recordFloor has the present holder of the primary record the floor of a
// write, so that later reads of the named session see the write through every VM.
// It retries for recordTimeout and reports whether it succeeded.
func (s *session) recordFloor(position floor.ReplicationPosition) bool {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout.Duration())
	defer cancel()
	o := s.entry.options
	for ctx.Err() == nil {
		d, err := s.entry.document(ctx)
		if err != nil {
			continue
		}
		b, _ := d.Database(s.database)
		if p, ok := s.entry.serverCache.primary(b); ok && o.RecordFloorFunc(ctx, p, s.database, s.sessionName, position) == nil {
			return true
		}
		_ = o.Clock.Sleep(ctx, retry.MaxBackoff)
	}
	return false
}

// statusIdle is the status of a ReadyForQuery outside a transaction.
const statusIdle = 'I'

// hasError reports whether an answer contains an error, after which the server
// skips messages up to a Sync.
func hasError(raw []byte) bool {
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if m.Type() == 'E' {
			return true
		}
	}
	return false
}
