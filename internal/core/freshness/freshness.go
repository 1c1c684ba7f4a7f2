// Package freshness tracks the age of a VM's copy of a record in the store, and decides when a VM
// that gets it from others reads the store itself. The age counts from when the store had nothing
// later than the copy, whichever VMs have passed that on.
package freshness

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// Store is the source of what this VM read from the store itself.
const Store = "store"

// Copy describes a copy of a record. It is immutable.
type Copy struct {
	// Version is the version of the record, 0 while there is no copy.
	Version uint64
	// Source is where this VM got the version from, Store or the address of another VM, and
	// AdoptedAt when.
	Source    string
	AdoptedAt clock.Millis
	// ConfirmedAt is a time at which the store had no later version, as ConfirmedBy reported:
	// Store or the name of another VM. It is never later than the read of the store on which
	// the report relies.
	ConfirmedAt clock.Millis
	ConfirmedBy string
}

// New returns the state before there is a copy.
func New() Copy { return Copy{ConfirmedAt: clock.DistantPast} }

// WithVersion records that a later version from a source replaces the copy at time now.
func (c Copy) WithVersion(version uint64, source string, now clock.Millis) Copy {
	c.Version, c.Source, c.AdoptedAt = version, source, now
	return c
}

// WithConfirmation records that the store had nothing later than a version at the time at. It has
// no effect on a copy of an earlier version.
func (c Copy) WithConfirmation(version uint64, at clock.Millis, by string) Copy {
	if version > c.Version || at <= c.ConfirmedAt {
		return c
	}
	c.ConfirmedAt, c.ConfirmedBy = at, by
	return c
}

// IsConfirmed reports whether the store ever confirmed a copy.
func (c Copy) IsConfirmed() bool { return c.ConfirmedAt != clock.DistantPast }

// Age returns the time since the store last had nothing later, in milliseconds. It is longer
// than any bound if the copy was never confirmed.
func (c Copy) Age(now clock.Millis) clock.Millis { return now - c.ConfirmedAt }
