package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

// Operator is a person or a program that may edit sections.
type Operator struct {
	// Name identifies the operator in the history of versions.
	Name string `yaml:"name" validate:"required"`
	// Sections are the sections that the operator may edit; every operator may read all.
	Sections []string `yaml:"sections" validate:"dive,oneof=databases accounts routes operators"`
	// Verifier is the hash of the operator's token in the form SHA-256$hash-in-hex; `sycamorectl operator new` makes it.
	Verifier string `yaml:"verifier" validate:"required,token"`
}

// Operators is section operators: who may edit which section.
type Operators struct {
	// Operators are those who may use the address for operators.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// BootstrapOperator is the name under which edits made with the bootstrap token
// appear in the history.
const BootstrapOperator = "bootstrap"

// UnknownTokenError is returned for a token that belongs to no operator.
type UnknownTokenError struct{ Detail string }

// Error implements error.
func (e *UnknownTokenError) Error() string { return e.Detail }

// ForbiddenError is returned when an operator may not edit a section.
type ForbiddenError struct {
	Operator        string
	Section         string
	AllowedSections []string
}

// Error implements error.
func (e *ForbiddenError) Error() string {
	allowed := "none"
	if len(e.AllowedSections) > 0 {
		allowed = strings.Join(e.AllowedSections, ", ")
	}
	return fmt.Sprintf("operator %q may not edit section %s; sections of this operator: %s", e.Operator, e.Section, allowed)
}

// Authenticate returns the operator that a token belongs to, or an
// *UnknownTokenError. The bootstrap token is accepted only while the document names
// no operator; an empty one is never accepted. The document may be nil, as it is
// before the first version.
func (d *Document) Authenticate(token, bootstrap string) (Operator, error) {
	if d == nil || len(d.operators) == 0 {
		if verifier.MatchToken(token, verifier.HashToken(bootstrap)) {
			return Operator{Name: BootstrapOperator, Sections: Sections()}, nil
		}
		return Operator{}, &UnknownTokenError{Detail: "no operator is named yet; only the bootstrap token of the VM's settings works"}
	}
	for _, o := range d.operators {
		if verifier.MatchToken(token, o.Verifier) {
			return o, nil
		}
	}
	return Operator{}, &UnknownTokenError{Detail: "the token belongs to no operator"}
}

// AuthorizeEdit returns a *ForbiddenError for the first of the sections that the
// operator may not edit, or nil.
func (o Operator) AuthorizeEdit(sections []string) error {
	for _, s := range sections {
		if !slices.Contains(o.Sections, s) {
			return &ForbiddenError{Operator: o.Name, Section: s, AllowedSections: o.Sections}
		}
	}
	return nil
}

// loadOperators reads section operators. A document without the section is valid, but
// one with it must let some operator edit it: otherwise nobody could change it again.
func (d *Document) loadOperators() error {
	if _, isWritten := d.texts[SectionOperators]; !isWritten {
		return nil
	}
	var s Operators
	t, err := d.decode(SectionOperators, &s)
	if err != nil {
		return err
	}
	names, verifiers, hasOwner := nameOwners{}, nameOwners{}, false
	for i, o := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		if _, duplicate := names.claim(o.Name, o.Name); duplicate {
			return t.ErrorAt(path+".name", "operator %q is named twice", o.Name)
		}
		if o.Name == BootstrapOperator {
			return t.ErrorAt(path+".name", "%q is kept for the first edit", BootstrapOperator)
		}
		if owner, duplicate := verifiers.claim(o.Verifier, o.Name); duplicate {
			return t.ErrorAt(path+".verifier", "operators %q and %q have the same token", owner, o.Name)
		}
		hasOwner = hasOwner || slices.Contains(o.Sections, SectionOperators)
	}
	if !hasOwner {
		return t.ErrorAt("operators", "no operator may edit section %s, so that nobody could change it again", SectionOperators)
	}
	d.operators = s.Operators
	return nil
}
