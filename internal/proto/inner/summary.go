package inner

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
)

// Summary is a message in which a relay of a zone reports what it knows of many VMs. Its
// first fields are those of Gossip. The content is encoded apart, since it is the same for
// all receivers.
type Summary struct {
	_        struct{} `cbor:",toarray"`
	From     string
	Address  string
	Process  uint64
	Sequence uint64
	Echo     uint64
	EchoAge  clock.Millis
	Leaving  bool
	Zone     member.Zone
	Region   string
	// Content is an encoded SummaryContent.
	Content []byte
}

// SummaryContent is the content of a Summary. The fields up to Views are those of Gossip.
type SummaryContent struct {
	_             struct{} `cbor:",toarray"`
	Scope         Scope
	Version       uint64
	VersionAge    clock.Millis
	DirectoryHash uint64
	DirectoryAge  clock.Millis
	Covered       int
	Known         int
	Usages        []Usage
	Views         []GroupView
	// First is set in the first part of a content. Down then names the VMs that are
	// registered and send no messages, and DownZones the zones without any VM that does.
	// They are about the sender's zone, or about all zones for ScopeAll.
	First     bool
	Down      []string
	DownZones []member.Zone
}

// EncodeContent encodes the content of a Summary.
func EncodeContent(c SummaryContent) []byte { return Encode(0, c).withBody().Body }

// DecodeContent decodes the content of a Summary.
func DecodeContent(s Summary) (SummaryContent, error) {
	var c SummaryContent
	err := Decode(Frame{Body: s.Content}, &c)
	return c, err
}
