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
	// announceEvacuationsTime is how long this VM still sends its state of evacuations after the last
	// one has ended, or after an outdated message of another VM, in milliseconds.
	announceEvacuationsTime = 60 * clock.Second
	// maxEvacuationAge bounds the age of an evacuation in messages, in milliseconds.
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

// adoptEvacuations adopts a report of the evacuated zones if it is newer than the known one, and sends a
// change to other VMs early. since holds the times from which zones are evacuated, as far as the report
// has them. from is its source; see freshness.Copy.
func (f *Frontend) adoptEvacuations(next evacuation.Set, since map[member.Zone]clock.Millis, from string) {
	f.mu.Lock()
	now := f.options.Clock.Now()
	before := f.evacuationState()
	after := before.WithSet(next, since, now)
	changed := !slices.Equal(before.Set().Zones, after.Set().Zones)
	outdated := next.Revision < before.Set().Revision && !slices.Equal(next.Zones, before.Set().Zones)
	if changed || outdated {
		f.announceEvacuationsUntil = now + announceEvacuationsTime
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

// observeEvacuations logs each zone whose evacuation has begun or ended, sets its gauge, and warns if no
// server is in the zone. It is also called periodically, because an evacuation that a restored store
// lacks ends without a report.
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

// markRecovering begins a slow start of the servers of a zone after its evacuation, in which they ran no
// statements.
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

// warnProblems logs why rows of the operator cannot be used.
func (f *Frontend) warnProblems(problems []string) {
	for _, p := range problems {
		f.options.Log.Warn("a row of the operator is ignored", "reason", p)
	}
}

// evacuationReport returns the evacuated zones for another VM, or nil before the first report.
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

// evacuationsToAnnounce returns the message on evacuated zones for a round of gossip, or nil if no zone is
// evacuated and announceEvacuationsUntil has passed.
func (f *Frontend) evacuationsToAnnounce() *inner.Evacuation {
	f.mu.Lock()
	recent := f.options.Clock.Now() < f.announceEvacuationsUntil
	f.mu.Unlock()
	if !recent && len(f.evacuationState().Set().Zones) == 0 {
		return nil
	}
	return f.evacuationReport()
}

// receiveEvacuation adopts a message of another VM on evacuated zones. The ages are those when it was
// sent, so the start of an evacuation is late here by the time that the message took.
func (f *Frontend) receiveEvacuation(e inner.Evacuation) {
	f.adoptReport(e, f.options.Clock.Now())
}

// adoptReport adopts a report of another VM, which was made at a time of this VM's clock or later.
func (f *Frontend) adoptReport(e inner.Evacuation, madeAfter clock.Millis) {
	set := evacuation.Set{Revision: e.Revision, Era: e.Era}
	since := map[member.Zone]clock.Millis{}
	for _, z := range e.Zones {
		set.Zones = append(set.Zones, z.Zone)
		since[z.Zone] = madeAfter - z.Age
	}
	f.adoptEvacuations(set, since, e.From)
}
