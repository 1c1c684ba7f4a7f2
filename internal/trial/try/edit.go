package try

import (
	"context"
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// lags are the times from an operator's edit to its effect, in milliseconds.
type lags struct {
	config clock.Millis
	key    clock.Millis
}

// editTimeout bounds a request of the operator in milliseconds.
const editTimeout = 5 * clock.Second

// codeWithdrawn is invalid_authorization_specification.
const codeWithdrawn = "28000"

const spareRoute = "  - {name: spare, database: orders, kind: read}\n"

// edit changes the configuration and then withdraws a key, under the load.
func (t *trial) edit(ctx context.Context) {
	if !t.at(ctx, editTenth) {
		return
	}
	config, err := t.changeConfig(ctx)
	if err != nil {
		t.fail(ctx, err)
		return
	}
	key, err := t.withdraw(ctx)
	if err != nil {
		t.fail(ctx, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lags = lags{config: config, key: key}
}

// put replaces a section through the first VM, as sycamorectl does, and returns
// the new version and the moment at which it was sent.
func (t *trial) put(ctx context.Context, section, text string) (uint64, clock.Millis, error) {
	c := operator.NewClient(operator.Options{Base: t.system.VMs[0].OperatorURL(), Token: token, Timeout: editTimeout})
	old, err := c.Section(ctx, section)
	if err != nil {
		return 0, 0, err
	}
	since := t.clock.Now()
	applied, err := c.Apply(ctx, operator.Edit{
		Sections: map[string]string{section: text}, Version: old.Version, Request: "trial-" + section,
	})
	return applied.Version, since, err
}

// changeConfig adds a route and waits until every VM acts on it.
func (t *trial) changeConfig(ctx context.Context) (clock.Millis, error) {
	version, since, err := t.put(ctx, document.SectionRoutes, routes+spareRoute)
	if err != nil {
		return 0, err
	}
	for _, v := range t.system.VMs {
		for !acts(v, version) {
			if err := t.clock.Sleep(ctx, pollPause); err != nil {
				return 0, err
			}
		}
	}
	return max(t.clock.Now()-since, 1), nil
}

// acts reports whether a VM acts on a version or a later one.
func acts(v *vm.VM, version uint64) bool {
	d := v.Members().Document()
	return d != nil && d.Version >= version
}

// withdraw withdraws the key of callers that are connected to every VM and waits
// until the last of them is cut.
func (t *trial) withdraw(ctx context.Context) (clock.Millis, error) {
	k := newCaller(t, visitor, visitor.Name)
	defer k.close()
	cut := make(chan error, len(t.system.VMs))
	for _, v := range t.system.VMs {
		conn, err := k.connection(ctx, v)
		if err != nil {
			return 0, err
		}
		go func() { cut <- awaitCut(ctx, conn) }()
	}
	text, err := system.AccountsSection(append([]system.Account{counter}, accountsOf(crowds)...))
	if err != nil {
		return 0, err
	}
	_, since, putErr := t.put(ctx, document.SectionAccounts, text)
	errs := []error{putErr}
	for range t.system.VMs {
		errs = append(errs, <-cut)
	}
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		return 0, errs[i]
	}
	return max(t.clock.Now()-since, 1), nil
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
