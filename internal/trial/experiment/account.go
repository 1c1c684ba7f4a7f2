package experiment

import "github.com/sycamoredoor/sycamoredoor/internal/trial/system"

// loadFactor returns what multiplies the load at a part of the length, in percent.
func (a Account) loadFactor(percent int64) float64 {
	for _, w := range a.Windows {
		if w.FromPercent <= percent && percent < w.UntilPercent {
			return w.Factor
		}
	}
	return 1
}

// exceedsRate reports whether the account ever asks for more than its rate.
func (a Account) exceedsRate() bool {
	for _, w := range a.Windows {
		if a.OfferedRate*w.Factor > a.Rate {
			return true
		}
	}
	return a.OfferedRate > a.Rate
}

// key is what the account's callers give.
func (a Account) key() string { return a.Name + "-jelly" }

// systemAccount is the account as the configuration has it.
func (a Account) systemAccount() system.Account {
	return system.Account{Name: a.Name, Key: a.key(), Rate: a.Rate, Burst: a.Burst, Weight: a.Weight}
}
