package session

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
)

// keyCheckInterval is the pause between two checks of the key of a caller who is silent in an open
// transaction, in milliseconds.
const keyCheckInterval = clock.Second

const (
	// withdrawnDetail is the detail of a refusal after the caller's key has been withdrawn.
	withdrawnDetail = "the key is not known any more"
	// reassignedDetail is that of a refusal after the key has been passed on, or withdrawn on a route that
	// needs none.
	reassignedDetail = "the key no longer belongs to the account of the transaction"
)

// keyProblem reports whether the configuration in force still permits the open transaction, which runs for
// the account that the caller's key had at its BEGIN. It returns Success if it does, Denied if the key has
// been withdrawn, and Aborted if the account of the key has changed. Changes of the route apply from the
// next transaction on.
func (s *session) keyProblem() statement.Code {
	c := s.options.CatalogFunc()
	if c == nil {
		return statement.Success
	}
	owner, known := c.KeyOwner(s.caller.Key)
	switch {
	case !known && !s.route.AllowAnonymous:
		return statement.Denied
	case owner != s.account.Name:
		return statement.Aborted
	}
	return statement.Success
}

// expireWithdrawn rolls back the transaction of a silent caller whose key does not permit it any more. The
// answer to the caller's next statement has the reason.
func (s *session) expireWithdrawn() {
	s.options.Counters.expired.Inc()
	s.options.Log.Info("transaction rolled back because of the caller's key", append([]any{"id", s.txn.begin.ID, "database", s.route.Database, "account", s.account.Name}, s.configurationFields()...)...)
	s.rollbackServer()
	s.txn.failed, s.txn.withdrawn = true, true
}

// endWithdrawn rolls back the open transaction if the caller's key does not permit it any more, and returns
// the answer to the statement st. A ROLLBACK is served as usual. A COMMIT is answered with Aborted, which,
// unlike Denied, guarantees that nothing is kept. Any other statement is answered with the code of
// keyProblem, and the caller must still end the transaction.
func (s *session) endWithdrawn(st statement.Statement) (statement.Answer, bool) {
	if s.txn == nil || s.txn.failed && !s.txn.withdrawn || st.Kind == statement.Rollback {
		return statement.Answer{}, false
	}
	code := s.keyProblem()
	if code == statement.Success {
		return statement.Answer{}, false
	}
	detail := withdrawnDetail
	if code == statement.Aborted {
		detail = reassignedDetail
	}
	s.rollbackServer()
	s.txn.failed, s.txn.withdrawn = true, false
	if st.Kind == statement.Commit {
		s.txn, code = nil, statement.Aborted
	}
	return s.refuse(st, code, detail+rolledBack), true
}
