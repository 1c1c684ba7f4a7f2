// Package heartbeat decides, for one VM, which version of the stored record it may act
// on, which other VMs seem alive, and when a version is accepted: when no VM acts on an
// earlier one any more. VMs send beats up the relay tree of their availability zone and
// receive answers from their relay; the roots of the zones exchange beats among
// themselves. A State is an immutable value: each event and its time give a new State
// and the messages to send.
//
// Messages are encoded as arrays without field names, since each VM sends tens of
// them per second; fields may only be added at the end.
package heartbeat

import "github.com/sycamoredoor/sycamoredoor/internal/base/clock"

// Summary names the members that act on a version. Each of them acted on it, and knew
// of no later version, at some time at most Age before the summary was sent.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   `cbor:"version"`
	// Members is by index in the version's own member set.
	Members Bitset `cbor:"members"`
	// OldMembers is by index in the previous member set.
	OldMembers Bitset `cbor:"old"`
	// EarlierVersionPending is set when a VM outside the member set may still act on an
	// earlier version that one of these members confirmed.
	EarlierVersionPending bool `cbor:"pending,omitempty"`
	// Age is in milliseconds.
	Age clock.Millis `cbor:"age"`
}

// Beat is what a VM sends to its relay, and a root to the other roots.
type Beat struct {
	_    struct{} `cbor:",toarray"`
	From string   `cbor:"from"`
	// Sequence is the sequence number of the beat. All beats and probes that a VM sends
	// at one time share it.
	Sequence uint64 `cbor:"sent"`
	// Echo is the sequence number of the last answer that the sender received from
	// the receiver. The beat was sent after that answer.
	Echo uint64 `cbor:"echo"`
	// NewestVersion is the highest version that the sender knows of.
	NewestVersion uint64 `cbor:"newest"`
	// Subtree covers the sender and the VMs it relays for.
	Subtree Summary `cbor:"subtree"`
	// Suspects names the VMs that the sender, or a VM it relays for, suspects.
	Suspects []string `cbor:"suspects,omitempty"`
	// FromRoot is set in beats between roots.
	FromRoot bool `cbor:"root,omitempty"`
	// Probe is set when the sender only asks whether a suspected VM answers.
	Probe bool `cbor:"probe,omitempty"`
	// Address is the IP:port at which the sender receives answers, or "" if the member
	// set lists the sender with that address.
	Address string `cbor:"address,omitempty"`
}

// Answer is a VM's answer to a beat. State.Notices sends one without a beat.
type Answer struct {
	_    struct{} `cbor:",toarray"`
	From string   `cbor:"from"`
	// BeatSequence is the sequence number of the answered beat, or 0 in a message of
	// State.Notices.
	BeatSequence uint64 `cbor:"sent"`
	// Sequence is to be echoed in the next beat.
	Sequence      uint64 `cbor:"number"`
	NewestVersion uint64 `cbor:"newest"`
	// Version is the version of the sender's latest confirmation, or 0 if the sender is
	// not a member. The confirmation is Age milliseconds old.
	Version uint64       `cbor:"version"`
	Age     clock.Millis `cbor:"age"`
	// AcceptedVersion is the highest version below which no VM acts any more.
	AcceptedVersion uint64 `cbor:"accepted"`
	// ListID is the sender's State.ListID.
	ListID uint64 `cbor:"list"`
	// ZoneSummary covers the sender's whole zone; it is set between roots.
	ZoneSummary Summary `cbor:"zone"`
	// Suspects names all VMs but the receiver that the sender knows to be suspected, or
	// between roots those that its own zone suspects.
	Suspects []string `cbor:"suspects,omitempty"`
}

// Message is a beat or an answer to be sent to the VM called To; exactly one of the
// two is set.
type Message struct {
	To     string
	Beat   *Beat
	Answer *Answer
}
