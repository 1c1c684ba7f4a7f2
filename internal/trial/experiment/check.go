package experiment

import (
	"fmt"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// check finds names that nothing has and windows that end before they begin.
func (s Spec) check(t *strict.Text) error {
	for i, a := range s.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		if !slices.Contains(s.Databases, a.Database) {
			return t.ErrorAt(path+".database", "there is no database %q", a.Database)
		}
		if j := slices.IndexFunc(s.Accounts, func(b Account) bool { return b.Name == a.Name }); j < i || a.Name == withdrawnAccount.Name {
			return t.ErrorAt(path+".name", "the account %q is there already", a.Name)
		}
		for j, w := range a.Windows {
			if w.UntilPercent <= w.FromPercent {
				return t.ErrorAt(fmt.Sprintf("%s.windows[%d].until", path, j), `"until" must be more than "from"`)
			}
		}
	}
	return s.checkFaults(t)
}

func (s Spec) checkFaults(t *strict.Text) error {
	removed := map[string]bool{}
	for i, v := range s.Faults {
		path := fmt.Sprintf("faults[%d]", i)
		if v.Database != "" && !slices.Contains(s.Databases, v.Database) {
			return t.ErrorAt(path+".database", "there is no database %q", v.Database)
		}
		if v.VM == "" {
			continue
		}
		if !slices.Contains(s.vmNames(), v.VM) || removed[v.VM] {
			return t.ErrorAt(path+".vm", "there is no VM %q, or it is gone by then", v.VM)
		}
		removed[v.VM] = true
	}
	return nil
}

// vmNames are the names that the installation gives its VMs.
func (s Spec) vmNames() []string {
	var out []string
	for i := range s.VMsPerZone * len(s.Zones) {
		out = append(out, fmt.Sprintf("vm%d", i+1))
	}
	return out
}
