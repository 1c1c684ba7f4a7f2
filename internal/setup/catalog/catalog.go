// Package catalog holds the configuration by which statements are served: routes by
// database name, client accounts by key, and database groups. A catalog is built
// once from an accepted version of the configuration, and not changed afterwards.
//
// A catalog and a document.Document are two forms of configuration, each for one way in
// which the proxy is run: the command "sycamoredoor frontend" uses a catalog, and
// "sycamoredoor serve" a document.Document.
package catalog

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// ReadGuarantee is the consistency of the reads on a route.
type ReadGuarantee int

// The read guarantees.
const (
	// StrongConsistency reads see every commit that was acknowledged before they began.
	StrongConsistency ReadGuarantee = iota
	// BoundedStaleness reads see every commit older than the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are BoundedStaleness reads that also see every commit of
	// their own session.
	ReadYourWrites
)

// Route configures how sessions that connect to one database name are served.
type Route struct {
	// Database is the database name in the caller's startup message.
	Database  string
	Guarantee ReadGuarantee
	// MaxStaleness is the staleness bound of reads, in milliseconds.
	MaxStaleness clock.Millis
	// Timeout bounds one statement, including waits and retries, in milliseconds; 0 means
	// the default of package session.
	Timeout clock.Millis
	// TargetLatency is the latency objective of one statement, including waits and
	// retries, in milliseconds; 0 sets none.
	TargetLatency clock.Millis
	// Priority is 0 for the most urgent.
	Priority int
	// Group is the name of the database group that serves the route.
	Group string
	// AllowAnonymous lets callers without a known key use the route.
	AllowAnonymous bool
	// Regions are those that the route's statements may reach.
	Regions regions.Allowed
	// Problem is why no session of the route can be served, or "".
	Problem string
}

// Account is a client account and its limits.
type Account struct {
	Name string
	// Rate is the number of operations per second over all VMs, and Burst the number
	// that may come at once.
	Rate  float64
	Burst float64
	// Priority is 0 for the most urgent.
	Priority int
	// Regions are those that the account's statements may reach.
	Regions regions.Allowed
	// Problem is why no session of the account can be served, or "".
	Problem string
}

// Group is a database group and its limits.
type Group struct {
	Name string
	// MaxConnections is the number of connections that all VMs together may open to one
	// backend server of the group.
	MaxConnections int
	// SyncReplicas is the number of replicas that must have received a commit before it
	// is acknowledged.
	SyncReplicas int
	// ColdRate is the number of callers' statements that a cold backend server of the group runs
	// in a second, or 0 if that is not stated; ColdTime is how long one stays cold after its
	// start, in milliseconds, or 0.
	ColdRate float64
	ColdTime clock.Millis
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version uint64
	// IdleInTransactionTimeout is the longest pause between two statements of a
	// transaction, in milliseconds; 0 sets no bound.
	IdleInTransactionTimeout clock.Millis
	routes                   map[string]Route
	accounts                 map[string]Account
	// keys maps each key to the name of its client account.
	keys   map[string]string
	groups map[string]Group
}

// New returns an empty catalog of the given version.
func New(version uint64) *Catalog {
	return &Catalog{
		Version: version, routes: map[string]Route{}, accounts: map[string]Account{},
		keys: map[string]string{}, groups: map[string]Group{},
	}
}

// AddRoute adds a route. It must be called only while the catalog is built.
func (c *Catalog) AddRoute(r Route) { c.routes[r.Database] = r }

// AddAccount adds a client account and its keys. An empty key identifies nobody, since callers
// without a key have it too. It must be called only while the catalog is built.
func (c *Catalog) AddAccount(a Account, keys []string) {
	c.accounts[a.Name] = a
	for _, k := range keys {
		if k != "" {
			c.keys[k] = a.Name
		}
	}
}

// AddGroup adds a database group. It must be called only while the catalog is built.
func (c *Catalog) AddGroup(g Group) { c.groups[g.Name] = g }

// Route returns the route of a database name.
func (c *Catalog) Route(database string) (Route, bool) { r, ok := c.routes[database]; return r, ok }

// Account returns the client account called name.
func (c *Catalog) Account(name string) (Account, bool) { a, ok := c.accounts[name]; return a, ok }

// Accounts returns all client accounts by name. The caller must not change the map.
func (c *Catalog) Accounts() map[string]Account { return c.accounts }

// KeyOwner returns the name of the client account that a key belongs to.
func (c *Catalog) KeyOwner(key string) (string, bool) { a, ok := c.keys[key]; return a, ok }

// Problem returns why no session with a database name and a key can be served though both are
// known, or "".
func (c *Catalog) Problem(database, key string) string {
	r, known := c.routes[database]
	if !known || r.Problem != "" {
		return r.Problem
	}
	name, known := c.keys[key]
	if !known {
		return ""
	}
	return c.accounts[name].Problem
}

// Problems returns the problems of the routes and the accounts, each once and in order.
func (c *Catalog) Problems() []string {
	var out []string
	for _, r := range c.routes {
		out = append(out, r.Problem)
	}
	for _, a := range c.accounts {
		out = append(out, a.Problem)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(p string) bool { return p == "" })
}

// RegionNames returns the names of the regions to which routes and accounts are constrained, each
// once and in order.
func (c *Catalog) RegionNames() []string {
	var out []string
	for _, r := range c.routes {
		out = append(out, r.Regions.Names()...)
	}
	for _, a := range c.accounts {
		out = append(out, a.Regions.Names()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Group returns the database group called name.
func (c *Catalog) Group(name string) (Group, bool) { g, ok := c.groups[name]; return g, ok }

// Groups returns all database groups by name. The caller must not change the map.
func (c *Catalog) Groups() map[string]Group { return c.groups }
