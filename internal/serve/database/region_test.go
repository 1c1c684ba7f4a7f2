package database

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/tenure"
)

// regionalGroup returns a group whose primary p is in region x and whose replicas q and r are in y.
func regionalGroup(t *testing.T) *Group {
	t.Helper()
	g := (&fakeGroup{}).group(t, 4)
	g.Update([]Server{{ID: "p", Group: "g", Region: "x", Slots: 2}, {ID: "q", Group: "g", Region: "y", Slots: 2}, {ID: "r", Group: "g", Region: "y", Slots: 2}})
	g.mu.Lock()
	g.setWatch(g.watch.WithTerm(1, "p"))
	g.mu.Unlock()
	return g
}

// TestReadsInAllowedRegions guards against a read that is sent to a server of another region when
// those of its own are slow, tried, leaving or not there, and against one that is refused although
// VMs of the allowed regions may connect to another server.
func TestReadsInAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name    string
		allowed []string
		tried   map[string]bool
		// noVM names servers to which no VM of the allowed regions may connect.
		noVM    map[string]bool
		leaving bool
		want    string
	}{
		{"unconstrained", nil, map[string]bool{"q": true, "r": true}, nil, false, "p"},
		{"replicas", []string{"y"}, map[string]bool{}, nil, false, "q"},
		{"one tried", []string{"y"}, map[string]bool{"q": true}, nil, false, "r"},
		{"all tried", []string{"y"}, map[string]bool{"q": true, "r": true}, nil, false, ErrNoServer.Error()},
		{"all leaving", []string{"y"}, map[string]bool{}, nil, true, ErrNoServerAllowed.Error()},
		{"none", []string{"z"}, map[string]bool{}, nil, false, ErrNoServerAllowed.Error()},
		{"no VM for one", []string{"y"}, map[string]bool{}, map[string]bool{"q": true}, false, "r"},
		{"no VM for any", []string{"y"}, map[string]bool{}, map[string]bool{"q": true, "r": true}, false, ErrNoVMAllowed.Error()},
		{"no VM for the one that is left", []string{"y"}, map[string]bool{"q": true}, map[string]bool{"r": true}, false, ErrNoServer.Error()},
	} {
		g := regionalGroup(t)
		g.mu.Lock()
		g.setWatch(g.watch.WithReport(tenure.Report{Term: 1, Leader: "p", ProvedAt: g.options.Clock.Now()}))
		g.mu.Unlock()
		for _, id := range []string{"q", "r"} {
			s := g.pools[id].entry()
			s.Leaving = c.leaving
			g.pools[id].server.Store(&s)
			// The servers of the region are far slower than the primary.
			g.pools[id].latency, g.pools[id].latencyAt = 1e6, g.options.Clock.Now()
		}
		g.options.RemoteConnFunc = func(_ context.Context, r ConnRequest) (*RemoteConn, error) {
			if c.noVM[r.Server.ID] {
				return nil, ErrNoVMAllowed
			}
			return nil, nil
		}
		conn, err := g.AcquireReader(t.Context(), ReadRequest{Requester: Requester{Account: "acme", Weight: 1, Regions: regions.Only(c.allowed)}, Tried: c.tried, Wait: 1000})
		got := errorText(err)
		if err == nil {
			got = conn.Server().ID
			conn.Release()
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestPrimaryOutsideAllowedRegions guards against a write that reaches a primary of another region,
// and against one that waits for a primary that it may not use. Its wait is unlimited.
func TestPrimaryOutsideAllowedRegions(t *testing.T) {
	for region, want := range map[string]error{"x": nil, "y": ErrPrimaryNotAllowed, "z": ErrNoServerAllowed} {
		g := regionalGroup(t)
		g.options.RemoteConnFunc = func(context.Context, ConnRequest) (*RemoteConn, error) { return &RemoteConn{CloseFunc: func() {}}, nil }
		conn, err := g.AcquirePrimary(t.Context(), Requester{Account: "acme", Weight: 1, Regions: regions.Only([]string{region})}, 1<<40)
		if !errors.Is(err, want) {
			t.Errorf("region %s: %v, want %v", region, err, want)
		}
		if err == nil {
			conn.Release()
		}
	}
}
