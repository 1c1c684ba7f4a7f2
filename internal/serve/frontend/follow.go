package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

const (
	// followInterval is the pause between two checks whether a relay still keeps this VM
	// up to date, in milliseconds.
	followInterval = clock.Millis(200)
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
	// ReadFunc returns the newest configuration, every evacuation, and the version of the store.
	ReadFunc func(ctx context.Context) (Reading, uint64, error)
	// WaitFunc waits for a change after a version of the store, at most wait milliseconds. It
	// returns the changes and the version for the next call, or ErrHistoryDropped when the given
	// version is too old. It calls answering when the store's answer begins to arrive.
	WaitFunc func(ctx context.Context, after uint64, wait clock.Millis, answering func()) (Reading, uint64, error)
}

// Reading is the result of a call of the store.
type Reading struct {
	// Text is the text of the newest configuration, nil if there is none.
	Text []byte
	// Evacuations holds all evacuations from ReadFunc, and the changes of them from WaitFunc. Era
	// is the era of the store's version.
	Evacuations []evacuation.Change
	Era         uint64
	// Problems describes the rows that cannot be used, and why.
	Problems []string
}

// followConfiguration reads the configuration from the store and adopts each change until
// the context ends. After an error it reads the whole configuration again. It makes no calls
// while relays keep this VM up to date.
func (f *Frontend) followConfiguration(ctx context.Context) {
	r := storeReader{frontend: f, pause: firstRetryDelay}
	for ctx.Err() == nil {
		if f.leavesStoreToRelays() {
			// The changes that a relay reports are fetched from it.
			r.hasVersion = false
			_ = f.options.Clock.Sleep(ctx, f.followPause())
			continue
		}
		r.read(ctx)
	}
}

// leavesStoreToRelays reports whether this VM makes no call of the store now: relays keep it up to
// date, or its last call failed a short time ago. Relays do not keep it up to date if its copy has
// not been confirmed at the store lately, or if one reports a version that cannot be fetched from it.
// The check looks at each known VM, to determine the role of this one.
func (f *Frontend) leavesStoreToRelays() bool {
	switch {
	case f.catalog.Load() == nil:
		return f.leavesFirstCopyToOthers()
	case f.mesh.Role() != gossip.Follower:
		return f.defersFirstRead()
	}
	now, vms, inTouch := f.options.Clock.Now(), f.mesh.KnownCount(), f.mesh.FollowsRelay()
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.configCopy.Age(now)
	f.follower = f.follower.WithAge(age, vms, now)
	if !f.follower.MayCall(now) {
		return true
	}
	relies := inTouch && !f.follower.Reads(now) && !f.isBehindLocked(now)
	invariant.Check(!relies || age < f.bounds.Deadline, invariant.ConfigCurrent, "relying on other VMs with a copy that is %d ms old", age)
	return relies
}

// followPause returns the pause between two checks whether this VM is to read the store, in
// milliseconds.
func (f *Frontend) followPause() clock.Millis {
	if f.catalog.Load() == nil {
		return firstCheckInterval
	}
	return followInterval
}

// storeReader reads the configuration from the store, call by call.
type storeReader struct {
	frontend *Frontend
	// version is the version of the store to poll from, if hasVersion is set.
	version    uint64
	hasVersion bool
	// inStore is the version of the last configuration that the store returned, 0 before the
	// first, and confirmedAt a time at which it was the last one there.
	inStore     uint64
	confirmedAt clock.Millis
	// evacuated is the evacuated zones as of version.
	evacuated evacuation.Set
	// pause is the pause after the next failed call, in milliseconds.
	pause clock.Millis
}

// read makes one call, a poll if the version of the store is known, and adopts the result. After
// an error it pauses.
func (r *storeReader) read(ctx context.Context) {
	f := r.frontend
	asked := f.options.Clock.Now()
	f.mu.Lock()
	f.storeAskedAt = asked
	f.mu.Unlock()
	f.configCalls.Inc()
	reading, unchangedFor, err := r.call(ctx, asked)
	text := reading.Text
	r.hasVersion = err == nil
	f.recordDependency("configuration", err)
	switch {
	case errors.Is(err, ErrHistoryDropped) || errors.Is(err, errPollInterrupted):
		return
	case err != nil:
		r.pauseAfterFailure(ctx)
		return
	}
	r.pause = firstRetryDelay
	f.recordSuccess()
	f.warnProblems(reading.Problems)
	f.adoptEvacuations(r.evacuated, nil, freshness.Store)
	if text != nil {
		r.inStore = f.adoptConfiguration(text, freshness.Store)
	}
	if r.inStore > 0 {
		r.confirmedAt = asked + unchangedFor
		f.confirmConfiguration(r.inStore, r.confirmedAt, freshness.Store)
	}
}

// call makes one call of the store, which begins at the time asked. It returns the result, and the time
// in milliseconds from then on for which the store had no later one: a poll without a change is
// answered only when its wait is over.
func (r *storeReader) call(ctx context.Context, asked clock.Millis) (reading Reading, unchangedFor clock.Millis, err error) {
	f := r.frontend
	if !r.hasVersion {
		reading, r.version, err = f.options.Source.ReadFunc(ctx)
		r.evacuated = evacuation.Set{}.With(reading.Evacuations, r.version, reading.Era)
		return reading, 0, err
	}
	wait := freshness.MaxPollWait
	if f.mesh.UsesRelays() {
		wait = f.bounds.NextPoll(r.confirmedAt, asked)
	}
	reading, r.version, err = f.waitForChange(ctx, r.version, wait)
	r.evacuated = r.evacuated.With(reading.Evacuations, r.version, reading.Era)
	if reading.Text == nil && f.options.Clock.Now()-asked >= wait {
		unchangedFor = wait
	}
	return reading, unchangedFor, err
}

// pauseAfterFailure lets time pass after a failed call. A follower pauses longer from call to
// call, since there are many.
func (r *storeReader) pauseAfterFailure(ctx context.Context) {
	f := r.frontend
	if f.catalog.Load() != nil && f.mesh.Role() == gossip.Follower {
		f.mu.Lock()
		f.follower = f.follower.WithFailure(f.options.Clock.Now())
		f.mu.Unlock()
		return
	}
	_ = f.options.Clock.Sleep(ctx, r.pause)
	r.pause = errorRetryDelay
}

func (f *Frontend) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower = f.follower.WithSuccess()
}

// configurationCopy returns what this VM knows of the age of its configuration.
func (f *Frontend) configurationCopy() freshness.Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configCopy
}

// confirmConfiguration records that the store had no configuration later than a version at the
// time at, as the store or the VM called by reported. If this VM's copy was too old until now, it
// passes that on soon, since the copies of the VMs that rely on it are as old.
func (f *Frontend) confirmConfiguration(version uint64, at clock.Millis, by string) {
	now := f.options.Clock.Now()
	f.mu.Lock()
	wasOld := f.configCopy.Age(now) >= f.bounds.MaxAge
	f.configCopy = f.configCopy.WithConfirmation(version, at, by)
	renewed := wasOld && f.configCopy.Age(now) < f.bounds.MaxAge
	f.mu.Unlock()
	if !renewed || !f.mesh.UsesRelays() {
		return
	}
	if by == freshness.Store || f.mesh.Role() == gossip.Relay {
		f.mesh.GossipSoon()
	}
}

// drawOf returns a number from 0 to below 1 for a random one.
func drawOf(random uint64) float64 {
	const bits = 53
	return float64(random>>(64-bits)) / (1 << bits)
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
	if old == nil {
		close(f.configured)
	}
	f.mu.Unlock()
	invariant.Check(old == nil || f.catalog.Load().Version > old.Version, invariant.ConfigForward, "version %d replaced a later one", c.Version)
	f.logConfiguration(c.Version, from)
	for _, problem := range c.Problems() {
		f.options.Log.Warn("sessions are refused", "version", c.Version, "reason", problem)
	}
	f.limiter.createBuckets(c.Accounts())
	f.updateGroups()
	f.checkRegionNames()
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
