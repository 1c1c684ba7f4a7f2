package experiment

import (
	"fmt"
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// check returns a *strict.Error for a database that does not exist, an account name that is
// used twice or is that of withdrawnAccount, a window that does not end after its start, or
// a fault that checkFaults rejects.
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

// checkFaults returns a *strict.Error for a fault of a database or VM that does not
// exist, or of a VM that an earlier fault removed.
func (s Spec) checkFaults(t *strict.Text) error {
	removed := map[string]bool{}
	for i, fault := range s.Faults {
		path := fmt.Sprintf("faults[%d]", i)
		if fault.Database != "" && !slices.Contains(s.Databases, fault.Database) {
			return t.ErrorAt(path+".database", "there is no database %q", fault.Database)
		}
		if fault.VM == "" {
			continue
		}
		if !slices.Contains(s.vmNames(), fault.VM) || removed[fault.VM] {
			return t.ErrorAt(path+".vm", "there is no VM %q, or it is gone by then", fault.VM)
		}
		removed[fault.VM] = true
	}
	return nil
}

// vmNames returns the names that system.New gives the VMs.
func (s Spec) vmNames() []string {
	var out []string
	for i := range s.VMsPerZone * len(s.Zones) {
		out = append(out, fmt.Sprintf("vm%d", i+1))
	}
	return out
}
