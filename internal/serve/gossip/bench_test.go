package gossip

import (
	"context"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// BenchmarkRound measures a round of a follower and of a relay that know 300 VMs, and
// BenchmarkReceive a message of a relay at a follower.
func BenchmarkRound(b *testing.B) {
	for _, role := range []Role{Follower, Relay} {
		b.Run(role.String(), func(b *testing.B) {
			n := newNetwork(300)
			n.run(6 * clock.Second)
			m := n.meshes[n.withRole(role)]
			m.options.SendFunc = func(context.Context, string, []byte) error { return nil }
			b.ReportAllocs()
			for b.Loop() {
				n.clock.Advance(interval)
				m.round(context.Background())
			}
		})
	}
}

func BenchmarkReceive(b *testing.B) {
	n := newNetwork(300)
	n.run(6 * clock.Second)
	follower := n.meshes[n.withRole(Follower)]
	relay := follower.relays(follower.options.Self.Zone)[0]
	var last []byte
	n.meshes[relay].options.SendFunc = func(_ context.Context, address string, body []byte) error {
		if address == follower.options.Self.Address {
			last = body
		}
		return nil
	}
	n.clock.Advance(interval)
	n.meshes[relay].round(context.Background())
	b.ReportAllocs()
	for b.Loop() {
		follower.Receive(relay, last)
		follower.Role()
		follower.IsFirstRelay(relay, follower.options.Self.Zone)
	}
}

// withRole returns the name of a VM that has the role.
func (n *network) withRole(r Role) string {
	for name, m := range n.meshes {
		if m.Role() == r {
			return name
		}
	}
	return ""
}
