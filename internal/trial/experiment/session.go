package experiment

import (
	"context"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/oracle"
)

// session is a caller whose rows nobody else writes, so that what it wrote says
// what it may read.
type session struct {
	*caller
	row           oracle.Row
	requestNumber int
	// charges is the number of charges that were answered, doubtful of those whose
	// outcome stayed unknown; rowed is set once there is a row to charge.
	charges        int
	unknownCharges int
	hasTally       bool
}

const (
	upsertSQL      = "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='put-%s'*/"
	selectSQL      = "SELECT v FROM box WHERE id = $1 /*route='get-%s'*/"
	insertTallySQL = "INSERT INTO tally (id, v) VALUES ($1, '0') ON CONFLICT (id) DO NOTHING /*route='put-%s'*/"
	selectTallySQL = "SELECT v FROM tally WHERE id = $1 /*route='get-%s'*/"
	chargeSQL      = "UPDATE tally SET v = v + 1 WHERE id = $1 /*route='charge-%s',key='%s'*/"
)

// writesPerCharge is one part of how many of the requests that are no reads are
// charges.
const writesPerCharge = 5

// request makes the next request of the session and returns how it came out.
func (s *session) request(ctx context.Context, reads float64) result {
	s.requestNumber++
	switch {
	case s.row.Last != "" && s.random.Float64() < reads:
		return s.read(ctx)
	case s.row.Last != "" && s.random.IntN(writesPerCharge) == 0:
		return s.charge(ctx)
	}
	return s.write(ctx)
}

func (s *session) exec(ctx context.Context, sql string, args ...any) (result, error) {
	return s.do(ctx, func(c *pgx.Conn) error { _, err := c.Exec(ctx, sql, args...); return err })
}

func (s *session) write(ctx context.Context) result {
	v := strconv.Itoa(s.requestNumber)
	e, err := s.exec(ctx, fmt.Sprintf(upsertSQL, s.account.Database), s.name, v)
	switch {
	case e == resultServed:
		s.row = oracle.Row{Last: v}
		s.run.recordWrite(s.account.Database)
	case e.mayHaveRun():
		s.row = s.row.WithUnknownWrite(v)
	}
	return s.run.countResult(s.name+" writes", e, err, &s.run.counts.writes)
}

// readValue reads one value; a row that is not there is an empty one.
func (s *session) readValue(ctx context.Context, sql string) (got string, e result, err error) {
	e, err = s.do(ctx, func(c *pgx.Conn) error {
		got = ""
		err := c.QueryRow(ctx, fmt.Sprintf(sql, s.account.Database), s.name).Scan(&got)
		if errors.Is(err, pgx.ErrNoRows) {
			return nil
		}
		return err
	})
	return got, e, err
}

func (s *session) read(ctx context.Context) result {
	got, e, err := s.readValue(ctx, selectSQL)
	if e == resultServed {
		next, ok := s.row.WithRead(got)
		if !ok {
			s.run.recordFailure("session %s read %q after %q", s.name, got, s.row.Last)
		}
		s.row = next
	}
	return s.run.countResult(s.name+" reads", readResult(e), err, &s.run.counts.reads)
}

// readResult is how a read came out: it may be repeated, so no outcome is unknown.
func readResult(e result) result {
	if e == resultUnknown {
		return resultRefused
	}
	return e
}

const (
	// maxRetries bounds the repeats of a charge whose outcome is unknown.
	maxRetries    = 20
	retryInterval = 250 * clock.Millis(1)
)

// charge adds 1 to the session's tally, and repeats the request with its key
// while the outcome is unknown.
func (s *session) charge(ctx context.Context) result {
	if !s.hasTally {
		e, err := s.exec(ctx, fmt.Sprintf(insertTallySQL, s.account.Database), s.name)
		s.hasTally = e == resultServed
		return s.run.countResult(s.name+" begins to charge", e, err, &s.run.counts.writes)
	}
	sql := fmt.Sprintf(chargeSQL, s.account.Database, fmt.Sprintf("%s-%d", s.name, s.requestNumber))
	e, err := s.exec(ctx, sql, s.name)
	mayHaveRun := e.mayHaveRun()
	for n := 0; e != resultServed && mayHaveRun && n < maxRetries; n++ {
		s.run.counts.retries.Add(1)
		if s.run.clock.Sleep(ctx, retryInterval) != nil {
			break
		}
		e, err = s.exec(ctx, sql, s.name)
	}
	switch {
	case e == resultServed:
		s.charges++
		s.run.recordWrite(s.account.Database)
	case mayHaveRun:
		s.unknownCharges++
	}
	return s.run.countResult(s.name+" charges", e, err, &s.run.counts.charges)
}

// verifyRows reads the session's rows at the end: each charge must be there once.
func (s *session) verifyRows(ctx context.Context) {
	if s.row.Last != "" {
		s.read(ctx)
	}
	if !s.hasTally {
		return
	}
	text, e, err := s.readValue(ctx, selectTallySQL)
	_ = s.run.countResult(s.name+" reads its tally", readResult(e), err, &s.run.counts.reads)
	if e != resultServed {
		return
	}
	if !tallyMatches(text, s.charges, s.unknownCharges) {
		s.run.recordFailure("session %s was charged %q times, not %d to %d", s.name, text, s.charges, s.charges+s.unknownCharges)
	}
}

// tallyMatches reports whether a tally that was read has each charge that was answered
// once, and each doubtful one at most once.
func tallyMatches(text string, charges, unknownCharges int) bool {
	got, err := strconv.Atoi(text)
	return err == nil && got >= charges && got <= charges+unknownCharges
}
