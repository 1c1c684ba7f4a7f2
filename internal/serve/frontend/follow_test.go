package frontend

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/quota"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// TestBehindRelay lets a relay report a later configuration that cannot be fetched from it.
// The VM must count itself as behind after behindTimeout, so that it reads the store, and no
// longer once it has the configuration.
func TestBehindRelay(t *testing.T) {
	c := clock.NewFake(1000)
	f := &Frontend{configured: make(chan struct{}), options: Options{Clock: c.Clock(), Log: log.New(io.Discard), Source: Source{
		ParseFunc: func([]byte) (*catalog.Catalog, error) { return &catalog.Catalog{Version: 2}, nil },
	}}}
	f.mesh = gossip.New(gossip.Options{Clock: c.Clock()})
	f.limiter = newLimiter(c.Clock(), Tolerance{})
	f.limiter.vmCountFunc, f.limiter.buckets = func() int { return 1 }, map[string]quota.Bucket{}
	f.nextFetchAt = 1 << 40
	got := []bool{f.isBehind()}
	f.startConfigurationFetch(versionReport{address: "relay", version: 2})
	got = append(got, f.isBehind())
	c.Advance(behindTimeout + 1)
	f.startConfigurationFetch(versionReport{address: "relay", version: 2})
	got = append(got, f.isBehind())
	f.adoptConfiguration([]byte("x"), "store")
	got = append(got, f.isBehind())
	if diff := cmp.Diff([]bool{false, false, true, false}, got); diff != "" {
		t.Errorf("behind at the start, at the report, after the timeout, with the configuration (-want +got):\n%s", diff)
	}
}
