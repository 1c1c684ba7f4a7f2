package route

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// AnonymousUser is the user name of callers without a key.
const AnonymousUser = "nobody"

// Resolve returns the route that a request names or, when it names none, the default
// of the database: a write on the primary. The error is an *outcome.NotRun when there is
// no such route in the database, or the account may not use it.
func Resolve(d *document.Document, database, account string, h Hint) (document.Route, error) {
	r, err := findRoute(d, database, h.Route)
	if err != nil {
		return r, err
	}
	if account == AnonymousUser && !r.AllowAnonymous {
		return r, outcome.Refuse(outcome.ReasonDenied, outcome.CodeDenied, "route %q is not open to callers without a key", r.Name)
	}
	if account != AnonymousUser && len(r.Accounts) > 0 && !slices.Contains(r.Accounts, account) {
		return r, outcome.Refuse(outcome.ReasonDenied, outcome.CodeDenied, "client account %q may not use route %q", account, r.Name)
	}
	return r, nil
}

// findRoute returns the named route of a database, or the default one.
func findRoute(d *document.Document, database, name string) (document.Route, error) {
	if name == "" {
		return document.Route{Database: database, Kind: document.KindWrite, Deadline: document.DefaultDeadline}, nil
	}
	r, ok := d.Route(name)
	if !ok {
		return r, outcome.Refuse(outcome.ReasonNoRoute, outcome.CodeInvalidParameter, "unknown route %q", name)
	}
	if r.Database != database {
		return r, outcome.Refuse(outcome.ReasonNoRoute, outcome.CodeInvalidParameter, "route %q belongs to database %q, and the connection is to %q", name, r.Database, database)
	}
	return r, nil
}
