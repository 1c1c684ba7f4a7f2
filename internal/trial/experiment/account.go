package experiment

import "github.com/sycamoredoor/sycamoredoor/internal/trial/system"

// factor returns what multiplies the load at a part of the length, in percent.
func (a Account) factor(percent int64) float64 {
	for _, w := range a.Windows {
		if w.From <= percent && percent < w.Until {
			return w.Factor
		}
	}
	return 1
}

// greedy reports whether the account ever asks for more than its rate.
func (a Account) greedy() bool {
	for _, w := range a.Windows {
		if a.Wanted*w.Factor > a.Rate {
			return true
		}
	}
	return a.Wanted > a.Rate
}

// key is what the account's callers give.
func (a Account) key() string { return a.Name + "-jelly" }

// configured is the account as the configuration has it.
func (a Account) configured() system.Account {
	return system.Account{Name: a.Name, Key: a.key(), Rate: a.Rate, Burst: a.Burst, Weight: a.Weight}
}
