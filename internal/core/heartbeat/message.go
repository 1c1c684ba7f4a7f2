// Package heartbeat decides, for one VM, which version of the agreed records it
// may act on, which other VMs seem alive, and when a version is accepted. VMs
// send beats up the relay tree of their availability zone and get answers down;
// the roots of the zones exchange beats among themselves. A node is an immutable
// value that takes an event and the time and returns a new value and messages.
//
// The messages go on the wire as arrays without names, since each VM sends tens of
// them a second; a field may only be added at the end.
package heartbeat

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// Summary names the members that act on a version. Each of them did so, and knew
// of no later version, at some moment at most Age before the summary was sent.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   `cbor:"version"`
	// Members is by place in the version's own member set.
	Members Bitset `cbor:"members"`
	// OldMembers is by place in the set before it.
	OldMembers Bitset `cbor:"old"`
	// Pending is set when a VM that is no member may still act on an earlier
	// version on the word of one of them.
	Pending bool `cbor:"pending,omitempty"`
	// Age is in milliseconds.
	Age clock.Millis `cbor:"age"`
}

// Beat is what a VM sends to its relay, or a root to the other roots.
type Beat struct {
	_    struct{} `cbor:",toarray"`
	From string   `cbor:"from"`
	// Sequence numbers the sender's beats.
	Sequence uint64 `cbor:"sent"`
	// Echo is the number of the last answer that the sender had from the receiver,
	// so that the receiver knows a moment before which the beat was not sent.
	Echo uint64 `cbor:"echo"`
	// NewestVersion is the highest version that the sender has heard of.
	NewestVersion uint64 `cbor:"newest"`
	// Subtree is about the sender and those it relays for.
	Subtree Summary `cbor:"subtree"`
	// Suspects names VMs that do not answer.
	Suspects []string `cbor:"suspects,omitempty"`
	// FromRoot is set between roots.
	FromRoot bool `cbor:"root,omitempty"`
	// Probe is set when the sender only asks a suspected VM whether it is there.
	Probe bool `cbor:"probe,omitempty"`
	// Address is where the sender takes answers, IP:port, if it is not where the
	// member set says.
	Address string `cbor:"address,omitempty"`
}

// Answer is what a relay answers to a beat.
type Answer struct {
	_    struct{} `cbor:",toarray"`
	From string   `cbor:"from"`
	// BeatSequence is the number of the beat.
	BeatSequence uint64 `cbor:"sent"`
	// Sequence is to be echoed in the next beat.
	Sequence      uint64 `cbor:"number"`
	NewestVersion uint64 `cbor:"newest"`
	// Version is the one that the relay acts on; its confirmation is Age old.
	Version uint64       `cbor:"version"`
	Age     clock.Millis `cbor:"age"`
	// AcceptedVersion is the highest version that nobody acts below.
	AcceptedVersion uint64 `cbor:"accepted"`
	// ListID identifies the platform's list of VMs as the relay knows it.
	ListID uint64 `cbor:"list"`
	// ZoneSummary is about the relay's whole zone; it is set between roots.
	ZoneSummary Summary  `cbor:"zone"`
	Suspects    []string `cbor:"suspects,omitempty"`
}

// Message is a beat or an answer on its way to a VM; one of the two is set.
type Message struct {
	To     string
	Beat   *Beat
	Answer *Answer
}
