package frontend

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// checkRegionNames warns of regions to which the configuration constrains statements and in which
// no server is listed: such a name may be misspelt. It is called when the configuration or the
// directory has changed, and warns only if the regions concerned have.
func (f *Frontend) checkRegionNames() {
	c := f.catalog.Load()
	if c == nil {
		return
	}
	names := c.RegionNames()
	f.mu.Lock()
	if len(f.directory) == 0 {
		f.mu.Unlock()
		return
	}
	unknown := regionsWithoutServer(names, f.directory)
	changed := !slices.Equal(unknown, f.unknownRegions)
	f.unknownRegions = unknown
	f.mu.Unlock()
	f.unknownRegionsGauge.Set(float64(len(unknown)))
	switch {
	case changed && len(unknown) > 0:
		f.options.Log.Warn("allowed regions without a backend server", "version", c.Version, "regions", unknown)
	case changed:
		f.options.Log.Info("all allowed regions have backend servers", "version", c.Version)
	}
}

// regionsWithoutServer returns those of the regions in which a directory lists no server.
func regionsWithoutServer(names []string, directory []database.Server) []string {
	return slices.DeleteFunc(names, func(n string) bool {
		return slices.ContainsFunc(directory, func(s database.Server) bool { return s.Region == n })
	})
}
