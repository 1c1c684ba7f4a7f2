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

// session sends the requests of one named session. No other session writes its rows,
// so its own writes determine what it may read.
type session struct {
	*caller
	row           oracle.Row
	requestNumber int
	// charges is the number of charges that were served, unknownCharges of those whose
	// outcome stayed unknown. hasTally is set once the row to charge exists.
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

// writesPerCharge is the number of requests other than reads per charge, on average.
const writesPerCharge = 5

// request sends the next request of the session, a read with probability readShare, and
// returns its result. Until a write was acknowledged, every request is a write.
func (s *session) request(ctx context.Context, readShare float64) result {
	s.requestNumber++
	switch {
	case s.row.LastValue != "" && s.random.Float64() < readShare:
		return s.read(ctx)
	case s.row.LastValue != "" && s.random.IntN(writesPerCharge) == 0:
		return s.charge(ctx)
	}
	return s.write(ctx)
}

func (s *session) exec(ctx context.Context, sql string, args ...any) (result, error) {
	return s.do(ctx, func(c *pgx.Conn) error { _, err := c.Exec(ctx, sql, args...); return err })
}

// write writes a new value to the session's row.
func (s *session) write(ctx context.Context) result {
	v := strconv.Itoa(s.requestNumber)
	res, err := s.exec(ctx, fmt.Sprintf(upsertSQL, s.account.Database), s.name, v)
	switch {
	case res == resultServed:
		s.row = oracle.Row{LastValue: v}
		s.run.recordWrite(s.account.Database)
	case res.mayHaveRun():
		s.row = s.row.WithUnknownWrite(v)
	}
	return s.run.countResult(s.name+" writes", res, err, &s.run.counts.writes)
}

// readValue reads the session's value with selectSQL or selectTallySQL. It is empty if
// there is no row.
func (s *session) readValue(ctx context.Context, sql string) (got string, res result, err error) {
	res, err = s.do(ctx, func(c *pgx.Conn) error {
		got = ""
		err := c.QueryRow(ctx, fmt.Sprintf(sql, s.account.Database), s.name).Scan(&got)
		if errors.Is(err, pgx.ErrNoRows) {
			return nil
		}
		return err
	})
	return got, res, err
}

// read reads the session's row and checks the value against the oracle.
func (s *session) read(ctx context.Context) result {
	got, res, err := s.readValue(ctx, selectSQL)
	if res == resultServed {
		next, ok := s.row.WithRead(got)
		if !ok {
			s.run.recordFailure("session %s read %q after %q", s.name, got, s.row.LastValue)
		}
		s.row = next
	}
	return s.run.countResult(s.name+" reads", readResult(res), err, &s.run.counts.reads)
}

// readResult returns the result to count for a read. The proxy can safely run a read
// again, so an answer that its outcome is unknown counts as a wrongful refusal.
func readResult(res result) result {
	if res == resultUnknown {
		return resultRefused
	}
	return res
}

const (
	// maxRetries bounds the retries of a charge whose outcome is unknown.
	maxRetries    = 20
	retryInterval = 250 * clock.Millis(1)
)

// charge adds 1 to the session's tally, and retries with the same idempotency key
// while the outcome is unknown. If the tally has no row yet, it only inserts the row.
func (s *session) charge(ctx context.Context) result {
	if !s.hasTally {
		res, err := s.exec(ctx, fmt.Sprintf(insertTallySQL, s.account.Database), s.name)
		s.hasTally = res == resultServed
		return s.run.countResult(s.name+" begins to charge", res, err, &s.run.counts.writes)
	}
	sql := fmt.Sprintf(chargeSQL, s.account.Database, fmt.Sprintf("%s-%d", s.name, s.requestNumber))
	res, err := s.exec(ctx, sql, s.name)
	// A retry that was not served leaves open whether the first attempt has run.
	mayHaveRun := res.mayHaveRun()
	for n := 0; res != resultServed && mayHaveRun && n < maxRetries; n++ {
		s.run.counts.retries.Add(1)
		if s.run.clock.Sleep(ctx, retryInterval) != nil {
			break
		}
		res, err = s.exec(ctx, sql, s.name)
	}
	switch {
	case res == resultServed:
		s.charges++
		s.run.recordWrite(s.account.Database)
	case mayHaveRun:
		s.unknownCharges++
	}
	return s.run.countResult(s.name+" charges", res, err, &s.run.counts.charges)
}

// verifyRows reads the session's rows at the end of the run. The tally must contain
// each served charge once, and each of unknown outcome at most once.
func (s *session) verifyRows(ctx context.Context) {
	if s.row.LastValue != "" {
		s.read(ctx)
	}
	if !s.hasTally {
		return
	}
	text, res, err := s.readValue(ctx, selectTallySQL)
	_ = s.run.countResult(s.name+" reads its tally", readResult(res), err, &s.run.counts.reads)
	if res != resultServed {
		return
	}
	if !tallyMatches(text, s.charges, s.unknownCharges) {
		s.run.recordFailure("session %s was charged %q times, not %d to %d", s.name, text, s.charges, s.charges+s.unknownCharges)
	}
}

// tallyMatches reports whether a tally that was read contains each served charge once,
// and each charge of unknown outcome at most once.
func tallyMatches(text string, charges, unknownCharges int) bool {
	got, err := strconv.Atoi(text)
	return err == nil && got >= charges && got <= charges+unknownCharges
}
