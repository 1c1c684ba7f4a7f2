package gossip

import "testing"

// TestUpstreams guards against VMs that start together and wait for each other's configuration in a
// circle: from each VM two steps lead to the one that reads for its region.
func TestUpstreams(t *testing.T) {
	n := newNetwork(70)
	for name, m := range n.meshes {
		steps := 0
		for ; len(m.Upstreams()) > 0 && steps <= 2; steps++ {
			m = n.meshes[m.Upstreams()[0].Name]
		}
		if !m.ReadsForRegion() || steps > 2 {
			t.Errorf("%s: after %d steps at %s, which does not read for its region", name, steps, m.options.Self.Name)
		}
	}
}
