package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/platform"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Bundle is one revision of the configuration with the objects of its sections and member
// sets, so that VMs can send it to each other while the platform is down. The objects of the
// history are not part of it. It is immutable.
type Bundle struct {
	Record Record
	// RawRecord is the record as it is in the platform's table.
	RawRecord []byte
	// Objects maps the hash of each object to its content.
	Objects map[string][]byte
	// Document is nil until an operator has written one.
	Document *document.Document
	// Members is the member set of the revision, OldMembers the one before it.
	Members    []member.VM
	OldMembers []member.VM
}

// NewBundle builds a bundle from the JSON of the record in the platform's table and reads
// its objects by hash with get. An object that does not match its hash is an error.
func NewBundle(raw []byte, get func(hash string) ([]byte, error)) (*Bundle, error) {
	b := &Bundle{RawRecord: bytes.Clone(raw), Objects: map[string][]byte{}}
	if err := json.Unmarshal(raw, &b.Record); err != nil {
		return nil, errors.Wrap(err, "configuration record")
	}
	texts := map[string]string{}
	for section, hash := range b.Record.SectionHashes {
		body, err := b.addObject(hash, get)
		if err != nil {
			return nil, errors.Wrapf(err, "section %s", section)
		}
		texts[section] = string(body)
	}
	var err error
	if b.Members, err = b.readMembers(b.Record.MembersHash, get); err != nil {
		return nil, err
	}
	if b.OldMembers, err = b.readMembers(b.Record.OldMembersHash, get); err != nil {
		return nil, err
	}
	if len(texts) > 0 {
		b.Document, err = document.Parse(b.Record.Version, texts)
	}
	return b, err
}

// addObject reads an object, checks that its content has the hash and adds it to Objects.
func (b *Bundle) addObject(hash string, get func(string) ([]byte, error)) ([]byte, error) {
	body, err := get(hash)
	if err != nil {
		return nil, err
	}
	if Hash(body) != hash {
		return nil, errors.New("the object does not match its hash")
	}
	b.Objects[hash] = body
	return body, nil
}

// readMembers reads the object with a member set. It returns nil for an empty hash.
func (b *Bundle) readMembers(hash string, get func(string) ([]byte, error)) ([]member.VM, error) {
	if hash == "" {
		return nil, nil
	}
	body, err := b.addObject(hash, get)
	if err != nil {
		return nil, errors.Wrap(err, "member set")
	}
	var out []member.VM
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "member set")
	}
	return out, nil
}

// Read reads the newest bundle from the platform. Objects in known are not read again,
// and known itself is returned if the record is unchanged; known may be nil. The error is
// platform.ErrNotFound if there is no record, and a *MissingObjectError if an object is
// missing.
func Read(ctx context.Context, store platform.Store, known *Bundle) (*Bundle, error) {
	v, err := store.GetRecordFunc(ctx, Key)
	if err != nil {
		return nil, err
	}
	if known != nil && bytes.Equal(v.Body, known.RawRecord) {
		return known, nil
	}
	return NewBundle(v.Body, func(hash string) ([]byte, error) {
		if known != nil && known.Objects[hash] != nil {
			return known.Objects[hash], nil
		}
		return readObject(ctx, store, hash)
	})
}

// SetMembers replaces the member set if the record is still at the given revision, and
// returns platform.ErrConflict if it is not. Revision 0 means that there is no record yet. If
// the record has a member set, the given revision must be accepted, which means that no VM
// acts on an earlier one: the new revision is confirmed by majorities of the new set and of
// the set before it, and a majority of a still older set may have no member in common with
// these. Other errors are the platform's.
func SetMembers(ctx context.Context, store platform.Store, revision uint64, members []member.VM) error {
	old, etag, err := loadRecord(ctx, store)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if old.Revision != revision {
		return platform.ErrConflict
	}
	list, err := json.Marshal(SortedMembers(members))
	if err != nil {
		return errors.Wrap(err, "member set")
	}
	next := old
	next.Revision, next.MembersHash, next.OldMembersHash = old.Revision+1, Hash(list), old.MembersHash
	next.MembersSince = next.Revision
	if err := store.PutObjectFunc(ctx, next.MembersHash, list); err != nil {
		return err
	}
	body, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "configuration record")
	}
	_, err = store.PutRecordFunc(ctx, Key, etag, body)
	return err
}

// SortedMembers returns a copy of the VMs in the order of a member set: by zone, then name.
func SortedMembers(vms []member.VM) []member.VM {
	out := slices.Clone(vms)
	slices.SortFunc(out, func(a, b member.VM) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}
