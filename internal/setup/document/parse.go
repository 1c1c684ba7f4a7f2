package document

import (
	"fmt"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// DefaultDeadline is the longest wait of a request whose route names none, in milliseconds.
const DefaultDeadline = 10_000

// Parse builds a document from the texts of its sections. Every mistake is a
// *strict.Error that names the section as its file.
func Parse(version uint64, texts map[string]string) (*Document, error) {
	d := &Document{
		Version:   version,
		databases: map[string]Database{},
		accounts:  map[string]Account{},
		routes:    map[string]Route{},
		texts:     texts,
	}
	for _, load := range []func() error{d.loadDatabases, d.loadAccounts, d.loadRoutes} {
		if err := load(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func mistake(section, format string, args ...any) error {
	return &strict.Error{File: section, Detail: fmt.Sprintf(format, args...)}
}

func (d *Document) loadDatabases() error {
	var s Databases
	if err := strict.Decode(SectionDatabases, []byte(d.texts[SectionDatabases]), &s); err != nil {
		return err
	}
	servers := map[string]string{}
	for _, b := range s.Databases {
		if _, twice := d.databases[b.Name]; twice {
			return mistake(SectionDatabases, "database %q is named twice", b.Name)
		}
		for _, v := range b.Servers {
			if other, twice := servers[v.Name]; twice {
				return mistake(SectionDatabases, "server %q is in databases %q and %q", v.Name, other, b.Name)
			}
			servers[v.Name] = b.Name
		}
		d.databases[b.Name] = b
	}
	return nil
}

func (d *Document) loadAccounts() error {
	var s Accounts
	if err := strict.Decode(SectionAccounts, []byte(d.texts[SectionAccounts]), &s); err != nil {
		return err
	}
	for _, a := range s.Accounts {
		if _, twice := d.accounts[a.Name]; twice {
			return mistake(SectionAccounts, "client account %q is named twice", a.Name)
		}
		d.accounts[a.Name] = a
	}
	return nil
}

func (d *Document) loadRoutes() error {
	var s Routes
	if err := strict.Decode(SectionRoutes, []byte(d.texts[SectionRoutes]), &s); err != nil {
		return err
	}
	for _, r := range s.Routes {
		if _, twice := d.routes[r.Name]; twice {
			return mistake(SectionRoutes, "route %q is named twice", r.Name)
		}
		if _, known := d.databases[r.Database]; !known {
			return mistake(SectionRoutes, "route %q names database %q, which section %s does not have", r.Name, r.Database, SectionDatabases)
		}
		for _, a := range r.Accounts {
			if _, known := d.accounts[a]; !known {
				return mistake(SectionRoutes, "route %q names client account %q, which section %s does not have", r.Name, a, SectionAccounts)
			}
		}
		if r.Deadline == 0 {
			r.Deadline = DefaultDeadline
		}
		d.routes[r.Name] = r
	}
	return nil
}
