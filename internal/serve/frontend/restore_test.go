package frontend

import (
	"context"
	"io"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// restoredDirectory is a case of restored.yaml, which describes the fields.
type restoredDirectory struct {
	Name     string            `yaml:"name"`
	Known    []database.Server `yaml:"known"`
	Restored []database.Server `yaml:"restored"`
	Want     []database.Server `yaml:"want"`
}

// TestDirectoryAfterRestore guards against a server that leaves and gets new work again, and against one that is lost, because the store came back from a copy.
func TestDirectoryAfterRestore(t *testing.T) {
	var cases []restoredDirectory
	scripted.Read(t, "testdata/restored.yaml", &cases)
	for _, c := range cases {
		if diff := cmp.Diff(c.Want, mergeRestored(c.Known, c.Restored)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.Name, diff)
		}
	}
}

// TestLeavingServerAfterRestore guards against a directory of a restored store that is applied as it is, and against one that is completed for good.
func TestLeavingServerAfterRestore(t *testing.T) {
	c := clock.NewFake(100000)
	era, ctx := uint64(1), canceledContext()
	store := []database.Server{{ID: "p", Leaving: true, Born: 5}}
	f := &Frontend{
		ctx: ctx, lostDependencies: map[string]bool{}, restoredAt: clock.DistantPast, directoryReadAt: clock.DistantPast, eraGauge: metrics.NewSet().NewGauge("era", nil),
		options: Options{Clock: c.Clock(), Log: log.New(io.Discard), EraFunc: func() uint64 { return era }, ServersFunc: func(context.Context) ([]database.Server, error) {
			return store, nil
		}},
	}
	f.mesh = gossip.New(gossip.Options{Clock: c.Clock()})
	var leaving []bool
	read := func() {
		c.Advance(1)
		if err := f.readDirectory(ctx); err != nil {
			t.Fatal(err)
		}
		leaving = append(leaving, f.directory[0].Leaving)
	}
	read()
	era, store = 2, []database.Server{{ID: "p", Born: 5}}
	read()
	c.Advance(restoredDirectoryTime)
	read()
	if diff := cmp.Diff([]bool{true, true, false}, leaving); diff != "" {
		t.Errorf("leaving before, just after and long after the restore (-want +got):\n%s", diff)
	}
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
