package frontend

// observeEra looks whether the store has come back from a copy, which lacks what was written
// last. It then has what this VM wrote looked at again.
func (f *Frontend) observeEra() {
	era := f.options.EraFunc()
	f.mu.Lock()
	before := f.era
	f.era = max(f.era, era)
	f.mu.Unlock()
	if era <= before {
		return
	}
	f.eraGauge.Set(float64(era))
	if before > 0 {
		f.options.Log.Warn("the store came back from a copy", "era", era, "before", before)
		f.mesh.StoreRestored()
		f.spawn(func() { f.restoreKeys(f.ctx) })
	}
}
