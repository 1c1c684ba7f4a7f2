package gossip

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// randomMessage returns a message with views of groups and usages of accounts.
func randomMessage(random *rand.Rand, groups, accounts int) inner.Gossip {
	text := func(most int) string { return strings.Repeat("x", 1+random.IntN(most)) }
	number := func() uint64 { return random.Uint64() >> random.IntN(64) }
	g := inner.Gossip{Version: number(), DirectoryHash: number(), DirectoryAge: clock.Millis(random.IntN(5000)), Scope: inner.ScopeZone}
	for range groups {
		g.Views = append(g.Views, inner.GroupView{
			Group: text(40), Term: floor.Term(number()), Leader: text(30), ProofAge: clock.Millis(random.IntN(5000) - 1), Position: floor.Position(number()),
			PositionAge: clock.Millis(random.IntN(5000)), PrimaryLost: random.IntN(2) == 0, ReleasedToken: number(),
		})
	}
	for range accounts {
		g.Usages = append(g.Usages, inner.Usage{Account: text(60), Spent: number(), Demand: random.Float32(), Tokens: random.Float32() * 100})
	}
	return g
}

// TestSplitMessage checks that each part of a message fits into a datagram, whatever the
// numbers of groups and accounts, that no part is empty, and that the parts have the
// content of the message.
func TestSplitMessage(t *testing.T) {
	const maxDatagram = 1100
	self := member.VM{Name: "frontend-abbotsford-123", Address: "10.200.100.226:65535", Zone: "abbotsford", Region: "lower-mainland"}
	for seed, size := range [][2]int{{0, 0}, {1, 0}, {0, 1}, {3, 8}, {20, 14}, {20, 190}, {30, 0}, {1000, 2000}} {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		m := &Mesh{options: Options{Self: self, MaxDatagram: maxDatagram}, process: random.Uint64()}
		g := randomMessage(random, size[0], size[1])
		var got inner.Gossip
		for i, split := range m.splitMessage(g, 0) {
			content := part{gossip: split}
			p := &peer{lastNumber: 1 << 40, highestNumber: 1 << 40}
			if n := len(m.encodeFor(p, content, 1<<40)); n > maxDatagram {
				t.Errorf("%v: part %d has %d bytes, want at most %d", size, i, n, maxDatagram)
			}
			if i > 0 && len(split.Views)+len(split.Usages) == 0 {
				t.Errorf("%v: part %d is empty", size, i)
			}
			if i == 0 {
				got = split
				continue
			}
			got.Views, got.Usages = append(got.Views, split.Views...), append(got.Usages, split.Usages...)
		}
		if diff := cmp.Diff(g, got); diff != "" {
			t.Errorf("%v: content (-want +got):\n%s", size, diff)
		}
	}
}
