package edit

import "github.com/sycamoredoor/sycamoredoor/internal/standin/backend"

// SetIsolated cuts a server off from its callers and from the rest of its group.
func SetIsolated(g *backend.Group, s *backend.Server, isolated bool) {
	s.SetUnresponsive(isolated)
	for _, o := range g.Servers() {
		if o != s {
			g.SetPartitioned(s.Name(), o.Name(), isolated)
		}
	}
}
