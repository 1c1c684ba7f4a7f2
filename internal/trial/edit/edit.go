// Package edit does what operators and faults do to an installation under load.
package edit

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
)

const (
	// timeout bounds a request of the operator in milliseconds.
	timeout   = 5 * clock.Second
	pollPause = 5 * clock.Millis(1)
)

// codeWithdrawn is invalid_authorization_specification.
const codeWithdrawn = "28000"

// Operator edits sections, as sycamorectl does.
type Operator struct {
	Clock clock.Clock
	Token string
}

// Put replaces a section through a VM and returns the new version and the moment
// at which it was sent.
func (o Operator) Put(ctx context.Context, v *vm.VM, section, text string) (uint64, clock.Millis, error) {
	c := operator.NewClient(operator.Options{BaseURL: v.OperatorURL(), Token: o.Token, Timeout: timeout})
	old, err := c.Section(ctx, section)
	if err != nil {
		return 0, 0, err
	}
	since := o.Clock.Now()
	applied, err := c.Apply(ctx, operator.Edit{
		Sections: map[string]string{section: text}, Version: old.Version, Request: fmt.Sprintf("trial-%s-%d", section, old.Version),
	})
	return applied.Version, since, err
}

// Change replaces a section, waits until every VM acts on it and returns how long
// that took in milliseconds, at least 1.
func (o Operator) Change(ctx context.Context, vms []*vm.VM, section, text string) (clock.Millis, error) {
	version, since, err := o.Put(ctx, vms[0], section, text)
	if err != nil {
		return 0, err
	}
	for _, v := range vms {
		for !acts(v, version) {
			if err := o.Clock.Sleep(ctx, pollPause); err != nil {
				return 0, err
			}
		}
	}
	return max(o.Clock.Now()-since, 1), nil
}

// acts reports whether a VM acts on a version or a later one.
func acts(v *vm.VM, version uint64) bool {
	d := v.Membership().Document()
	return d != nil && d.Version >= version
}

// Withdraw replaces the section of the accounts, waits until the idle callers are
// told that their key was withdrawn and returns how long that took in
// milliseconds, at least 1.
func (o Operator) Withdraw(ctx context.Context, v *vm.VM, section, text string, callers []*pgx.Conn) (clock.Millis, error) {
	cut := make(chan error, len(callers))
	for _, conn := range callers {
		go func() { cut <- awaitCut(ctx, conn) }()
	}
	_, since, failed := o.Put(ctx, v, section, text)
	for range callers {
		if err := <-cut; failed == nil {
			failed = err
		}
	}
	return max(o.Clock.Now()-since, 1), failed
}

// awaitCut waits until an idle caller is told that its key was withdrawn.
func awaitCut(ctx context.Context, conn *pgx.Conn) error {
	_, err := conn.WaitForNotification(ctx)
	var told *pgconn.PgError
	if errors.As(err, &told) && told.Code == codeWithdrawn {
		return nil
	}
	return fmt.Errorf("a caller whose key was withdrawn was told %w", err)
}
