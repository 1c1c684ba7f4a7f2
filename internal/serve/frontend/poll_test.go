package frontend

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

const (
	// configDeadline is how long after its acknowledgement a version must be in force at the
	// VMs that are in touch with the store, and contactTime how long a VM's connections must
	// have worked for it to count as in touch.
	configDeadline = 3 * time.Second
	contactTime    = 4 * time.Second
	// answerMargin is how long after the end of a poll the store's client waits for the
	// answer.
	answerMargin = clock.Millis(1500)
)

// silentStore is a store that has version 1 at the first read and version 2 later, and whose
// polls end without an answer.
type silentStore struct {
	clock clock.Clock
	reads atomic.Int64
	// slow is how long the answer of a poll, version 2, takes to arrive, in milliseconds; 0
	// means that polls get no answer.
	slow clock.Millis
}

func (s *silentStore) source() Source {
	return Source{
		ParseFunc: func(text []byte) (*catalog.Catalog, error) {
			version, err := strconv.ParseUint(string(text), 10, 64)
			return catalog.New(version), err
		},
		ReadFunc: func(context.Context) (Reading, uint64, error) {
			n := s.reads.Add(1)
			return Reading{Text: []byte(strconv.FormatInt(min(n, 2), 10))}, uint64(n), nil
		},
		WaitFunc: func(ctx context.Context, _ uint64, wait clock.Millis, answering func()) (Reading, uint64, error) {
			if s.slow > 0 {
				answering()
				return Reading{Text: []byte("2")}, 2, s.clock.Sleep(ctx, s.slow)
			}
			if err := s.clock.Sleep(ctx, wait+answerMargin); err != nil {
				return Reading{}, 0, err
			}
			return Reading{}, 0, errors.New("no answer")
		},
	}
}

// followSilentStore starts a VM, not a first relay, that follows a silentStore, and waits
// until it has version 1.
func followSilentStore(t *testing.T, s *silentStore) *Frontend {
	t.Helper()
	c := clock.System()
	s.clock = c
	vms := []member.VM{{Name: "vm1", Zone: "a"}, {Name: "vm2", Zone: "a"}, {Name: "vm3", Zone: "a"}}
	f := &Frontend{configured: make(chan struct{}), lostDependencies: map[string]bool{}, configCopy: freshness.New(), configCalls: &metrics.Counter{}}
	for _, v := range vms {
		f.options = Options{Self: v, Clock: c, Log: log.New(io.Discard), Source: s.source()}
		f.mesh = gossip.New(gossip.Options{Self: v, Clock: c, ListFunc: func(context.Context) (inner.List, error) { return inner.List{VMs: vms}, nil }})
		if err := f.mesh.RefreshVMs(t.Context()); err != nil {
			t.Fatal(err)
		}
		if !f.mesh.IsFirstRelay(v.Name, v.Zone) {
			break
		}
	}
	f.limiter = newLimiter(c, Tolerance{})
	f.limiter.vmCountFunc, f.limiter.buckets = func() int { return 1 }, map[string]quota.Bucket{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.followConfiguration(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	awaitVersion(t, f, 1, configDeadline)
	return f
}

// awaitVersion fails the test if a version is not in force within a time.
func awaitVersion(t *testing.T, f *Frontend, version uint64, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c := f.catalog.Load(); c != nil && c.Version >= version {
			return
		}
	}
	t.Fatalf("version %d is not in force after %s", version, within)
}

// TestPollOnDeadConnection guards against a poll of the store without an answer that keeps a VM at an older configuration.
func TestPollOnDeadConnection(t *testing.T) {
	f := followSilentStore(t, &silentStore{})
	awaitVersion(t, f, 2, contactTime+configDeadline)
}

// TestReportDuringDeadPoll guards against a VM that waits for the end of a poll although another VM reports a later configuration.
func TestReportDuringDeadPoll(t *testing.T) {
	f := followSilentStore(t, &silentStore{})
	reportLaterVersion(t, f)
	awaitVersion(t, f, 2, configDeadline)
}

// TestAnsweringPollContinues guards against a poll that is interrupted while a long configuration arrives.
func TestAnsweringPollContinues(t *testing.T) {
	s := &silentStore{slow: 2 * behindTimeout}
	f := followSilentStore(t, s)
	reportLaterVersion(t, f)
	awaitVersion(t, f, 2, configDeadline)
	if diff := cmp.Diff(int64(1), s.reads.Load()); diff != "" {
		t.Errorf("reads of the store (-want +got):\n%s", diff)
	}
}

// reportLaterVersion reports version 2 from a VM from which no fetch succeeds, until the test
// ends.
func reportLaterVersion(t *testing.T, f *Frontend) {
	f.mu.Lock()
	f.nextFetchAt = 1 << 40
	f.mu.Unlock()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				f.startConfigurationFetch(versionReport{address: "vm", version: 2})
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
}
