package edit

import "github.com/sycamoredoor/sycamoredoor/internal/standin/backend"

// SetIsolated partitions a server from the rest of its group and makes it
// unresponsive to its clients, or ends both.
func SetIsolated(g *backend.Group, s *backend.Server, isolated bool) {
	s.SetUnresponsive(isolated)
	for _, o := range g.Servers() {
		if o != s {
			g.SetPartitioned(s.Name(), o.Name(), isolated)
		}
	}
}
