package database

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// TestChangeDuringColdWait guards against a statement that waits on its connection for the limit of
// a cold server, and is then sent although the server has been replaced as the primary, where a read
// would be stale, or although its region is not allowed any more.
func TestChangeDuringColdWait(t *testing.T) {
	for name, c := range map[string]struct {
		changeFunc func(*Group)
		allowed    regions.Allowed
		want       error
	}{
		"none":    {changeFunc: func(*Group) {}},
		"primary": {changeFunc: func(g *Group) { g.setWatch(g.watch.WithTerm(2, "q")) }, want: ErrNoPrimary},
		"regions": {changeFunc: func(*Group) {}, allowed: regions.Only([]string{"elsewhere"}), want: ErrRegionsChanged},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, l := &fakeGroup{}, &sentLog{}
				g := l.group(t, f)
				g.options.ColdFunc = func(Server) Cold { return Cold{} }
				f.runTicks(g, testTimeout, g.Ready)
				conn, err := g.AcquirePrimary(context.Background(), Requester{Account: "acme", Weight: 1}, 1000)
				if err != nil {
					t.Fatal(err)
				}
				p := conn.pool
				p.mu.Lock()
				now := g.options.Clock.Now()
				g.options.ColdFunc = func(Server) Cold { return Cold{Limited: true, Until: now + 60*clock.Second} }
				g.options.ColdShareFunc = func(Server) int { return 1 }
				p.slow.quota = p.slow.quota.WithSent(now - clock.Second)
				p.mu.Unlock()
				time.AfterFunc(50*time.Millisecond, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					c.changeFunc(g)
				})
				_, err = conn.Run(Request{ID: "x", Timeout: 1000, RegionsFunc: func() regions.Allowed { return c.allowed }})
				conn.Release()
				if want := c.want == nil; !errors.Is(err, c.want) || want != (l.count("p") == 1) || !want && !IsUnsent(err) {
					t.Errorf("%d statements sent, error %v, want %v", l.count("p"), err, c.want)
				}
			})
		})
	}
}
