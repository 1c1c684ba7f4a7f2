package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

// Operator is a person or a script that may edit sections.
type Operator struct {
	// Name stands in the history.
	Name string `yaml:"name" validate:"required"`
	// Sections are those that the operator may edit; every operator may read all.
	Sections []string `yaml:"sections" validate:"dive,oneof=databases accounts routes operators"`
	// Verifier has the form SHA-256$hash-in-hex; `sycamorectl operator new` makes it.
	Verifier string `yaml:"verifier" validate:"required,token"`
}

// Operators is the section that says who may edit which section.
type Operators struct {
	// Operators are those who may use the address for operators.
	Operators []Operator `yaml:"operators" validate:"dive"`
}

// BootstrapOperator is the name in the history of the holder of the bootstrap token.
const BootstrapOperator = "bootstrap"

// UnknownTokenError means that a token belongs to no operator.
type UnknownTokenError struct{ Detail string }

// Error implements error.
func (e *UnknownTokenError) Error() string { return e.Detail }

// ForbiddenError means that an operator may not edit a section.
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

// Authenticate returns the operator of a token. The bootstrap token works only while
// the document names no operator; an empty one never works. The document may be
// nil when nothing has been applied yet.
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

// AuthorizeEdit returns a *ForbiddenError for the first section that the operator does
// not own.
func (o Operator) AuthorizeEdit(sections []string) error {
	for _, s := range sections {
		if !slices.Contains(o.Sections, s) {
			return &ForbiddenError{Operator: o.Name, Section: s, AllowedSections: o.Sections}
		}
	}
	return nil
}

// loadOperators reads the section. Once it is written, somebody must own it.
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
