// Package document holds the configuration that operators edit. It is one document
// of several sections, each owned by a team.
package document

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// The names of the sections, in the order in which they are checked.
const (
	SectionDatabases = "databases"
	SectionAccounts  = "accounts"
	SectionRoutes    = "routes"
	SectionOperators = "operators"
)

// Sections returns the names of all sections, in the order in which they are checked.
func Sections() []string {
	return []string{SectionDatabases, SectionAccounts, SectionRoutes, SectionOperators}
}

// RouteKind is the kind of the requests on a route: reads or writes.
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
	// Region is the region of the zone. Zones of one region are near each other.
	Region string `yaml:"region"`
	// Slots is the number of statements that may run on the server at once.
	Slots int `yaml:"slots" validate:"min=1,max=1000" unit:"statements"`
	// Connections is the number of connections that all VMs together may open to the server.
	Connections int `yaml:"connections" validate:"min=2,max=10000" unit:"connections"`
	// Leaving marks a server that is taken out of service and gets no new work.
	Leaving bool `yaml:"leaving"`
}

// Database is a group of backend servers with one primary.
type Database struct {
	// Name is the database in the callers' connection strings.
	Name string `yaml:"name" validate:"required"`
	// Servers are the members of the group. Which of them is the primary is not configured; the servers report it.
	Servers []Server `yaml:"servers" validate:"required,min=1,dive"`
}

// Key is one key of a client account, stored as a SCRAM-SHA-256 verifier.
type Key struct {
	// ID identifies the key among those of its account.
	ID string `yaml:"id" validate:"required"`
	// Verifier has the form SCRAM-SHA-256$iterations:salt$stored:server, as in
	// PostgreSQL's pg_authid; the key cannot be derived from it.
	Verifier string `yaml:"verifier" validate:"required,verifier"`
}

// Account is a client account.
type Account struct {
	// Name is the user in the callers' connection strings: NAME for the first key,
	// NAME/ID for any other.
	Name string `yaml:"name" validate:"required,excludes=/"`
	// Rate is the number of statements per second over all VMs.
	Rate float64 `yaml:"rate" validate:"gt=0,max=10000000" unit:"statements per second"`
	// Burst is the number of statements that may come at once.
	Burst float64 `yaml:"burst" validate:"min=1,max=10000000" unit:"statements"`
	// Weight is the account's share of an overloaded backend server relative to other accounts.
	Weight int `yaml:"weight" default:"1" validate:"min=1,max=1000"`
	// Keys are the keys that are accepted now.
	Keys []Key `yaml:"keys" validate:"dive"`
}

// Route configures how requests that name it are run.
type Route struct {
	// Name is the route in the comment /*route='NAME'*/ of a request.
	Name string `yaml:"name" validate:"required"`
	// Database is the name of a database in section databases.
	Database string `yaml:"database" validate:"required"`
	// Kind is read or write; requests of a read route run in READ ONLY transactions.
	Kind RouteKind `yaml:"kind" validate:"required,oneof=read write"`
	// MaxStaleness is the staleness bound of reads in milliseconds; 0 sets none. Every read sees at least what its session has seen.
	MaxStaleness clock.Millis `yaml:"age" validate:"min=0,max=86400000" unit:"ms"`
	// AllowAnonymous lets callers without a key use the route.
	AllowAnonymous bool `yaml:"open"`
	// AtMostOnce makes a write with an idempotency key take effect at most once.
	AtMostOnce bool `yaml:"once"`
	// Deadline is the longest wait of a request in milliseconds, from its arrival.
	Deadline clock.Millis `yaml:"deadline" default:"10000" validate:"min=1,max=3600000" unit:"ms"`
	// Accounts are the client accounts that may use the route; empty means all.
	Accounts []string `yaml:"accounts"`
}

// Databases is section databases, owned by operations.
type Databases struct {
	// Databases are the groups of backend servers.
	Databases []Database `yaml:"databases" validate:"dive"`
}

// Accounts is section accounts, owned by finance.
type Accounts struct {
	// Accounts are the client accounts.
	Accounts []Account `yaml:"accounts" validate:"dive"`
}

// Routes is section routes, owned by the storefront team.
type Routes struct {
	// Routes are the routes that requests may name.
	Routes []Route `yaml:"routes" validate:"dive"`
}

// Document is one version of the whole configuration. It is immutable once built.
type Document struct {
	// Version grows with each accepted change.
	Version   uint64
	databases map[string]Database
	accounts  map[string]Account
	routes    map[string]Route
	operators []Operator
	// texts holds the text of each section, by the section's name.
	texts map[string]string
}

// Database returns the database called name.
func (d *Document) Database(name string) (Database, bool) { v, ok := d.databases[name]; return v, ok }

// Databases returns all databases by name. The caller must not change the map.
func (d *Document) Databases() map[string]Database { return d.databases }

// Account returns the client account called name.
func (d *Document) Account(name string) (Account, bool) { v, ok := d.accounts[name]; return v, ok }

// Accounts returns all client accounts by name. The caller must not change the map.
func (d *Document) Accounts() map[string]Account { return d.accounts }

// Route returns the route called name.
func (d *Document) Route(name string) (Route, bool) { v, ok := d.routes[name]; return v, ok }

// Text returns the text of a section as its owners wrote it.
func (d *Document) Text(section string) string { return d.texts[section] }

// HasKey reports whether the account has a key with that ID. A withdrawn key is no longer
// in the document.
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
