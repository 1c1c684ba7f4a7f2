package entry

import (
	"context"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// checkLimit checks the account's limit before the batch takes a slot of a
// server. A batch that runs nothing, or only ends the open transaction, is always
// admitted.
func (s *session) checkLimit(ctx context.Context, b *batch) error {
	f := s.entry.options.LimitFunc
	if f == nil || !b.executes() || s.pinnedServer != "" && b.endsTransaction() {
		return nil
	}
	return f(ctx, s.account)
}

// executes reports whether the batch runs statements rather than only preparing
// or describing them.
func (b *batch) executes() bool {
	for m, rest := pgwire.SplitMessage(b.out.Raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		if m.Type() == 'Q' || m.Type() == 'E' {
			return true
		}
	}
	return false
}

// endsTransaction reports whether the batch runs nothing but the end of a
// transaction.
func (b *batch) endsTransaction() bool {
	return len(b.sqls) > 0 && !slices.ContainsFunc(b.sqls, func(sql string) bool { return !endPattern.MatchString(sql) })
}
