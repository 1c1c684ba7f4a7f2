// Package edit changes the configuration of an installation under load, as an
// operator does, and isolates its backend servers.
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
	// requestTimeout bounds a request to the operator interface, in milliseconds.
	requestTimeout = 5 * clock.Second
	// pollInterval is the pause between two checks of the version that a VM acts on, in
	// milliseconds.
	pollInterval = 5 * clock.Millis(1)
)

// codeInvalidAuthorization is the SQLSTATE invalid_authorization_specification, which
// a caller gets when its key is withdrawn.
const codeInvalidAuthorization = "28000"

// Operator edits sections of the configuration over HTTP, as sycamorectl does.
type Operator struct {
	Clock clock.Clock
	Token string
}

// ReplaceSection replaces a section through a VM and returns the new version and the
// time at which it sent the edit.
func (o Operator) ReplaceSection(ctx context.Context, v *vm.VM, section, text string) (uint64, clock.Millis, error) {
	c := operator.NewClient(operator.Options{BaseURL: v.OperatorURL(), Token: o.Token, Timeout: requestTimeout})
	current, err := c.Section(ctx, section)
	if err != nil {
		return 0, 0, err
	}
	sentTime := o.Clock.Now()
	applied, err := c.Apply(ctx, operator.Edit{
		Sections: map[string]string{section: text}, Version: current.Version, RequestID: fmt.Sprintf("trial-%s-%d", section, current.Version),
	})
	return applied.Version, sentTime, err
}

// MeasureChange replaces a section through the first VM, waits until every VM acts
// on the new version and returns how long that took in milliseconds, at least 1.
// Only the context bounds the wait.
func (o Operator) MeasureChange(ctx context.Context, vms []*vm.VM, section, text string) (clock.Millis, error) {
	version, sentTime, err := o.ReplaceSection(ctx, vms[0], section, text)
	if err != nil {
		return 0, err
	}
	for _, v := range vms {
		for !hasApplied(v, version) {
			if err := o.Clock.Sleep(ctx, pollInterval); err != nil {
				return 0, err
			}
		}
	}
	return max(o.Clock.Now()-sentTime, 1), nil
}

// hasApplied reports whether a VM acts on a version of the configuration or a later one.
func hasApplied(v *vm.VM, version uint64) bool {
	d := v.Membership().Document()
	return d != nil && d.Version >= version
}

// MeasureWithdrawal replaces the section of the accounts by a text without the key of
// the idle callers on conns, waits until each of them has received the error for a
// withdrawn key and returns how long that took in milliseconds, at least 1, or 0 with an
// error. Only the context bounds the wait.
func (o Operator) MeasureWithdrawal(ctx context.Context, v *vm.VM, section, text string, conns []*pgx.Conn) (clock.Millis, error) {
	results := make(chan error, len(conns))
	for _, conn := range conns {
		go func() { results <- awaitWithdrawal(ctx, conn) }()
	}
	_, sentTime, firstErr := o.ReplaceSection(ctx, v, section, text)
	for range conns {
		if err := <-results; firstErr == nil {
			firstErr = err
		}
	}
	if firstErr != nil {
		return 0, firstErr
	}
	return max(o.Clock.Now()-sentTime, 1), nil
}

// awaitWithdrawal waits until an idle caller receives the error for a withdrawn key.
// WaitForNotification reads from the connection without sending anything.
func awaitWithdrawal(ctx context.Context, conn *pgx.Conn) error {
	_, err := conn.WaitForNotification(ctx)
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == codeInvalidAuthorization {
		return nil
	}
	return fmt.Errorf("a caller whose key was withdrawn got: %w", err)
}
