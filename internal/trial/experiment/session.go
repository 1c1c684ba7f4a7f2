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
	row oracle.Row
	n   int
	// tally is the number of charges that were answered, doubtful of those whose
	// outcome stayed unknown; rowed is set once there is a row to charge.
	tally    int
	doubtful int
	rowed    bool
}

const (
	put    = "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='put-%s'*/"
	get    = "SELECT v FROM box WHERE id = $1 /*route='get-%s'*/"
	begin  = "INSERT INTO tally (id, v) VALUES ($1, '0') ON CONFLICT (id) DO NOTHING /*route='put-%s'*/"
	look   = "SELECT v FROM tally WHERE id = $1 /*route='get-%s'*/"
	charge = "UPDATE tally SET v = v + 1 WHERE id = $1 /*route='charge-%s',key='%s'*/"
)

// chargeShare is one part of how many of the requests that are no reads are
// charges.
const chargeShare = 5

// request makes the next request of the session and returns how it came out.
func (s *session) request(ctx context.Context, reads float64) ending {
	s.n++
	switch {
	case s.row.Last != "" && s.random.Float64() < reads:
		return s.read(ctx)
	case s.row.Last != "" && s.random.IntN(chargeShare) == 0:
		return s.charge(ctx)
	}
	return s.write(ctx)
}

func (s *session) exec(ctx context.Context, sql string, args ...any) (ending, error) {
	return s.do(ctx, func(c *pgx.Conn) error { _, err := c.Exec(ctx, sql, args...); return err })
}

func (s *session) write(ctx context.Context) ending {
	v := strconv.Itoa(s.n)
	e, err := s.exec(ctx, fmt.Sprintf(put, s.account.Database), s.name, v)
	switch {
	case e == served:
		s.row = oracle.Row{Last: v}
		s.run.acknowledged(s.account.Database)
	case e.ran():
		s.row = s.row.WithUnknown(v)
	}
	return s.run.count(s.name+" writes", e, err, &s.run.counts.writes)
}

// value reads one value; a row that is not there is an empty one.
func (s *session) value(ctx context.Context, sql string) (got string, e ending, err error) {
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

func (s *session) read(ctx context.Context) ending {
	got, e, err := s.value(ctx, get)
	if e == served {
		next, ok := s.row.WithRead(got)
		if !ok {
			s.run.wrong("session %s read %q after %q", s.name, got, s.row.Last)
		}
		s.row = next
	}
	return s.run.count(s.name+" reads", ofRead(e), err, &s.run.counts.reads)
}

// ofRead is how a read came out: it may be repeated, so no outcome is unknown.
func ofRead(e ending) ending {
	if e == unknown {
		return refused
	}
	return e
}

const (
	// maxRepeats bounds the repeats of a charge whose outcome is unknown.
	maxRepeats  = 20
	repeatPause = 250 * clock.Millis(1)
)

// charge adds 1 to the session's tally, and repeats the request with its key
// while the outcome is unknown.
func (s *session) charge(ctx context.Context) ending {
	if !s.rowed {
		e, err := s.exec(ctx, fmt.Sprintf(begin, s.account.Database), s.name)
		s.rowed = e == served
		return s.run.count(s.name+" begins to charge", e, err, &s.run.counts.writes)
	}
	sql := fmt.Sprintf(charge, s.account.Database, fmt.Sprintf("%s-%d", s.name, s.n))
	e, err := s.exec(ctx, sql, s.name)
	doubt := e.ran()
	for n := 0; e != served && doubt && n < maxRepeats; n++ {
		s.run.counts.repeats.Add(1)
		if s.run.clock.Sleep(ctx, repeatPause) != nil {
			break
		}
		e, err = s.exec(ctx, sql, s.name)
	}
	switch {
	case e == served:
		s.tally++
		s.run.acknowledged(s.account.Database)
	case doubt:
		s.doubtful++
	}
	return s.run.count(s.name+" charges", e, err, &s.run.counts.charges)
}

// settle reads the session's rows at the end: each charge must be there once.
func (s *session) settle(ctx context.Context) {
	if s.row.Last != "" {
		s.read(ctx)
	}
	if !s.rowed {
		return
	}
	text, e, err := s.value(ctx, look)
	_ = s.run.count(s.name+" reads its tally", ofRead(e), err, &s.run.counts.reads)
	if e != served {
		return
	}
	if !charged(text, s.tally, s.doubtful) {
		s.run.wrong("session %s was charged %q times, not %d to %d", s.name, text, s.tally, s.tally+s.doubtful)
	}
}

// charged reports whether a tally that was read has each charge that was answered
// once, and each doubtful one at most once.
func charged(text string, tally, doubtful int) bool {
	got, err := strconv.Atoi(text)
	return err == nil && got >= tally && got <= tally+doubtful
}
