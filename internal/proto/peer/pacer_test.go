package peer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/pace"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// sink reads each stream until it ends and sends nothing.
var sink = Handlers{StreamFunc: func(_ context.Context, _ string, s Stream) {
	for {
		if _, err := s.Receive(); err != nil {
			return
		}
	}
}}

// sendFrame sends one frame with a body of size bytes on a new stream, in a goroutine, and
// returns the stream. The goroutine sends the account to entered once the frame has
// entered the link, or "error" if that fails.
func sendFrame(t *testing.T, p *Transport, address string, l Label, size int, entered chan<- string) inner.Exchange {
	t.Helper()
	x, err := p.Open(t.Context(), address, l)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if x.Send(inner.Frame{Kind: inner.KindData, Body: make([]byte, size)}) == nil {
			entered <- l.Account
		} else {
			entered <- "error"
		}
	}()
	return x
}

func nextEntered(t *testing.T, entered <-chan string) string {
	t.Helper()
	select {
	case account := <-entered:
		return account
	case <-time.After(testTimeout):
		t.Fatal("no frame entered the link")
		return ""
	}
}

// TestHeavyAccountDoesNotStarveOthers fills the link to another region with ten frames of
// one account, each a whole piece. A short frame of another account that is queued
// last must enter after at most half of them, and a frame to the sender's own region
// must not wait.
func TestHeavyAccountDoesNotStarveOthers(t *testing.T) {
	fake := clock.NewFake(0)
	keyring := newTestKeyring(t)
	b := serve(t, keyring, Options{}, sink)
	a := serve(t, keyring, Options{Clock: fake.Clock(), Region: "mainland", Link: pace.Link{Rate: 1000, Burst: pieceSize}}, echo)
	entered := make(chan string, 20)
	// Each heavy frame is one piece, so that its sender queues only once.
	const heavyFrames, headerSize = 10, 5
	for range heavyFrames {
		sendFrame(t, a, b.Address(), Label{Region: "okanagan", Account: "heavy", Weight: 1}, pieceSize-headerSize, entered)
	}
	eventually(t, "the first frames wait", func() bool { return waitingPieces(a, "okanagan") >= heavyFrames-1 })
	if diff := cmp.Diff("heavy", nextEntered(t, entered)); diff != "" {
		t.Errorf("entered first (-want +got):\n%s", diff)
	}
	sendFrame(t, a, b.Address(), Label{Region: "mainland", Account: "near", Weight: 1}, 100, entered)
	if diff := cmp.Diff("near", nextEntered(t, entered)); diff != "" {
		t.Errorf("entered without waiting (-want +got):\n%s", diff)
	}
	sendFrame(t, a, b.Address(), Label{Region: "okanagan", Account: "light", Weight: 1}, 100, entered)
	eventually(t, "the light account waits", func() bool { return waitingPieces(a, "okanagan") >= heavyFrames })
	var order []string
	eventually(t, "the light account's frame enters the link", func() bool {
		fake.Advance(20)
		for len(entered) > 0 {
			order = append(order, <-entered)
		}
		return slices.Contains(order, "light")
	})
	if n := len(order) - 1; n > heavyFrames/2 {
		t.Errorf("%d of the %d waiting frames of the heavy account entered before the light one", n, heavyFrames-1)
	}
}

func waitingPieces(t *Transport, region string) int {
	t.mu.Lock()
	p := t.pacers[region]
	t.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}

// TestCloseWhileWaiting closes a stream whose frame waits for the link: the sender
// gets an error at once, and the frame no longer delays the next one.
func TestCloseWhileWaiting(t *testing.T) {
	fake := clock.NewFake(0)
	r := newTestKeyring(t)
	b := serve(t, r, Options{}, sink)
	a := serve(t, r, Options{Clock: fake.Clock(), Link: pace.Link{Rate: 1, Burst: 1000}}, echo)
	entered := make(chan string, 3)
	label := Label{Region: "okanagan", Account: "a"}
	sendFrame(t, a, b.Address(), label, 900, entered)
	if diff := cmp.Diff("a", nextEntered(t, entered)); diff != "" {
		t.Fatal(diff)
	}
	x := sendFrame(t, a, b.Address(), label, 800, entered)
	eventually(t, "the frame waits", func() bool { return waitingPieces(a, "okanagan") == 1 })
	x.Close()
	if diff := cmp.Diff("error", nextEntered(t, entered)); diff != "" {
		t.Errorf("closed while waiting (-want +got):\n%s", diff)
	}
	if n := waitingPieces(a, "okanagan"); n != 0 {
		t.Errorf("%d pieces of a closed stream wait", n)
	}
	sendFrame(t, a, b.Address(), label, 50, entered)
	if diff := cmp.Diff("a", nextEntered(t, entered)); diff != "" {
		t.Errorf("after the close (-want +got):\n%s", diff)
	}
}

// BenchmarkLink measures how long a short piece waits for a link of 1 MB/s that eight
// goroutines keep full with pieces of the account "heavy". In "fair" the short piece
// belongs to another account; in "fifo" it belongs to the same one, whose pieces are
// served first in, first out.
func BenchmarkLink(b *testing.B) {
	for _, c := range []struct{ name, account string }{{"fair", "light"}, {"fifo", "heavy"}} {
		b.Run(c.name, func(b *testing.B) {
			p := &pacer{clock: clock.System(), wake: make(chan struct{}, 1)}
			p.queue = pace.New(pace.Link{Rate: 1e6, Burst: 16 << 10}, p.clock.Now())
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{}, 9)
			go func() { p.run(ctx); ended <- struct{}{} }()
			for range 8 {
				go func() {
					var err error
					for err == nil {
						err = p.awaitAdmission(ctx, &pace.Piece{Account: "heavy", Weight: 1, Size: pieceSize})
					}
					ended <- struct{}{}
				}()
			}
			waits := make([]time.Duration, 0, b.N)
			for b.Loop() {
				start := time.Now()
				_ = p.awaitAdmission(ctx, &pace.Piece{Account: c.account, Weight: 1, Size: 200})
				waits = append(waits, time.Since(start))
				time.Sleep(5 * time.Millisecond)
			}
			cancel()
			for range cap(ended) {
				<-ended
			}
			slices.Sort(waits)
			b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}
