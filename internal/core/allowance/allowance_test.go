package allowance

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// script is a test case of allowance.yaml. Lasting is what idle sessions hold; a request is for one
// if it is set.
type script struct {
	Name    string `yaml:"name"`
	Used    int64  `yaml:"used"`
	Account int64  `yaml:"account"`
	Held    int64  `yaml:"held"`
	Size    int64  `yaml:"size"`
	Lasting int64  `yaml:"lasting"`
	Want    bool   `yaml:"want"`
}

// TestScripts guards against large messages that keep small ones out, and against an account or idle
// sessions that take all that large messages may use.
func TestScripts(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/allowance.yaml", &scripts)
	l := NewLimits(160<<20, 1000)
	for _, s := range scripts {
		r := Request{Size: s.Size << 10, Held: s.Held << 10, Account: s.Account << 10, Lasting: s.Lasting > 0, LastingHeld: s.Lasting << 10}
		if got := l.Permits(s.Used<<10, r); got != s.Want {
			t.Errorf("%s: permitted %t", s.Name, got)
		}
	}
}

// TestOverdue guards against a message that never ends, and against closing one that arrives at the
// least pace or an idle session.
func TestOverdue(t *testing.T) {
	a := Activity{Phase: Receiving, Moved: 1 << 20}
	got := []bool{a.IsOverdue(75_000), a.IsOverdue(77_000), Activity{Phase: Idle}.IsOverdue(1 << 40), Activity{Phase: Working}.IsOverdue(1 << 40), Activity{Phase: Sending}.IsOverdue(10_001)}
	if d := cmp.Diff([]bool{false, true, false, false, true}, got); d != "" {
		t.Errorf("overdue (-want +got):\n%s", d)
	}
}

// TestRanks guards against closing a connection that makes progress, or an idle session while another
// has sent nothing or stands still in a message.
func TestRanks(t *testing.T) {
	const now = 60_000
	order := []Activity{{Phase: Silent, LastMoved: 50_000}, {Phase: Silent, LastMoved: 51_000}, {Phase: Sending, LastMoved: 1000}, {Phase: Receiving, LastMoved: 2000}, {Phase: Idle}, {Phase: Idle, LastMoved: 1}}
	for i := 1; i < len(order); i++ {
		if order[i-1].DescriptorRank(now) <= order[i].DescriptorRank(now) {
			t.Errorf("connection %d is not before %d", i-1, i)
		}
	}
	for _, a := range []Activity{{Phase: Working, Held: 1}, {Phase: Receiving, LastMoved: now, Held: 1}, {Phase: Silent, LastMoved: now}, {Phase: Idle, LastMoved: now}} {
		if a.DescriptorRank(now)+a.StalledRank(now) != 0 {
			t.Errorf("%+v may be closed", a)
		}
	}
	if (Activity{Phase: Receiving, Held: 1}).StalledRank(now) == 0 || (Activity{Phase: Receiving}).StalledRank(now) != 0 {
		t.Error("a stalled connection is closed for memory though it holds none, or is not though it does")
	}
}

// TestDescriptors guards against callers and connections to servers that together use more
// descriptors than there are, and against callers that leave none to servers.
func TestDescriptors(t *testing.T) {
	for _, descriptors := range []int{64, 400, 1000, 20000} {
		l := NewLimits(160<<20, descriptors)
		callers, servers := int64(0), int64(0)
		for l.PermitsCaller(callers, servers) {
			callers++
		}
		for l.PermitsServer(callers, servers) {
			servers++
		}
		if callers < int64(descriptors)*3/8 || servers < int64(l.ServerReserve) || callers+servers+minHeadroom > int64(descriptors) {
			t.Errorf("of %d descriptors callers have %d and servers %d", descriptors, callers, servers)
		}
		if l.PermitsCaller(callers-1, servers+1) {
			t.Errorf("of %d descriptors a caller takes one that a server has", descriptors)
		}
	}
}
