// Package catalog is the configuration that statements are served by: routes by
// the name of the database, client accounts by their key, and database groups.
// A catalog is built once from what the operators accepted and never changed.
package catalog

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
)

// ReadGuarantee is what a route promises its reads.
type ReadGuarantee int

// The guarantees.
const (
	// Strong reads see every commit acknowledged before them.
	Strong ReadGuarantee = iota
	// BoundedStaleness reads see every commit older than the route's age.
	BoundedStaleness
	// ReadYourWrites reads are bounded and see every commit of their session.
	ReadYourWrites
)

// Route says how the sessions of one database name are served.
type Route struct {
	// Database is the name that callers give.
	Database  string
	Guarantee ReadGuarantee
	// MaxStaleness is the staleness allowed, in milliseconds.
	MaxStaleness clock.Millis
	// Timeout bounds one statement, in milliseconds.
	Timeout clock.Millis
	// TargetLatency is the latency that the whole operation should keep, in milliseconds.
	TargetLatency clock.Millis
	// Priority is 0 for the most urgent.
	Priority int
	// Group is the name of the database group.
	Group string
	// AllowAnonymous lets callers without a known key use the route.
	AllowAnonymous bool
}

// Account is a client account.
type Account struct {
	Name string
	// Rate is operations per second over all VMs, and Burst those that may come at once.
	Rate  float64
	Burst float64
	// Priority is 0 for the most urgent.
	Priority int
}

// Group is a database group.
type Group struct {
	Name string
	// MaxConnections is what one server of the group takes from all VMs together.
	MaxConnections int
	// SyncReplicas is the number of replicas that have received a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version uint64
	// IdleInTransactionTimeout is how long a transaction may pause, in milliseconds; 0 sets no bound.
	IdleInTransactionTimeout clock.Millis
	routes                   map[string]Route
	accounts                 map[string]Account
	keys                     map[string]string
	groups                   map[string]Group
}

// New returns an empty catalog.
func New(version uint64) *Catalog {
	return &Catalog{
		Version: version, routes: map[string]Route{}, accounts: map[string]Account{},
		keys: map[string]string{}, groups: map[string]Group{},
	}
}

// AddRoute takes in a route while the catalog is built.
func (c *Catalog) AddRoute(r Route) { c.routes[r.Database] = r }

// AddAccount takes in an account and its keys while the catalog is built.
func (c *Catalog) AddAccount(a Account, keys []string) {
	c.accounts[a.Name] = a
	for _, k := range keys {
		c.keys[k] = a.Name
	}
}

// AddGroup takes in a database group while the catalog is built.
func (c *Catalog) AddGroup(g Group) { c.groups[g.Name] = g }

// Route returns the route of a database name.
func (c *Catalog) Route(database string) (Route, bool) { r, ok := c.routes[database]; return r, ok }

// Account returns the account called name.
func (c *Catalog) Account(name string) (Account, bool) { a, ok := c.accounts[name]; return a, ok }

// Accounts returns every account by name. The caller must not change it.
func (c *Catalog) Accounts() map[string]Account { return c.accounts }

// KeyOwner returns the account that holds a key.
func (c *Catalog) KeyOwner(key string) (string, bool) { a, ok := c.keys[key]; return a, ok }

// Group returns the database group called name.
func (c *Catalog) Group(name string) (Group, bool) { g, ok := c.groups[name]; return g, ok }

// Groups returns every group by name. The caller must not change it.
func (c *Catalog) Groups() map[string]Group { return c.groups }
