package frontend

import (
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/evacuation"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/gossip"
)

// evacuationMesh is VMs that exchange datagrams through a test.
type evacuationMesh struct {
	clock *clock.Fake
	vms   []*Frontend
}

// newEvacuationMesh returns VMs that know nothing.
func newEvacuationMesh(count int) *evacuationMesh {
	m := &evacuationMesh{clock: clock.NewFake(100000)}
	for i := range count {
		self := member.VM{Name: fmt.Sprintf("vm%d", i), Zone: "a"}
		f := &Frontend{options: Options{Self: self, Clock: m.clock.Clock(), Log: log.New(io.Discard)}}
		f.mesh = gossip.New(gossip.Options{Self: self, Clock: m.clock.Clock(), Log: log.New(io.Discard), ReceiveEvacuationFunc: f.receiveEvacuation})
		m.vms = append(m.vms, f)
	}
	return m
}

// store reports zones to a VM as the store does.
func (m *evacuationMesh) store(vm int, revision, era uint64, zones ...member.Zone) {
	m.vms[vm].adoptEvacuations(evacuation.Set{Revision: revision, Era: era, Zones: zones}, nil, "store")
}

// tell passes on what a VM tells in a round, and reports whether it tells anything.
func (m *evacuationMesh) tell(from, to int) bool {
	e := m.vms[from].evacuationsToAnnounce()
	if e != nil {
		m.vms[to].mesh.Receive(m.vms[from].options.Self.Name, inner.Pack(inner.Encode(inner.KindEvacuation, *e)))
	}
	return e != nil
}

// age returns for how long a VM takes a zone for evacuated, or -1.
func (m *evacuationMesh) age(vm int, z member.Zone) clock.Millis {
	since, ok := m.vms[vm].evacuatedSince(z)
	if !ok {
		return -1
	}
	return m.clock.Clock().Now() - since
}

// TestEvacuationWithoutStore guards against a VM that cannot reach the store and does not learn of
// an evacuation or its end, takes an old one for new, or hears of an older one last.
func TestEvacuationWithoutStore(t *testing.T) {
	m := newEvacuationMesh(4)
	m.store(0, 4, 1)
	m.store(0, 5, 1, "a", "b")
	m.clock.Advance(700)
	m.tell(0, 1)
	m.clock.Advance(100)
	m.tell(1, 2)
	got := []clock.Millis{m.age(1, "a"), m.age(2, "b"), m.age(2, "c")}
	m.store(0, 6, 1, "b")
	m.tell(0, 2)
	m.tell(1, 2)
	got = append(got, m.age(2, "a"), m.age(2, "b"))
	m.clock.Advance(announceEvacuationsTime)
	m.store(0, 7, 1)
	m.clock.Advance(announceEvacuationsTime)
	got = append(got, m.age(1, "a"))
	silent := m.tell(0, 1)
	m.tell(1, 0)
	m.tell(0, 1)
	got = append(got, m.age(1, "a"), m.age(0, "a"))
	if diff := cmp.Diff([]clock.Millis{800, 800, -1, -1, 800, 800 + 2*announceEvacuationsTime, -1, -1}, got); diff != "" {
		t.Errorf("ages (-want +got):\n%s", diff)
	}
	if silent {
		t.Error("a VM tells of evacuations although there are none and all knew it")
	}
}

// TestEvacuationWithConfiguration guards against a VM that gets its first configuration from another VM and not the evacuations, or takes these for new.
func TestEvacuationWithConfiguration(t *testing.T) {
	m := newEvacuationMesh(2)
	m.vms[0].configText = []byte("x")
	unknown := m.vms[0].answerText(inner.Question{}).Evacuation
	m.store(0, 4, 1)
	m.store(0, 5, 1, "a")
	m.clock.Advance(9 * clock.Second)
	var answer inner.Answer
	if err := inner.Decode(inner.Encode(inner.KindAnswer, m.vms[0].answerText(inner.Question{AcceptsGzip: true})), &answer); err != nil {
		t.Fatal(err)
	}
	// The answer takes 6 s.
	asked := m.clock.Clock().Now()
	m.clock.Advance(6 * clock.Second)
	m.vms[1].adoptReport(*answer.Evacuation, asked)
	if diff := cmp.Diff(15*clock.Second, m.age(1, "a")); diff != "" || unknown != nil {
		t.Errorf("age (-want +got):\n%s\nbefore: %v", diff, unknown)
	}
}

// TestNothingIsToldWithoutEvacuations guards against messages on installations that evacuate nothing.
func TestNothingIsToldWithoutEvacuations(t *testing.T) {
	m := newEvacuationMesh(2)
	for revision := range uint64(20) {
		m.store(0, revision+1, 1)
		m.clock.Advance(clock.Second)
		if m.tell(0, 1) {
			t.Fatal("a VM tells of evacuations")
		}
	}
}
