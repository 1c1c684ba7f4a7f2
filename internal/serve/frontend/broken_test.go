package frontend

import (
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/freshness"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/broken"
)

// TestBrokenFollower lets a VM that gets messages of a relay rely on a copy that was never confirmed.
func TestBrokenFollower(t *testing.T) {
	f := newFollowedZone(t).follower
	f.catalog.Store(catalog.New(1))
	relay := f.mesh.RegionKnown()[1]
	f.mesh.Receive(relay.Name, inner.Pack(inner.Encode(inner.KindGossip, inner.Gossip{From: relay.Name, Address: relay.Address, Zone: relay.Zone, Process: 1, Sequence: 1, Version: 1})))
	f.follower = freshness.NewFollower(freshness.Bounds{MaxAge: 1 << 50}, 0)
	broken.ExpectViolation(t, invariant.ConfigCurrent, func() { f.leavesStoreToRelays() })
}
