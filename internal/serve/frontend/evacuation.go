package frontend

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/label"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// evacuationToldTime is how long after the end of the last evacuation, or after the message of
	// a VM that does not know of it, this VM tells the others, in milliseconds.
	evacuationToldTime = 60 * clock.Second
	// maxEvacuationAge bounds the age that is told of an evacuation, in milliseconds.
	maxEvacuationAge = 24 * 3600 * clock.Second
)

// evacuationState returns what this VM knows of evacuations.
func (f *Frontend) evacuationState() evacuation.State {
	if s := f.evacuations.Load(); s != nil {
		return *s
	}
	return evacuation.State{}
}

// evacuatedSince returns the time from which a zone is evacuated, and false if it is not.
func (f *Frontend) evacuatedSince(z member.Zone) (clock.Millis, bool) {
	s := f.evacuations.Load()
	if s == nil {
		return 0, false
	}
	return s.Since(z, f.options.Clock.Now())
}

// adoptEvacuations takes a report of the evacuated zones, unless the known one is as new. since holds
// the times from which zones are evacuated, as far as the report tells them. from is its source, see
// freshness.Copy. A change is passed on soon.
func (f *Frontend) adoptEvacuations(next evacuation.Set, since map[member.Zone]clock.Millis, from string) {
	f.mu.Lock()
	now := f.options.Clock.Now()
	before := f.evacuationState()
	after := before.WithSet(next, since, now)
	changed := !slices.Equal(before.Set().Zones, after.Set().Zones)
	outdated := next.Revision < before.Set().Revision && !slices.Equal(next.Zones, before.Set().Zones)
	if changed || outdated {
		f.evacuationToldUntil = now + evacuationToldTime
	}
	f.evacuations.Store(&after)
	f.mu.Unlock()
	if !changed {
		return
	}
	f.options.Log.Info("evacuations changed", "zones", next.Zones, "before", before.Set().Zones, "revision", next.Revision, "from", from)
	f.observeEvacuations()
	f.mesh.GossipSoon()
}

// observeEvacuations logs and shows each zone whose evacuation has begun or ended, and warns of one
// that no server is in. An evacuation that a restored store lacks ends without a report.
func (f *Frontend) observeEvacuations() {
	if f.evacuations.Load() == nil {
		return
	}
	zones := f.evacuationState().Zones(f.options.Clock.Now())
	f.mu.Lock()
	before := f.observedZones
	f.observedZones = zones
	known := map[member.Zone]bool{}
	for _, s := range f.directory {
		known[s.Zone] = true
	}
	f.mu.Unlock()
	for _, z := range zones {
		if slices.Contains(before, z) {
			continue
		}
		evacuatedGauge(z).Set(1)
		f.options.Log.Warn("availability zone evacuated", "zone", z)
		if len(known) > 0 && !known[z] {
			f.options.Log.Warn("no backend server is in the evacuated availability zone", "zone", z)
		}
	}
	for _, z := range before {
		if !slices.Contains(zones, z) {
			evacuatedGauge(z).Set(0)
			f.options.Log.Warn("evacuation of the availability zone ended", "zone", z)
			f.markRecovering(z)
		}
	}
}

// markRecovering begins a slow start of the servers of a zone, which ran no statements for a time.
func (f *Frontend) markRecovering(z member.Zone) {
	f.mu.Lock()
	directory := f.directory
	f.mu.Unlock()
	for _, s := range directory {
		if g := f.Group(s.Group); g != nil && s.Zone == z {
			g.MarkRecovering(s.ID)
		}
	}
}

// evacuatedGauge returns the gauge that is 1 while a zone is evacuated.
func evacuatedGauge(z member.Zone) *metrics.Gauge {
	return metrics.GetOrCreateGauge("sycamoredoor_zone_evacuated{zone="+label.Quote(string(z))+"}", nil)
}

// warnProblems logs what of the operator's rows cannot be used.
func (f *Frontend) warnProblems(problems []string) {
	for _, p := range problems {
		f.options.Log.Warn("a row of the operator is ignored", "reason", p)
	}
}

// evacuationReport returns the evacuated zones for another VM, or nil if this VM knows none.
func (f *Frontend) evacuationReport() *inner.Evacuation {
	s := f.evacuationState()
	set := s.Set()
	if set.Revision == 0 {
		return nil
	}
	now := f.options.Clock.Now()
	out := &inner.Evacuation{From: f.options.Self.Name, Revision: set.Revision, Era: set.Era}
	for _, z := range set.Zones {
		since, _ := s.Since(z, now)
		out.Zones = append(out.Zones, inner.EvacuatedZone{Zone: z, Age: min(now-since, maxEvacuationAge)})
	}
	return out
}

// evacuationToTell returns what to tell other VMs in a round, or nil while nothing is evacuated and
// nothing has changed lately.
func (f *Frontend) evacuationToTell() *inner.Evacuation {
	f.mu.Lock()
	recent := f.options.Clock.Now() < f.evacuationToldUntil
	f.mu.Unlock()
	if !recent && len(f.evacuationState().Set().Zones) == 0 {
		return nil
	}
	return f.evacuationReport()
}

// receiveEvacuation takes what another VM tells of evacuated zones. The ages are those at the sender,
// so that a zone counts as evacuated at most the time of the message too late.
func (f *Frontend) receiveEvacuation(e inner.Evacuation) {
	set := evacuation.Set{Revision: e.Revision, Era: e.Era}
	since, now := map[member.Zone]clock.Millis{}, f.options.Clock.Now()
	for _, z := range e.Zones {
		set.Zones = append(set.Zones, z.Zone)
		since[z.Zone] = now - z.Age
	}
	f.adoptEvacuations(set, since, e.From)
}
