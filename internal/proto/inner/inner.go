// Package inner is the protocol between the VMs: frames on a stream, one stream
// for each transaction or question. Bodies are CBOR, except rows and statements,
// which pass as raw PostgreSQL messages.
package inner

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Kind is the type of a frame.
type Kind byte

// The kinds of frame.
const (
	// KindBegin opens a transaction; its body is Begin.
	KindBegin Kind = 1
	// KindBatch carries statements to the holder; its body is Batch.
	KindBatch Kind = 2
	// KindCancel asks the holder to cancel the running statement; it has no body.
	KindCancel Kind = 3
	// KindData carries raw PostgreSQL messages to the entry proxy.
	KindData Kind = 4
	// KindEnd ends a batch; its body is End.
	KindEnd Kind = 5
	// KindRefusal says that nothing was run; its body is Refuse.
	KindRefusal Kind = 6
	// KindQuestion asks a question; its body is Ask.
	KindQuestion Kind = 7
	// KindAnswer answers it; its body is Answer.
	KindAnswer Kind = 8
	// KindBeat is a heartbeat in a datagram; its body is heartbeat.Beat.
	KindBeat Kind = 9
	// KindBeatAnswer answers a heartbeat in a datagram; its body is heartbeat.Answer.
	KindBeatAnswer Kind = 10
	// KindGossip tells, in a datagram, what a VM knows; its body is Gossip.
	KindGossip Kind = 11
	// KindRun asks a holder to run a statement; its body is Run.
	KindRun Kind = 12
	// KindResult answers it; its body is Result.
	KindResult Kind = 13
	// KindWorking says that the answer to a Run is still to come; it has no body.
	KindWorking Kind = 14
)

// MaxBody is the largest body of a frame in bytes.
const MaxBody = 64 << 20

const headerSize = 5

// Frame is one unit on a stream.
type Frame struct {
	Kind Kind
	// Body is not set yet in a frame that has a Message.
	Body []byte
	// Message becomes the body once the frame leaves the VM. A frame that stays
	// is read without the codec.
	Message any
}

// Begin opens a transaction at the holder of a backend server.
type Begin struct {
	Database string             `cbor:"database,omitzero"`
	Server   string             `cbor:"server,omitzero"`
	Account  string             `cbor:"account,omitzero"`
	Weight   int                `cbor:"weight,omitzero"`
	Kind     document.RouteKind `cbor:"kind,omitzero"`
	// Floor is what the server must have applied.
	Floor floor.ReplicationPosition `cbor:"floor,omitzero"`
	// Wait is how long the holder may wait for the floor, in milliseconds.
	Wait clock.Millis `cbor:"wait,omitzero"`
	// MaxStaleness is the staleness allowed in milliseconds; 0 asks for Floor alone.
	MaxStaleness clock.Millis `cbor:"age,omitzero"`
	// Timeout is the time left for the request in milliseconds.
	Timeout clock.Millis `cbor:"deadline,omitzero"`
	// Session names a roaming session whose floor the holder records.
	Session string `cbor:"session,omitzero"`
	// IdempotencyKey is the idempotency key of a request that must not be repeated.
	IdempotencyKey string `cbor:"key,omitzero"`
	// AtMostOnce marks a request that must not be repeated.
	AtMostOnce bool `cbor:"once,omitzero"`
	// Parent is the W3C traceparent of the entry's span.
	Parent string `cbor:"parent,omitzero"`
}

// PreparedStatement is a prepared statement that a batch refers to.
type PreparedStatement struct {
	Name string `cbor:"name,omitzero"`
	// Parse is the raw Parse message that makes it.
	Parse []byte `cbor:"parse,omitzero"`
}

// Batch is a run of statements up to a Sync, a Flush or a simple Query.
type Batch struct {
	Prepared []PreparedStatement `cbor:"needs,omitzero"`
	// Raw holds whole PostgreSQL messages.
	Raw []byte `cbor:"raw,omitzero"`
}

// End ends a batch.
type End struct {
	// Status is the transaction status of ReadyForQuery, or 0 after a Flush.
	Status byte `cbor:"status,omitzero"`
	// Position is the state of the server after the batch; it is set when Status is 'I'.
	Position floor.ReplicationPosition `cbor:"mark,omitzero"`
	// FloorUnrecorded is set when the write of a named session was committed but its
	// floor was not recorded, because the holder has lost its lock. The floor has
	// to be reported to the present holder before the caller gets the answer.
	FloorUnrecorded bool `cbor:"unrecorded,omitzero"`
	// UnknownOutcome is set when the end of the transaction was not seen.
	UnknownOutcome string `cbor:"unknown,omitzero"`
	// Reusable is set when the stream takes another Begin.
	Reusable bool `cbor:"open,omitzero"`
	// Raw holds the last PostgreSQL messages of the answer.
	Raw []byte `cbor:"raw,omitzero"`
}

// Refusal says that nothing of the batch reached the backend server.
type Refusal struct {
	Reason outcome.Reason `cbor:"reason"`
	Code   string         `cbor:"code"`
	Detail string         `cbor:"detail"`
	// State is what the holder knows of the server, for the next choice.
	State ServerState `cbor:"state"`
}

// ServerState is what a holder knows of its backend server.
type ServerState struct {
	Server string `cbor:"server" json:"server"`
	// Term is the highest term the server knows.
	Term floor.Term `cbor:"term" json:"term"`
	// Primary names the primary of that term; it is empty when unknown.
	Primary string `cbor:"primary" json:"primary"`
	// Applied is what reads on the server see.
	Applied floor.ReplicationPosition `cbor:"applied" json:"applied"`
	// Lag is the time since the server last was level with the primary, in milliseconds.
	Lag clock.Millis `cbor:"lag" json:"lag"`
}

// Question is a question to another VM.
type Question struct {
	// Topic is one of the Topic constants.
	Topic    string `cbor:"topic"`
	Database string `cbor:"database,omitempty"`
	Server   string `cbor:"server,omitempty"`
	Session  string `cbor:"session,omitempty"`
	// Floor is the mark to record for the session.
	Floor floor.ReplicationPosition `cbor:"floor"`
	// Secret and Process identify a caller's connection for a cancel.
	Process uint32 `cbor:"process,omitempty"`
	Secret  []byte `cbor:"secret,omitempty"`
	// KnownObjects names objects that the asker has already.
	KnownObjects []string `cbor:"known,omitempty"`
	// Share is set for TopicShare.
	Share *ShareRequest `cbor:"share,omitempty"`
}

// ShareRequest is about the parts of client accounts' limits. It goes from a VM to the
// owner of the accounts, or the other way when Begin is set.
type ShareRequest struct {
	// From is the name of the VM, Process that of its running process.
	From    string `cbor:"from"`
	Process string `cbor:"process,omitempty"`
	// Version is the one that the VM acts on.
	Version uint64 `cbor:"version"`
	// Survey asks the receiver to report all parts of accounts that From owns, and
	// to give Mark back with them.
	Survey   bool   `cbor:"begin,omitempty"`
	SurveyID uint64 `cbor:"mark,omitempty"`
	// Reports are by account.
	Reports []limit.Report `cbor:"reports,omitempty"`
}

// The topics of a question.
const (
	TopicState  = "state"
	TopicFloor  = "floor"
	TopicCancel = "cancel"
	// TopicConfiguration asks for the configuration that a VM has.
	TopicConfiguration = "configuration"
	// TopicPrimaryLost asks an observer whether it has lost a database's primary.
	TopicPrimaryLost = "lost"
	// TopicRecordFloor records the floor of a named session at the present holder.
	TopicRecordFloor = "record"
	// TopicShare is about limits; Ask.Share says more.
	TopicShare = "share"
	// TopicText asks for the text of the configuration in force.
	TopicText = "text"
	// TopicServers asks for the directory of backend servers.
	TopicServers = "servers"
)

// Answer answers an Ask.
type Answer struct {
	State ServerState               `cbor:"state"`
	Floor floor.ReplicationPosition `cbor:"floor"`
	// Payload is the configuration's entry in the table, and Objects the texts that
	// it names, by hash, without those that the asker has.
	Payload []byte            `cbor:"record,omitempty"`
	Objects map[string][]byte `cbor:"objects,omitempty"`
	// LostTerm is the term whose primary the observer has lost, or 0.
	LostTerm floor.Term `cbor:"lost,omitempty"`
	// Grants answer the reports of a Share.
	Grants []limit.Grant `cbor:"grants,omitempty"`
	// Error is set when the question could not be answered.
	Error string `cbor:"error,omitempty"`
}

// FrameError reports bytes that are no frame.
type FrameError struct{ Detail string }

// Error implements error.
func (e *FrameError) Error() string { return "inner protocol: " + e.Detail }

// Encode builds a frame from a message, which must not be changed any more. The
// messages of a transaction are encoded when the frame leaves the VM.
func Encode(kind Kind, message any) Frame {
	f := Frame{Kind: kind, Message: message}
	switch message.(type) {
	case Begin, Batch, End:
		return f
	}
	return f.withBody()
}

// withBody returns the frame with its body. Encoding a message of this package
// cannot fail, so a failure panics.
func (f Frame) withBody() Frame {
	if f.Message == nil {
		return f
	}
	body, err := cbor.Marshal(f.Message)
	if err != nil {
		panic(fmt.Sprintf("inner protocol: cannot encode %T: %v", f.Message, err))
	}
	return Frame{Kind: f.Kind, Body: body}
}

// Decode reads the body of f into the message that target points to. What it
// reads of a frame of this VM is shared with the sender and must not be changed.
func Decode(f Frame, target any) error {
	if f.copyMessage(target) {
		return nil
	}
	if err := cbor.Unmarshal(f.withBody().Body, target); err != nil {
		return &FrameError{Detail: fmt.Sprintf("frame %d: %v", f.Kind, err)}
	}
	return nil
}

// Pack puts a frame into a datagram.
func Pack(f Frame) []byte { return append([]byte{byte(f.Kind)}, f.withBody().Body...) }

// Unpack takes the frame out of a datagram.
func Unpack(datagram []byte) (Frame, error) {
	if len(datagram) == 0 {
		return Frame{}, &FrameError{Detail: "empty datagram"}
	}
	return Frame{Kind: Kind(datagram[0]), Body: datagram[1:]}, nil
}

// copyMessage copies the message of a frame of this VM, if it is one of a transaction.
func (f Frame) copyMessage(target any) bool {
	switch t := target.(type) {
	case *Begin:
		m, ok := f.Message.(Begin)
		if ok {
			*t = m
		}
		return ok
	case *Batch:
		m, ok := f.Message.(Batch)
		if ok {
			*t = m
		}
		return ok
	case *End:
		m, ok := f.Message.(End)
		if ok {
			*t = m
		}
		return ok
	}
	return false
}

// Write sends one frame in one call to w.
func Write(w io.Writer, f Frame) error {
	f = f.withBody()
	buf := make([]byte, headerSize+len(f.Body))
	buf[0] = byte(f.Kind)
	binary.BigEndian.PutUint32(buf[1:], uint32(len(f.Body)))
	copy(buf[headerSize:], f.Body)
	_, err := w.Write(buf)
	return err
}

// Read receives one frame.
func Read(r io.Reader) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxBody {
		return Frame{}, &FrameError{Detail: fmt.Sprintf("frame of %d bytes is over the limit of %d", size, MaxBody)}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return Frame{}, err
	}
	return Frame{Kind: Kind(header[0]), Body: body}, nil
}

// Exchange is one stream as its users see it, whether the other side is another
// VM or this one.
type Exchange struct {
	SendFunc    func(Frame) error
	ReceiveFunc func() (Frame, error)
	// CloseFunc ends the stream at once; the other side sees an error.
	CloseFunc func()
	// ReleaseFunc lets another transaction use the stream after this one has
	// ended; when it is nil, the stream is closed.
	ReleaseFunc func()
	// ReceiveTimeoutFunc bounds the wait of the next Receive, in milliseconds; a stream on
	// which it was exceeded must be closed. It is nil where no wait can be bounded.
	ReceiveTimeoutFunc func(length clock.Millis)
}

// Send sends one frame.
func (x Exchange) Send(f Frame) error { return x.SendFunc(f) }

// Receive waits for one frame.
func (x Exchange) Receive() (Frame, error) { return x.ReceiveFunc() }

// Close ends the stream at once.
func (x Exchange) Close() { x.CloseFunc() }

// Release ends the use of the stream after an End with Open set. Nothing may be
// sent any more; a Close that comes late does nothing.
func (x Exchange) Release() {
	if x.ReleaseFunc == nil {
		x.CloseFunc()
		return
	}
	x.ReleaseFunc()
}
