package memory

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/allowance"
)

// TestSum guards against bytes that are taken and belong to nobody, or that stay taken once every
// owner is closed, whatever the order of calls.
func TestSum(t *testing.T) {
	defer invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("violation of %s: %s", n, detail) })()
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(allowance.NewLimits(16<<20, 64), clock.NewFake(0).Clock())
		var owners []*Owner
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(owners) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				if o, ok := p.NewOwner(ConnSize, nil); ok {
					owners = append(owners, o)
				}
				continue
			}
			i := rapid.IntRange(0, len(owners)-1).Draw(t, "owner")
			purpose := Purpose(rapid.IntRange(1, int(purposeCount)-1).Draw(t, "purpose"))
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				owners[i].Take(purpose, int64(rapid.IntRange(0, 3<<20).Draw(t, "size")))
			case 2:
				owners[i].Drop(purpose)
			case 3:
				owners[i].SetAccount(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"))
			case 4:
				owners[i].Close()
				owners = append(owners[:i], owners[i+1:]...)
			}
			p.Sweep()
			if p.used > p.limits.Memory {
				t.Fatalf("%d bytes taken of %d", p.used, p.limits.Memory)
			}
		}
		for _, o := range owners {
			o.Close()
		}
		if p.used != 0 || p.lasting != 0 || len(p.accounts) != 0 || len(p.owners) != 0 {
			t.Fatalf("left: %d bytes, %d lasting, accounts %v", p.used, p.lasting, p.accounts)
		}
	})
}

// TestSweep guards against a caller that never ends its message, and against one that keeps the
// memory of a message that stands still while others are refused.
func TestSweep(t *testing.T) {
	fake := clock.NewFake(0)
	p := NewPool(allowance.NewLimits(16<<20, 64), fake.Clock())
	var closed []string
	open := func(name string, take int64) *Owner {
		o, _ := p.NewOwner(ConnSize, func() { closed = append(closed, name) })
		o.Move(1)
		o.Take(Message, take)
		return o
	}
	open("still", 1<<20)
	moving := open("moving", 1<<20)
	open("slow", 0)
	for range 12 {
		fake.Advance(clock.Second)
		p.Sweep()
		moving.Move(100_000)
	}
	if d := cmp.Diff(0, len(closed)-2); d != "" {
		t.Errorf("closed without want of memory: %v", closed)
	}
	closed = nil
	stalled := open("stalled", 1<<20)
	fake.Advance(3 * clock.Second)
	p.Sweep()
	moving.Move(1)
	if stalled.Take(Message, 1<<30) {
		t.Error("1 GiB was granted")
	}
	p.Sweep()
	if d := cmp.Diff([]string{"stalled"}, closed); d != "" {
		t.Errorf("closed (-want +got):\n%s", d)
	}
}
