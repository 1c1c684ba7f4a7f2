package vm

import (
	"context"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
)

// watchInterval is the pause between two looks at the platform.
const watchInterval = 200 * clock.Millis(1)

// watch follows the configuration and the list of VMs.
func (v *VM) watch(ctx context.Context) {
	for ctx.Err() == nil {
		v.readMembers(ctx)
		v.readDocument(ctx)
		v.holders.update(ctx)
		v.observers.update(ctx)
		_ = v.options.Clock.Sleep(ctx, watchInterval)
	}
}

func (v *VM) readMembers(ctx context.Context) {
	list, err := v.options.Store.ListFunc(ctx)
	if err != nil {
		return
	}
	if !slices.ContainsFunc(list, func(m member.VM) bool { return m.Name == v.self.Name }) {
		list = append(list, v.self)
	}
	slices.SortFunc(list, func(a, b member.VM) int { return strings.Compare(a.Name, b.Name) })
	v.members.Store(&list)
}

func (v *VM) readDocument(ctx context.Context) {
	d, _, _, err := configuration.Load(ctx, v.options.Store)
	if err != nil || d.Version == v.Version() {
		return
	}
	old := v.Version()
	if d.Version < old {
		invariant.Check(false, invariant.ConfigForward, "the platform names version %d after %d", d.Version, old)
		return
	}
	v.document.Store(d)
	v.entry.CutWithdrawn(d)
	v.options.Log.Info("configuration in force", "vm", v.self.Name, "version", d.Version)
}
