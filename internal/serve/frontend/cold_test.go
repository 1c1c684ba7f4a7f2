package frontend

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/slowstart"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// coldFrontend returns a VM of zone a whose list of VMs is that of list, with a limit of 24 statements
// in a second for cold servers of group g.
func coldFrontend(t *testing.T, c *clock.Fake, self member.VM, list *[]member.VM) *Frontend {
	f := &Frontend{unknownRegionsGauge: metrics.NewSet().NewGauge("unknown", nil), era: 1, lostDependencies: map[string]bool{}, groups: map[string]*database.Group{}, directoryReadAt: clock.DistantPast, restoredAt: clock.DistantPast}
	f.options = Options{Self: self, Clock: c.Clock(), Log: log.New(io.Discard), EraFunc: func() uint64 { return 1 }, ColdExcess: 1.2}
	f.mesh = gossip.New(gossip.Options{Self: self, Clock: c.Clock(), ListFunc: func(context.Context) (inner.List, error) { return inner.List{VMs: *list}, nil }})
	configuration := catalog.New(1)
	configuration.AddGroup(catalog.Group{Name: "g", MaxConnections: 40, ColdRate: 20})
	f.catalog.Store(configuration)
	f.updateColdMembers(t)
	return f
}

// updateColdMembers reads the list of VMs, all of which run.
func (f *Frontend) updateColdMembers(t *testing.T) {
	t.Helper()
	if err := f.mesh.RefreshVMs(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.holderCache.setMembers(f.mesh.List().VMs)
	f.holderCache.setRegistered(f.registeredVMs())
}

// TestColdSenders guards against a share of a VM whose list was read before its registration, against
// statements for a cold server that go to VMs without a share, and against a limit after the end of
// the cold start.
func TestColdSenders(t *testing.T) {
	vms := []member.VM{{Name: "w", Zone: "a"}, {Name: "x", Zone: "b"}, {Name: "self", Zone: "a"}}
	list := vms[:2:2]
	c := clock.NewFake(1000)
	f := coldFrontend(t, c, vms[2], &list)
	server := database.Server{ID: "s", Group: "g", Zone: "a", ColdLeft: 3000}
	f.applyDirectory([]database.Server{server}, 900)
	if diff := cmp.Diff(0, f.coldShare(server)); diff != "" {
		t.Errorf("share before the list has the VM (-want +got):\n%s", diff)
	}
	list = vms
	f.updateColdMembers(t)
	if diff := cmp.Diff([]int{4, 3}, []int{f.coldShare(server), len(f.holderCache.sendersOf(database.Server{ID: "far", Group: "g", Zone: "z"}, coldLimitOf(f, server)))}); diff != "" {
		t.Errorf("share, and senders to a zone without VMs (-want +got):\n%s", diff)
	}
	first := map[string]bool{}
	for range 200 {
		first[f.rankHolders(server, "acme")[0].Name] = true
	}
	if diff := cmp.Diff(map[string]bool{"w": true, "x": true, "self": true}, first); diff != "" {
		t.Errorf("first holders (-want +got):\n%s", diff)
	}
	f.holderCache.setMembers(slices.DeleteFunc(slices.Clone(vms), func(v member.VM) bool { return v.Name == "w" }))
	if diff := cmp.Diff(2, len(f.vmsOf(server).holders)); diff != "" {
		t.Errorf("holders while one VM is down (-want +got):\n%s", diff)
	}
	c.Advance(3001)
	if f.isCold(server) || len(f.vmsOf(server).reserves) == 0 {
		t.Error("the server is cold after its time")
	}
}

// TestColdDirectory guards against a cold start that another VM takes for longer or for ended, and
// against a fetch of the directory each time that the rest of a cold start falls.
func TestColdDirectory(t *testing.T) {
	list := []member.VM{{Name: "self", Zone: "a"}}
	c := clock.NewFake(1000)
	f := coldFrontend(t, c, list[0], &list)
	directory := []database.Server{{ID: "s", Group: "g", Zone: "a", ColdLeft: 8900}, {ID: "warm", Group: "g", Zone: "a"}}
	f.applyDirectory(directory, 900)
	c.Advance(1000)
	var passed []database.Server
	if err := json.Unmarshal(f.answerDirectory().Payload, &passed); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]clock.Millis{7900, 0}, []clock.Millis{passed[0].ColdLeft, passed[1].ColdLeft}); diff != "" {
		t.Errorf("what is left after 1 s (-want +got):\n%s", diff)
	}
	if hashDirectory(passed) != hashDirectory(directory) {
		t.Error("the hash changed within a step")
	}
	passed[0].ColdLeft = 0
	if hashDirectory(passed) == hashDirectory(directory) {
		t.Error("the end of the cold start does not change the hash")
	}
}

// coldLimitOf returns the limit for a server.
func coldLimitOf(f *Frontend, s database.Server) slowstart.Limit {
	_, l := f.coldGroup(s)
	return l
}
