// Package inner is the protocol between the VMs: frames on a stream, which serves
// one transaction or question at a time, and single frames in datagrams. The entry
// proxy is the VM that the caller is connected to; a holder is a VM that holds
// connections to a backend server. Bodies are CBOR. The statements and rows of a
// transaction that Begin opens pass as raw PostgreSQL messages: in Batch, in End.Raw and
// as the whole body of KindData. Run and Result carry them as text instead.
package inner

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
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
	// KindRefusal reports that nothing was run; its body is Refusal.
	KindRefusal Kind = 6
	// KindQuestion asks a question; its body is Question.
	KindQuestion Kind = 7
	// KindAnswer answers a question; its body is Answer.
	KindAnswer Kind = 8
	// KindBeat carries a heartbeat in a datagram; its body is heartbeat.Beat.
	KindBeat Kind = 9
	// KindBeatAnswer answers a heartbeat in a datagram; its body is heartbeat.Answer.
	KindBeatAnswer Kind = 10
	// KindGossip carries gossip in a datagram; its body is Gossip.
	KindGossip Kind = 11
	// KindRun asks a holder to run a statement; its body is Run.
	KindRun Kind = 12
	// KindResult answers a Run; its body is Result.
	KindResult Kind = 13
	// KindWorking reports that the Run is still in progress; it has no body.
	KindWorking Kind = 14
	// KindSummary is a Summary, a datagram.
	KindSummary Kind = 15
	// KindRoster is a Roster, a datagram.
	KindRoster Kind = 16
	// KindEvacuation is an Evacuation, a datagram.
	KindEvacuation Kind = 17
)

// MaxBody is the largest body of a frame in bytes.
const MaxBody = 64 << 20

// headerSize is the length of a frame's kind byte and length word.
const headerSize = 5

// Frame is one message on a stream or in a datagram. Its body is set either in
// encoded form or as a Message that is still to be encoded.
type Frame struct {
	Kind Kind
	// Body is the encoded body; it is nil in a frame that has a Message.
	Body []byte
	// Message is encoded when the frame leaves the VM. Within one VM it is
	// passed on without encoding.
	Message any
}

// Begin opens a transaction at the holder of a backend server.
type Begin struct {
	Database string             `cbor:"database,omitzero"`
	Server   string             `cbor:"server,omitzero"`
	Account  string             `cbor:"account,omitzero"`
	Weight   int                `cbor:"weight,omitzero"`
	Kind     document.RouteKind `cbor:"kind,omitzero"`
	// Floor is the lowest position that the server must have applied.
	Floor floor.ReplicationPosition `cbor:"floor,omitzero"`
	// Wait is how long the holder may wait for the floor, in milliseconds.
	Wait clock.Millis `cbor:"wait,omitzero"`
	// MaxStaleness is the staleness bound in milliseconds; with 0 only Floor counts.
	MaxStaleness clock.Millis `cbor:"age,omitzero"`
	// Timeout is the time left until the request's deadline, in milliseconds.
	Timeout clock.Millis `cbor:"deadline,omitzero"`
	// Session is the named session whose floor the holder records, or "".
	Session string `cbor:"session,omitzero"`
	// IdempotencyKey identifies the request when its caller repeats it; it may be
	// empty.
	IdempotencyKey string `cbor:"key,omitzero"`
	// AtMostOnce marks a request that must not run twice.
	AtMostOnce bool `cbor:"once,omitzero"`
	// Parent is the W3C traceparent of the entry proxy's span.
	Parent string `cbor:"parent,omitzero"`
}

// PreparedStatement is a prepared statement that a batch refers to.
type PreparedStatement struct {
	Name string `cbor:"name,omitzero"`
	// Parse is the raw Parse message that prepares the statement.
	Parse []byte `cbor:"parse,omitzero"`
}

// Batch is a sequence of statements up to and including a Sync, a Flush or a
// simple Query.
type Batch struct {
	// Statements holds the prepared statements that the batch refers to.
	Statements []PreparedStatement `cbor:"needs,omitzero"`
	// Raw holds whole PostgreSQL messages.
	Raw []byte `cbor:"raw,omitzero"`
}

// End ends a batch.
type End struct {
	// Status is the transaction status of ReadyForQuery, or 0 after a Flush.
	Status byte `cbor:"status,omitzero"`
	// Position is the server's position after the batch. It is set when Status is 'I',
	// unless the holder has rolled back the transaction.
	Position floor.ReplicationPosition `cbor:"mark,omitzero"`
	// FloorUnrecorded is set when the write of a named session was committed but
	// its floor was not recorded, because the holder has lost its lock on the
	// backend server. The floor must be recorded at the current holder before the
	// caller gets the answer.
	FloorUnrecorded bool `cbor:"unrecorded,omitzero"`
	// UnknownOutcome is the reason why the outcome of the transaction is unknown,
	// or empty.
	UnknownOutcome string `cbor:"unknown,omitzero"`
	// Reusable is set when another Begin may follow on the stream.
	Reusable bool `cbor:"open,omitzero"`
	// Raw holds the last PostgreSQL messages of the answer.
	Raw []byte `cbor:"raw,omitzero"`
}

// Refusal reports that nothing of the batch reached the backend server.
type Refusal struct {
	Reason outcome.Reason `cbor:"reason"`
	// Code is the SQLSTATE for the caller.
	Code string `cbor:"code"`
	// Detail is the message for the caller.
	Detail string `cbor:"detail"`
	// State is what the holder knows about the server, which helps to choose
	// the next server to try.
	State ServerState `cbor:"state"`
}

// ServerState is what a holder knows about its backend server.
type ServerState struct {
	Server string `cbor:"server" json:"server"`
	// Term is the highest term the server knows.
	Term floor.Term `cbor:"term" json:"term"`
	// Primary names the primary of that term; it is empty when unknown.
	Primary string `cbor:"primary" json:"primary"`
	// Applied is the position that reads on the server see.
	Applied floor.ReplicationPosition `cbor:"applied" json:"applied"`
	// Lag is the replication lag: the time since the server last had applied
	// everything that the primary had, in milliseconds.
	Lag clock.Millis `cbor:"lag" json:"lag"`
}

// Question asks another VM for information, or to do something that Topic names.
type Question struct {
	// Topic is one of the Topic constants.
	Topic    string `cbor:"topic"`
	Database string `cbor:"database,omitempty"`
	Server   string `cbor:"server,omitempty"`
	Session  string `cbor:"session,omitempty"`
	// Floor is the position to record for the session with TopicRecordFloor.
	Floor floor.ReplicationPosition `cbor:"floor"`
	// Process and Secret identify a caller's connection for TopicCancel.
	Process uint32 `cbor:"process,omitempty"`
	Secret  []byte `cbor:"secret,omitempty"`
	// KnownObjects names the objects that the asking VM already has.
	KnownObjects []string `cbor:"known,omitempty"`
	// Share is set for TopicShare.
	Share *ShareRequest `cbor:"share,omitempty"`
	// AcceptsGzip is set if the asking VM can decompress the payload of the answer.
	AcceptsGzip bool `cbor:"gzip,omitempty"`
	// Wait is how long the answer to TopicText may wait for a first configuration, in
	// milliseconds.
	Wait clock.Millis `cbor:"wait,omitempty"`
}

// ShareRequest carries a VM's reports of its parts of client accounts' limits to
// the VM that owns the accounts. With Survey set it goes the other way and asks
// for such reports.
type ShareRequest struct {
	// From is the name of the sending VM, and Process identifies its running process.
	From    string `cbor:"from"`
	Process string `cbor:"process,omitempty"`
	// Version is the version of the configuration that the sender acts on.
	Version uint64 `cbor:"version"`
	// Survey asks the receiver to report all its parts of accounts that From
	// owns. Those reports carry the same SurveyID.
	Survey   bool   `cbor:"begin,omitempty"`
	SurveyID uint64 `cbor:"mark,omitempty"`
	// Reports holds one report per client account.
	Reports []limit.Report `cbor:"reports,omitempty"`
}

// The topics of a question.
const (
	// TopicState asks a holder for the state of its backend server.
	TopicState = "state"
	// TopicFloor asks a holder for the floor of a named session.
	TopicFloor = "floor"
	// TopicCancel asks for the cancellation of what a caller's connection runs.
	TopicCancel = "cancel"
	// TopicConfiguration asks for a VM's configuration as a record and its objects.
	TopicConfiguration = "configuration"
	// TopicPrimaryLost asks an observer whether it has lost a database's primary.
	TopicPrimaryLost = "lost"
	// TopicRecordFloor asks the current holder to record the floor of a named session.
	TopicRecordFloor = "record"
	// TopicShare is about the limits of client accounts; see ShareRequest.
	TopicShare = "share"
	// TopicText asks for the text of the configuration in force.
	TopicText = "text"
	// TopicServers asks for the directory of backend servers.
	TopicServers = "servers"
	// TopicVMs asks for the list of registered VMs.
	TopicVMs = "vms"
)

// Answer answers a Question.
type Answer struct {
	// State answers TopicState, and Floor TopicFloor.
	State ServerState               `cbor:"state"`
	Floor floor.ReplicationPosition `cbor:"floor"`
	// Payload answers TopicConfiguration with the configuration's record in the
	// platform's table, TopicText with the text of the configuration, and
	// TopicServers with the directory of backend servers and TopicVMs with a List, both as
	// JSON. Objects holds the
	// texts whose hashes are in the record, by hash, except Question.KnownObjects.
	Payload []byte            `cbor:"record,omitempty"`
	Objects map[string][]byte `cbor:"objects,omitempty"`
	// Gzip is set if Payload is compressed with gzip.
	Gzip bool `cbor:"gzip,omitempty"`
	// Version is the version of the text in the answer to TopicText, or 0 if it is not known.
	// VersionAge is the time since the store was last known to have no later one, in
	// milliseconds.
	Version    uint64       `cbor:"version,omitempty"`
	VersionAge clock.Millis `cbor:"age,omitempty"`
	// LostTerm is the term whose primary the observer has lost, or 0 when it has
	// lost none.
	LostTerm floor.Term `cbor:"lost,omitempty"`
	// Grants answers the reports of a ShareRequest.
	Grants []limit.Grant `cbor:"grants,omitempty"`
	// Evacuation is the answering VM's state of evacuations in the answer to TopicText, or nil
	// before its first report.
	Evacuation *Evacuation `cbor:"evacuation,omitempty"`
	// Error is set when the question was refused or could not be answered.
	Error string `cbor:"error,omitempty"`
}

// FrameError reports bytes that are not a valid frame.
type FrameError struct{ Detail string }

// Error implements error.
func (e *FrameError) Error() string { return "inner protocol: " + e.Detail }

// Pack encodes a frame as a datagram.
func Pack(f Frame) []byte { return append([]byte{byte(f.Kind)}, f.withBody().Body...) }

// Unpack decodes the frame in a datagram; an empty datagram is a *FrameError. The body
// is not copied.
func Unpack(datagram []byte) (Frame, error) {
	if len(datagram) == 0 {
		return Frame{}, &FrameError{Detail: "empty datagram"}
	}
	return Frame{Kind: Kind(datagram[0]), Body: datagram[1:]}, nil
}

// copyMessage copies the message of a frame that was not encoded into target. It
// reports false for an encoded frame and for a message of another type.
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

// Write sends one frame in a single call to w.Write.
func Write(w io.Writer, f Frame) error {
	f = f.withBody()
	buf := make([]byte, headerSize+len(f.Body))
	buf[0] = byte(f.Kind)
	binary.BigEndian.PutUint32(buf[1:], uint32(len(f.Body)))
	copy(buf[headerSize:], f.Body)
	_, err := w.Write(buf)
	return err
}

// Read receives one frame. It returns a *FrameError for a body over MaxBody, and io.EOF
// when the stream has ended.
func Read(r io.Reader) (Frame, error) { return ReadWithin(r, nil) }

// decodedCopies is how many times the bytes of a frame are held while it is decoded.
const decodedCopies = 2

// firstBody is the initial size of the buffer for the body of a longer frame, in bytes. The buffer
// grows as data arrives, since the length in the header may be wrong.
const firstBody = 64 << 10

// ReadWithin is Read with an owner of memory. If the owner is refused the bytes of a body, it reads and
// drops the body, and returns the frame without it and memory.ErrShort.
func ReadWithin(r io.Reader, m *memory.Owner) (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > MaxBody {
		return Frame{}, &FrameError{Detail: fmt.Sprintf("frame of %d bytes is over the limit of %d", size, MaxBody)}
	}
	f := Frame{Kind: Kind(header[0])}
	if size > memory.FreeSize && !m.Take(memory.Message, decodedCopies*int64(size)) {
		if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
			return Frame{}, err
		}
		return f, memory.ErrShort
	}
	var err error
	f.Body, err = readBody(r, int(size))
	return f, err
}

// readBody reads a body of a given size.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, firstBody))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	for len(body) < size {
		next := make([]byte, min(2*len(body), size))
		copy(next, body)
		if _, err := io.ReadFull(r, next[len(body):]); err != nil {
			return nil, err
		}
		body = next
	}
	return body, nil
}

// Exchange is one end of a stream of frames, whether the other end is at another
// VM or at this one.
type Exchange struct {
	SendFunc    func(Frame) error
	ReceiveFunc func() (Frame, error)
	// CloseFunc ends the stream at once; the other end gets an error. Frames that were
	// sent just before may be lost.
	CloseFunc func()
	// ReleaseFunc makes the stream available to another transaction after this
	// one has ended; when it is nil, Release closes the stream.
	ReleaseFunc func()
	// ReceiveTimeoutFunc sets the deadline of every later Receive, in milliseconds
	// from now, up to Release. After a timeout the stream must be closed. It is nil for
	// streams without receive timeouts.
	ReceiveTimeoutFunc func(timeout clock.Millis)
	// SilenceTimeoutFunc bounds the time without a byte in every later Receive, in
	// milliseconds, however long the whole frame takes. The stream must be closed
	// afterwards, not released. It is nil for streams without it.
	SilenceTimeoutFunc func(timeout clock.Millis)
	// Memory is the owner of the bytes that arrive on a stream that another VM opened.
	Memory *memory.Owner
	// MemoryFunc sets the owner of the bytes that later calls of Receive return, for a stream that
	// this VM opened; a nil owner is granted everything. MemoryFunc is nil for streams within the
	// VM.
	MemoryFunc func(m *memory.Owner)
}

// WithObserver returns an exchange that also calls sent and received with the size in bytes of each
// frame.
func (x Exchange) WithObserver(sent, received func(bytes int)) Exchange {
	send, receive := x.SendFunc, x.ReceiveFunc
	x.SendFunc = func(f Frame) error {
		f = f.withBody()
		sent(headerSize + len(f.Body))
		return send(f)
	}
	x.ReceiveFunc = func() (Frame, error) {
		f, err := receive()
		if err == nil {
			received(headerSize + len(f.Body))
		}
		return f, err
	}
	return x
}

// Send sends one frame.
func (x Exchange) Send(f Frame) error { return x.SendFunc(f) }

// Receive waits for one frame.
func (x Exchange) Receive() (Frame, error) { return x.ReceiveFunc() }

// Close ends the stream at once.
func (x Exchange) Close() { x.CloseFunc() }

// Release ends the use of the stream after an End with Reusable set. Nothing may
// be sent afterwards; a later Close has no effect.
func (x Exchange) Release() {
	if x.ReleaseFunc == nil {
		x.CloseFunc()
		return
	}
	x.ReleaseFunc()
}
