package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

const (
	// storeWait is how long the store is asked to hold a question for changes, in
	// milliseconds, and relayWait the same at a relay: a question on a connection that
	// has gone silent is found out no sooner, and the other VMs hear of a change then.
	storeWait      = 25 * clock.Second
	relayStoreWait = 3 * clock.Second
	// errorRetryDelay is the pause after a failed call of the store.
	errorRetryDelay = clock.Millis(300)
)

// ErrHistoryDropped means that the changes after a version are not to be had any more.
var ErrHistoryDropped = errors.New("the changes have been forgotten")

// Source is where the operators' configuration comes from.
type Source struct {
	// ParseFunc decodes a configuration.
	ParseFunc func(text []byte) (*catalog.Catalog, error)
	// ReadFunc returns the newest text, or nil, and the store's version.
	ReadFunc func(ctx context.Context) ([]byte, uint64, error)
	// WaitFunc returns a text that came after a version of the store, or nil after
	// the wait, and the version to go on from.
	WaitFunc func(ctx context.Context, after uint64, wait clock.Millis) ([]byte, uint64, error)
}

// followConfiguration keeps the configuration in force until the context ends.
func (f *Frontend) followConfiguration(ctx context.Context) {
	version, hasVersion := uint64(0), false
	for ctx.Err() == nil {
		var text []byte
		var err error
		if hasVersion {
			text, version, err = f.waitForChange(ctx, version)
		} else {
			text, version, err = f.options.Source.ReadFunc(ctx)
		}
		hasVersion = err == nil
		f.recordDependency("configuration", err)
		if err != nil {
			if !errors.Is(err, ErrHistoryDropped) {
				_ = f.options.Clock.Sleep(ctx, errorRetryDelay)
			}
			continue
		}
		if text != nil {
			f.adoptConfiguration(text, "store")
		}
	}
}

func (f *Frontend) waitForChange(ctx context.Context, after uint64) ([]byte, uint64, error) {
	wait := storeWait
	if f.mesh.IsFirstRelay(f.options.Self.Name, f.options.Self.Zone) {
		wait = relayStoreWait
	}
	text, version, err := f.options.Source.WaitFunc(ctx, after, wait)
	if err != nil {
		return nil, after, err
	}
	return text, version, nil
}

// adoptConfiguration puts a configuration in force unless a later one is.
func (f *Frontend) adoptConfiguration(text []byte, from string) {
	c, err := f.options.Source.ParseFunc(text)
	if err != nil {
		f.options.Log.Error("configuration not understood; the earlier one stays in force", "from", from, "err", err)
		return
	}
	f.mu.Lock()
	old := f.catalog.Load()
	if old != nil && old.Version >= c.Version {
		f.mu.Unlock()
		return
	}
	f.catalog.Store(c)
	f.configText = text
	f.mu.Unlock()
	invariant.Check(old == nil || f.catalog.Load().Version > old.Version, invariant.ConfigForward, "version %d replaced a later one", c.Version)
	f.options.Log.Info("configuration in force", "version", c.Version, "from", from)
	f.limiter.prepare(c.Accounts())
	f.updateGroups()
}

// recordDependency logs a dependency that was lost or regained.
func (f *Frontend) recordDependency(name string, err error) {
	if errors.Is(err, ErrHistoryDropped) || errors.Is(err, context.Canceled) {
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
