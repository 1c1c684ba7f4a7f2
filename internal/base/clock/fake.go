package clock

import "sync"

// Fake is a clock for tests. Its time changes only through Advance.
type Fake struct {
	mu     sync.Mutex
	now    Millis
	timers []*fakeTimer
}

type fakeTimer struct {
	deadline Millis
	fired    chan struct{}
}

// NewFake returns a fake clock set to the given time.
func NewFake(now Millis) *Fake { return &Fake{now: now} }

// Clock returns a Clock that reads the fake time.
func (f *Fake) Clock() Clock { return Clock{NowFunc: f.readNow, AfterFunc: f.startTimer} }

// Advance moves the clock forward and fires every timer whose deadline is reached.
func (f *Fake) Advance(m Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += m
	pending := f.timers[:0]
	for _, t := range f.timers {
		if t.deadline > f.now {
			pending = append(pending, t)
			continue
		}
		t.fired <- struct{}{}
	}
	f.timers = pending
}

func (f *Fake) readNow() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// startTimer implements Clock.AfterFunc.
func (f *Fake) startTimer(m Millis) (<-chan struct{}, func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{deadline: f.now + m, fired: make(chan struct{}, 1)}
	if m <= 0 {
		t.fired <- struct{}{}
		return t.fired, func() {}
	}
	f.timers = append(f.timers, t)
	return t.fired, func() { f.stopTimer(t) }
}

func (f *Fake) stopTimer(t *fakeTimer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.timers {
		if o == t {
			f.timers = append(f.timers[:i], f.timers[i+1:]...)
			return
		}
	}
}
