package experiment

import "github.com/sycamoredoor/sycamoredoor/internal/trial/system"

// loadFactor returns the factor of the offered rate when percent of the length has
// passed: that of the first window that contains it, or 1.
func (a Account) loadFactor(percent int64) float64 {
	for _, w := range a.Windows {
		if w.FromPercent <= percent && percent < w.UntilPercent {
			return w.Factor
		}
	}
	return 1
}

// exceedsRate reports whether the account's offered load is ever above its rate.
func (a Account) exceedsRate() bool {
	for _, w := range a.Windows {
		if a.OfferedRate*w.Factor > a.Rate {
			return true
		}
	}
	return a.OfferedRate > a.Rate
}

// key returns the key that the account's callers authenticate with.
func (a Account) key() string { return a.Name + "-jelly" }

// systemAccount returns the account for the configuration of the installation.
func (a Account) systemAccount() system.Account {
	return system.Account{Name: a.Name, Key: a.key(), Rate: a.Rate, Burst: a.Burst, Weight: a.Weight}
}
