package frontend

import (
	"context"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

const (
	// firstCheckInterval is the interval at which a VM without a configuration checks whether it
	// is to read or to fetch one, in milliseconds.
	firstCheckInterval = clock.Millis(10)
	// firstFetchRetryDelay is the pause after a failed fetch of the first configuration, in
	// milliseconds.
	firstFetchRetryDelay = clock.Millis(50)
	// maxQuestionWait bounds how long a question of another VM waits for this VM's first
	// configuration, in milliseconds. firstFetchSilence is how long the asking VM waits for an
	// answer. It is short so that an upstream that has been lost costs little time.
	maxQuestionWait   = clock.Millis(250)
	firstFetchSilence = clock.Millis(400)
)

// awaitConfiguration waits until this VM has a configuration, at most wait milliseconds.
func (f *Frontend) awaitConfiguration(ctx context.Context, wait clock.Millis) {
	if f.catalog.Load() != nil {
		return
	}
	fired, stop := f.options.Clock.AfterFunc(wait)
	defer stop()
	select {
	case <-f.configured:
	case <-fired:
	case <-ctx.Done():
	}
}

// fetchFirstConfiguration fetches the first configuration from this VM's upstreams, until this VM has
// one.
func (f *Frontend) fetchFirstConfiguration(ctx context.Context) {
	for i := 0; ctx.Err() == nil && f.catalog.Load() == nil; i++ {
		sources := f.mesh.Upstreams()
		if len(sources) == 0 || f.transport.Load() == nil {
			_ = f.options.Clock.Sleep(ctx, firstCheckInterval)
			continue
		}
		if !f.fetchFirstFrom(sources[i%len(sources)]) {
			_ = f.options.Clock.Sleep(ctx, firstFetchRetryDelay)
		}
	}
}

// fetchFirstFrom fetches the first configuration from a VM, which delays its answer while it has none
// itself. It reports whether that succeeded.
func (f *Frontend) fetchFirstFrom(v member.VM) bool {
	asked := f.options.Clock.Now()
	answer, err := f.askWithin(v.Address, inner.Question{Topic: inner.TopicText, Wait: maxQuestionWait}, firstFetchSilence)
	if err != nil || f.catalog.Load() != nil {
		return false
	}
	if answer.Evacuation != nil {
		f.adoptReport(*answer.Evacuation, asked)
	}
	if f.adoptConfiguration(answer.Payload, v.Address) == 0 {
		return false
	}
	if answer.Version == 0 {
		return true
	}
	// The answer was made after the question, so the configuration was confirmed at this time or later.
	f.confirmConfiguration(answer.Version, asked-answer.VersionAge, v.Name)
	return true
}

// leavesFirstCopyToOthers reports whether this VM, which has no configuration, waits for that of
// another VM instead of reading the store.
func (f *Frontend) leavesFirstCopyToOthers() bool {
	now := f.options.Clock.Now()
	if f.mesh.List().Version == 0 {
		return f.first.WaitsForList(now)
	}
	return len(f.mesh.Upstreams()) > 0 && !f.first.Reads(f.mesh.KnownCount(), now)
}

// defersFirstRead reports whether this VM, which got its first configuration from another one, still
// postpones its own first read of the store.
func (f *Frontend) defersFirstRead() bool {
	now := f.options.Clock.Now()
	return f.first.Defers(now) && f.configurationCopy().Age(now) < f.bounds.MaxAge && len(f.mesh.Upstreams()) > 0
}
