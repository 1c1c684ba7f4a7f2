// Package document is the configuration that operators edit: one document in
// sections, each owned by a team.
package document

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Section names, in the order in which they are checked.
const (
	SectionDatabases = "databases"
	SectionAccounts  = "accounts"
	SectionRoutes    = "routes"
	SectionOperators = "operators"
)

// Sections lists every section name.
func Sections() []string {
	return []string{SectionDatabases, SectionAccounts, SectionRoutes, SectionOperators}
}

// RouteKind is what a route does to the data.
type RouteKind string

// The kinds of route.
const (
	KindRead  RouteKind = "read"
	KindWrite RouteKind = "write"
)

// Server is one backend server of a database.
type Server struct {
	// Name is unique within the document.
	Name string `yaml:"name" validate:"required"`
	// Address is IP:port.
	Address string `yaml:"address" validate:"required,ipport"`
	// Zone is the availability zone.
	Zone member.Zone `yaml:"zone" validate:"required"`
	// Region joins the zones that are near each other.
	Region string `yaml:"region"`
	// Slots is the number of statements that may run at once.
	Slots int `yaml:"slots" validate:"min=1,max=1000" unit:"statements"`
	// Connections is the number of connections that all VMs together may open.
	Connections int `yaml:"connections" validate:"min=2,max=10000" unit:"connections"`
	// Leaving marks a server that gets no new work.
	Leaving bool `yaml:"leaving"`
}

// Database is a group of backend servers with one primary.
type Database struct {
	// Name is what callers give as the database in their connection string.
	Name string `yaml:"name" validate:"required"`
	// Servers are the group's members; which is the primary they decide themselves.
	Servers []Server `yaml:"servers" validate:"required,min=1,dive"`
}

// Key is one secret of a client account, kept as a SCRAM-SHA-256 verifier.
type Key struct {
	// ID tells the keys of one account apart.
	ID string `yaml:"id" validate:"required"`
	// Verifier has the form SCRAM-SHA-256$iterations:salt$stored:server, as
	// PostgreSQL keeps it; the key cannot be found from it.
	Verifier string `yaml:"verifier" validate:"required,verifier"`
}

// Account is a client account.
type Account struct {
	// Name is what callers give as the user in their connection string, alone for
	// the first key or as NAME/ID for another.
	Name string `yaml:"name" validate:"required,excludes=/"`
	// Rate is statements per second over all VMs.
	Rate float64 `yaml:"rate" validate:"gt=0,max=10000000" unit:"statements per second"`
	// Burst is statements that may come at once.
	Burst float64 `yaml:"burst" validate:"min=1,max=10000000" unit:"statements"`
	// Weight is the share of a crowded server relative to other accounts.
	Weight int `yaml:"weight" default:"1" validate:"min=1,max=1000"`
	// Keys are the secrets that work now.
	Keys []Key `yaml:"keys" validate:"dive"`
}

// Route says how the requests that name it are run.
type Route struct {
	// Name is what requests give in their comment /*route='NAME'*/.
	Name string `yaml:"name" validate:"required"`
	// Database is a name of section databases.
	Database string `yaml:"database" validate:"required"`
	// Kind is read or write; a read route runs in READ ONLY transactions.
	Kind RouteKind `yaml:"kind" validate:"required,oneof=read write"`
	// MaxStaleness is the staleness allowed for reads in milliseconds; 0 reads what the session has seen.
	MaxStaleness clock.Millis `yaml:"age" validate:"min=0,max=86400000" unit:"ms"`
	// AllowAnonymous lets callers without a key run it.
	AllowAnonymous bool `yaml:"open"`
	// AtMostOnce marks requests that must not be repeated.
	AtMostOnce bool `yaml:"once"`
	// Deadline is the longest wait of a request in milliseconds.
	Deadline clock.Millis `yaml:"deadline" default:"10000" validate:"min=1,max=3600000" unit:"ms"`
	// Accounts limits who may use the route; empty means every account.
	Accounts []string `yaml:"accounts"`
}

// Databases is the section of operations.
type Databases struct {
	// Databases are the groups of backend servers.
	Databases []Database `yaml:"databases" validate:"dive"`
}

// Accounts is the section of finance.
type Accounts struct {
	// Accounts are the client accounts.
	Accounts []Account `yaml:"accounts" validate:"dive"`
}

// Routes is the section of the storefront team.
type Routes struct {
	// Routes are what requests may name.
	Routes []Route `yaml:"routes" validate:"dive"`
}

// Document is a whole configuration. It never changes once built.
type Document struct {
	// Version grows with each accepted change.
	Version   uint64
	databases map[string]Database
	accounts  map[string]Account
	routes    map[string]Route
	operators []Operator
	texts     map[string]string
}

// Database returns the database called name.
func (d *Document) Database(name string) (Database, bool) { v, ok := d.databases[name]; return v, ok }

// Databases returns every database by name. The caller must not change it.
func (d *Document) Databases() map[string]Database { return d.databases }

// Account returns the client account called name.
func (d *Document) Account(name string) (Account, bool) { v, ok := d.accounts[name]; return v, ok }

// Accounts returns every account by name. The caller must not change it.
func (d *Document) Accounts() map[string]Account { return d.accounts }

// Route returns the route called name.
func (d *Document) Route(name string) (Route, bool) { v, ok := d.routes[name]; return v, ok }

// Text returns the section as its owners wrote it.
func (d *Document) Text(section string) string { return d.texts[section] }

// HasKey reports whether the key still works.
func (d *Document) HasKey(account, id string) bool {
	for _, k := range d.accounts[account].Keys {
		if k.ID == id {
			return true
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (d *Document) RouteCount() int { return len(d.routes) }
