package document

import (
	"fmt"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// DefaultDeadline is the longest wait of a request that names no route, in milliseconds.
// The default of Route.Deadline has the same value.
const DefaultDeadline = 10_000

// Parse builds a document from the texts of its sections. It returns a *strict.Error
// for an invalid text, with the section's name as its file. The document keeps texts,
// which the caller must not change afterwards.
func Parse(version uint64, texts map[string]string) (*Document, error) {
	d := &Document{
		Version:   version,
		databases: map[string]Database{},
		accounts:  map[string]Account{},
		routes:    map[string]Route{},
		texts:     texts,
	}
	for _, load := range []func() error{d.loadDatabases, d.loadAccounts, d.loadRoutes, d.loadOperators} {
		if err := load(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// decode decodes one section and returns its parsed text, with which the caller can
// report the position of further mistakes.
func (d *Document) decode(section string, target any) (*strict.Text, error) {
	t, err := strict.Parse(section, []byte(d.texts[section]))
	if err != nil {
		return nil, err
	}
	return t, t.Decode(target)
}

func (d *Document) loadDatabases() error {
	var s Databases
	t, err := d.decode(SectionDatabases, &s)
	if err != nil {
		return err
	}
	servers := nameOwners{}
	addresses := nameOwners{}
	for i, b := range s.Databases {
		path := fmt.Sprintf("databases[%d]", i)
		if _, duplicate := d.databases[b.Name]; duplicate {
			return t.ErrorAt(path+".name", "database %q is named twice", b.Name)
		}
		for j, v := range b.Servers {
			path := fmt.Sprintf("%s.servers[%d]", path, j)
			if owner, duplicate := servers.claim(v.Name, b.Name); duplicate {
				return t.ErrorAt(path+".name", "server %q is already in database %q", v.Name, owner)
			}
			if owner, duplicate := addresses.claim(v.Address, v.Name); duplicate {
				return t.ErrorAt(path+".address", "address %s already belongs to server %q", v.Address, owner)
			}
		}
		d.databases[b.Name] = b
	}
	return nil
}

// nameOwners maps each name in use to its owner.
type nameOwners map[string]string

// claim records the owner of a name. If the name is already in use it changes
// nothing and returns the earlier owner and true.
func (o nameOwners) claim(name, owner string) (string, bool) {
	existing, claimed := o[name]
	if !claimed {
		o[name] = owner
	}
	return existing, claimed
}

func (d *Document) loadAccounts() error {
	var s Accounts
	t, err := d.decode(SectionAccounts, &s)
	if err != nil {
		return err
	}
	for i, a := range s.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		if _, duplicate := d.accounts[a.Name]; duplicate {
			return t.ErrorAt(path+".name", "client account %q is named twice", a.Name)
		}
		ids := nameOwners{}
		for j, k := range a.Keys {
			if _, duplicate := ids.claim(k.ID, a.Name); duplicate {
				return t.ErrorAt(fmt.Sprintf("%s.keys[%d].id", path, j), "key %q of client account %q is named twice", k.ID, a.Name)
			}
		}
		d.accounts[a.Name] = a
	}
	return nil
}

func (d *Document) loadRoutes() error {
	var s Routes
	t, err := d.decode(SectionRoutes, &s)
	if err != nil {
		return err
	}
	for i, r := range s.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if _, duplicate := d.routes[r.Name]; duplicate {
			return t.ErrorAt(path+".name", "route %q is named twice", r.Name)
		}
		if _, known := d.databases[r.Database]; !known {
			return t.ErrorAt(path+".database", "route %q names database %q, which section %s does not have", r.Name, r.Database, SectionDatabases)
		}
		for j, a := range r.Accounts {
			if _, known := d.accounts[a]; !known {
				return t.ErrorAt(fmt.Sprintf("%s.accounts[%d]", path, j), "route %q names client account %q, which section %s does not have", r.Name, a, SectionAccounts)
			}
		}
		d.routes[r.Name] = r
	}
	return nil
}
