package frontend

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// firstEra is the era of a store that never came back from a copy.
const firstEra = 1

// observeEra checks whether the store was restored from a copy, which lacks the last writes. If
// so, this VM's registration and the certificate authority are checked and written again where
// they are missing. A process that has just started may detect an earlier restore.
func (f *Frontend) observeEra() {
	era := f.options.EraFunc()
	f.mu.Lock()
	before := f.era
	f.era = max(f.era, era)
	restored := era > before && era > firstEra
	if restored {
		f.restoredAt = f.options.Clock.Now()
	}
	f.mu.Unlock()
	if era > before {
		f.eraGauge.Set(float64(era))
	}
	if !restored {
		return
	}
	f.options.Log.Warn("the store came back from a copy", "era", era, "before", before)
	f.mesh.StoreRestored()
	f.spawn(func() { f.restoreKeys(f.ctx) })
}

// lastRestore returns the time at which this VM learned that the store had come back from a
// copy, or clock.DistantPast.
func (f *Frontend) lastRestore() clock.Millis {
	f.observeEra()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restoredAt
}
