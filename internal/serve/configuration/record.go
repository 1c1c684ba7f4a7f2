package configuration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Record is the configuration's entry in the platform's table. It is immutable. The texts
// of the sections are objects, named by their hashes.
type Record struct {
	// Version counts the operators' edits.
	Version uint64 `json:"version"`
	// Revision counts all changes, including those of the member set. VMs confirm and
	// accept revisions.
	Revision uint64 `json:"revision"`
	// SectionHashes holds the hash of the text of each section.
	SectionHashes map[string]string `json:"sections"`
	// SectionVersions holds the version that last changed each section.
	SectionVersions map[string]uint64 `json:"bases"`
	// History holds the last versions, the oldest first.
	History []Entry `json:"history"`
	// MembersHash names the object with the member set, the VMs that count for a majority,
	// and OldMembersHash that with the set before it. MembersHash is empty until the first
	// VM has started, OldMembersHash until a second set has been stored.
	MembersHash    string `json:"members,omitempty"`
	OldMembersHash string `json:"old,omitempty"`
	// MembersSince is the revision that introduced the member set.
	MembersSince uint64 `json:"since,omitempty"`
	// OlderHash names the object with the versions before those of History, or is empty.
	OlderHash string `json:"older,omitempty"`
}

// Entry is one version in the history.
type Entry struct {
	Version  uint64    `json:"version"`
	Operator string    `json:"who"`
	Time     time.Time `json:"when"`
	// RequestID identifies the edit, so that its repeat after a lost answer is recognized.
	RequestID string `json:"request"`
	// Sections holds the hash of the new text of each section that the version replaced.
	Sections map[string]string `json:"sections"`
}

// ConflictError means that another edit, version Current, has changed the section since
// BaseVersion, the version that the rejected edit starts from.
type ConflictError struct {
	Section     string
	BaseVersion uint64
	Current     uint64
	// Operator is the operator that made version Current, or empty when the record no longer
	// has that version.
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	by := "another"
	if e.Operator != "" {
		by = fmt.Sprintf("operator %q", e.Operator)
	}
	return fmt.Sprintf("section %s was edited from version %d, but version %d by %s has changed it since; get it again and repeat the edit", e.Section, e.BaseVersion, e.Current, by)
}

// RequestError means that the identifier of the request was used for another change, which
// made Version.
type RequestError struct {
	RequestID string
	Version   uint64
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request %s has already made another change, version %d", e.RequestID, e.Version)
}

// BaseError means that the base of an edit is a version that does not exist yet.
type BaseError struct {
	BaseVersion uint64
	Current     uint64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("the edit starts from version %d, but the last version is %d", e.BaseVersion, e.Current)
}

// WithChange returns the record after a change by an operator, and the version that
// contains the change. For a repeated change and for one that replaces no text it returns
// the record unchanged. The error is a *RequestError, *BaseError or *ConflictError.
func (r Record) WithChange(c Change, operator string) (Record, uint64, error) {
	hashes := map[string]string{}
	for section, text := range c.Texts {
		hashes[section] = Hash([]byte(text))
	}
	for _, e := range r.History {
		if e.RequestID == c.RequestID {
			return r, e.Version, e.checkRepeat(operator, hashes)
		}
	}
	if c.BaseVersion > r.Version {
		return r, 0, &BaseError{BaseVersion: c.BaseVersion, Current: r.Version}
	}
	maps.DeleteFunc(hashes, func(section, hash string) bool { return r.SectionHashes[section] == hash })
	if len(hashes) == 0 {
		return r, r.Version, nil
	}
	if err := r.checkConflict(hashes, c.BaseVersion); err != nil {
		return r, 0, err
	}
	next := r.withEntry(Entry{Version: r.Version + 1, Operator: operator, Time: c.Time.UTC(), RequestID: c.RequestID, Sections: hashes})
	return next, next.Version, nil
}

// checkRepeat returns a *RequestError unless a request with the entry's identifier is by the
// same operator and has the entry's text of each section that the entry replaced. It gets
// the hashes of the request's texts by section. Further sections are not compared, since the
// entry leaves out those whose text was unchanged.
func (e Entry) checkRepeat(operator string, hashes map[string]string) error {
	for section, hash := range e.Sections {
		if hashes[section] != hash || e.Operator != operator {
			return &RequestError{RequestID: e.RequestID, Version: e.Version}
		}
	}
	return nil
}

// checkConflict returns a *ConflictError for the first section, by name, that was changed
// after the base version.
func (r Record) checkConflict(hashes map[string]string, baseVersion uint64) error {
	for _, section := range slices.Sorted(maps.Keys(hashes)) {
		if current := r.SectionVersions[section]; current > baseVersion {
			return &ConflictError{Section: section, BaseVersion: baseVersion, Current: current, Operator: r.author(current)}
		}
	}
	return nil
}

// author returns the operator who made a version, or "" if the record no longer has that
// version.
func (r Record) author(version uint64) string {
	for _, e := range r.History {
		if e.Version == version {
			return e.Operator
		}
	}
	return ""
}

// withEntry returns the record with an entry added as its latest version.
func (r Record) withEntry(e Entry) Record {
	next := r
	next.Version, next.Revision = e.Version, r.Revision+1
	next.SectionHashes, next.SectionVersions = map[string]string{}, map[string]uint64{}
	maps.Copy(next.SectionHashes, r.SectionHashes)
	maps.Copy(next.SectionVersions, r.SectionVersions)
	for section, hash := range e.Sections {
		next.SectionHashes[section] = hash
		next.SectionVersions[section] = e.Version
	}
	next.History = append(slices.Clone(r.History), e)
	return next
}
