package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

const (
	// followInterval is the pause between two checks whether a relay still keeps this VM
	// up to date, in milliseconds.
	followInterval = clock.Millis(400)
	// behindTimeout is the time after which a VM reads a configuration that another VM has
	// from the store, in milliseconds, unless the store is sending it already.
	behindTimeout = clock.Millis(800)
	// errorRetryDelay is the pause after a failed call, in milliseconds, and firstRetryDelay
	// that after the first one in a row, whose connection may have been dead.
	errorRetryDelay = clock.Millis(300)
	firstRetryDelay = clock.Millis(50)
)

// ErrHistoryDropped means that the store no longer has the changes after the given
// version; the whole configuration must be read again.
var ErrHistoryDropped = errors.New("the store has dropped the history of the configuration")

// Source provides the operators' configuration.
type Source struct {
	// ParseFunc parses a configuration.
	ParseFunc func(text []byte) (*catalog.Catalog, error)
	// ReadFunc returns the text of the newest configuration, nil if there is none, and
	// the version of the store.
	ReadFunc func(ctx context.Context) ([]byte, uint64, error)
	// WaitFunc waits for a change after a version of the store, at most wait
	// milliseconds. It returns the new text, nil if there was none, and the version for
	// the next call. It returns ErrHistoryDropped when the version is too old. It calls
	// answering when the store's answer begins to arrive.
	WaitFunc func(ctx context.Context, after uint64, wait clock.Millis, answering func()) ([]byte, uint64, error)
}

// followConfiguration reads the configuration from the store and adopts each change until
// the context ends. After an error it reads the whole configuration again. It makes no calls
// while a relay keeps this VM up to date; a relay may be too slow to hand over what it
// reports.
func (f *Frontend) followConfiguration(ctx context.Context) {
	version, hasVersion := uint64(0), false
	// inStore is the version of the last configuration that the store returned.
	inStore := uint64(0)
	pause := firstRetryDelay
	for ctx.Err() == nil {
		if f.catalog.Load() != nil && f.mesh.FollowsRelay() && !f.isBehind() {
			// The changes that the relay reports are fetched from it.
			hasVersion = false
			_ = f.options.Clock.Sleep(ctx, followInterval)
			continue
		}
		var text []byte
		var err error
		asked, polls := f.options.Clock.Now(), hasVersion
		f.mu.Lock()
		f.storeAskedAt = asked
		f.mu.Unlock()
		f.configCalls.Inc()
		if polls {
			text, version, err = f.waitForChange(ctx, version)
		} else {
			text, version, err = f.options.Source.ReadFunc(ctx)
		}
		hasVersion = err == nil
		f.recordDependency("configuration", err)
		if err != nil {
			if !errors.Is(err, ErrHistoryDropped) && !errors.Is(err, errPollInterrupted) {
				_ = f.options.Clock.Sleep(ctx, pause)
				pause = errorRetryDelay
			}
			continue
		}
		pause = firstRetryDelay
		if text != nil {
			inStore = f.adoptConfiguration(text, freshness.Store)
		}
		if inStore > 0 {
			f.confirmConfiguration(inStore, f.answeredAt(asked, polls && text == nil), freshness.Store)
		}
	}
}

// answeredAt returns a time, not after the present one, that is not later than the answer of the
// store to a call that began at the time asked. A poll without a change is answered once it has
// lasted storeWait.
func (f *Frontend) answeredAt(asked clock.Millis, unchanged bool) clock.Millis {
	if unchanged && f.options.Clock.Now()-asked >= storeWait {
		return asked + storeWait
	}
	return asked
}

// configurationCopy returns what this VM knows of the age of its configuration.
func (f *Frontend) configurationCopy() freshness.Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configCopy
}

// confirmConfiguration records that the store had no version later than this one at the time at,
// as the store or the VM called by reported.
func (f *Frontend) confirmConfiguration(version uint64, at clock.Millis, by string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configCopy = f.configCopy.WithConfirmation(version, at, by)
}

// observeAge shows the age of the configuration, once it is known.
func (f *Frontend) observeAge() {
	if c := f.configurationCopy(); c.IsConfirmed() {
		f.ageGauge.Set(c.Age(f.options.Clock.Now()).Duration().Seconds())
	}
}

// storeCallAge returns the time since the last call that reads the configuration from the
// store began, whether or not it has ended.
func (f *Frontend) storeCallAge() clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Clock.Now() - f.storeAskedAt
}

// isBehind reports whether another VM has had a later configuration for behindTimeout, so
// that fetching it from there does not succeed.
func (f *Frontend) isBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isBehindLocked(f.options.Clock.Now())
}

// isBehindLocked is isBehind at time now. The caller holds f.mu.
func (f *Frontend) isBehindLocked(now clock.Millis) bool {
	return f.laterKnownAt > 0 && now-f.laterKnownAt > behindTimeout
}

// adoptConfiguration puts a configuration in force, unless this VM has that version or a
// later one. The parameter from is its source, see freshness.Copy. It returns the version, or 0
// if the text cannot be parsed.
func (f *Frontend) adoptConfiguration(text []byte, from string) uint64 {
	c, err := f.options.Source.ParseFunc(text)
	if err != nil {
		f.options.Log.Error("parsing the configuration failed; the earlier one stays in force", "from", from, "err", err)
		return 0
	}
	f.mu.Lock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		f.mu.Unlock()
		return c.Version
	}
	f.catalog.Store(c)
	f.configText, f.laterKnownAt = text, 0
	f.configCopy = f.configCopy.WithVersion(c.Version, from, f.options.Clock.Now())
	f.mu.Unlock()
	invariant.Check(old == nil || f.catalog.Load().Version > old.Version, invariant.ConfigForward, "version %d replaced a later one", c.Version)
	f.logConfiguration(c.Version, from)
	f.limiter.createBuckets(c.Accounts())
	f.updateGroups()
	return c.Version
}

// logConfiguration logs that a version from a source, see freshness.Copy, is in force.
func (f *Frontend) logConfiguration(version uint64, source string) {
	if source == freshness.Store {
		f.options.Log.Info("configuration in force", "version", version, "from", "store")
		return
	}
	f.options.Log.Info("configuration in force", "version", version, "from", "vm", "address", source)
}

// recordDependency records the result of a call to a dependency and logs when the
// dependency is lost or regained. It ignores errors that do not show a loss:
// ErrHistoryDropped, an interrupted poll and a canceled context.
func (f *Frontend) recordDependency(name string, err error) {
	if errors.Is(err, ErrHistoryDropped) || errors.Is(err, errPollInterrupted) || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	wasLost := f.lostDependencies[name]
	f.lostDependencies[name] = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !wasLost:
		f.options.Log.Warn("dependency lost", "name", name, "err", err)
	case err == nil && wasLost:
		f.options.Log.Info("dependency regained", "name", name)
	}
}
