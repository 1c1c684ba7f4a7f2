package frontend

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// poll is a long poll of the store that is in progress.
type poll struct {
	cancel context.CancelFunc
	// answering is set once the store's answer begins to arrive.
	answering bool
}

// errPollInterrupted means that interruptPollLocked ended the poll.
var errPollInterrupted = errors.New("the poll of the store was interrupted")

// waitForChange waits for a change after a version of the store, at most wait milliseconds. A
// poll on a dead connection fails only when this time is over. After an error it
// returns the version that it was given. It returns errPollInterrupted if the poll was
// interrupted.
func (f *Frontend) waitForChange(ctx context.Context, after uint64, wait clock.Millis) (Reading, uint64, error) {
	pollContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &poll{cancel: func() { cancel(errPollInterrupted) }}
	f.setPoll(p)
	defer f.setPoll(nil)
	reading, version, err := f.options.Source.WaitFunc(pollContext, after, wait, func() { f.recordAnswering(p) })
	switch {
	case err != nil && errors.Is(context.Cause(pollContext), errPollInterrupted):
		return Reading{}, after, errPollInterrupted
	case err != nil:
		return Reading{}, after, err
	}
	return reading, version, nil
}

func (f *Frontend) setPoll(p *poll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poll = p
}

func (f *Frontend) recordAnswering(p *poll) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.answering = true
}

// interruptPollLocked ends a poll of the store that has been silent for behindTimeout
// although another VM has had a later configuration for as long: its connection may be
// dead. The caller holds f.mu.
func (f *Frontend) interruptPollLocked(now clock.Millis) {
	p := f.poll
	if p == nil || p.answering || now-f.storeAskedAt <= behindTimeout || !f.isBehindLocked(now) {
		return
	}
	f.poll = nil
	p.cancel()
}
