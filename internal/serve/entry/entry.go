// Package entry serves callers: it authenticates them, resolves the route of
// each request, and runs it through the holder of a backend server.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/trace"
	"github.com/sycamoredoor/sycamoredoor/internal/core/budget"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/core/route"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// Options configures an Entry.
type Options struct {
	VM     member.VM
	Clock  clock.Clock
	Limits caller.Limits
	// MaxCallers is the largest number of callers, at most 65536, since a VM has
	// that many process IDs.
	MaxCallers int
	// IdleTimeout is how long a caller may stay silent within a message, an
	// unfinished batch or an open transaction before it is disconnected, in
	// milliseconds.
	IdleTimeout clock.Millis
	// Trace records spans; nil records none.
	Trace *trace.Tracer
	// TLS is nil when callers connect without TLS.
	TLS *tls.Config
	// DocumentFunc returns the configuration that the VM may act on now, or nil
	// while none is confirmed.
	DocumentFunc func() *document.Document
	// OpenFunc opens an exchange with the holder of a backend server on behalf of
	// a client account of the given weight. An error means that nothing was sent.
	OpenFunc func(ctx context.Context, s document.Server, account string, weight int) (inner.Exchange, error)
	// RecordFloorFunc has the primary's holder record the floor of a named
	// session, the lowest position that its reads may see. It is called after a
	// write whose own holder lost the server before it could record the floor.
	RecordFloorFunc func(ctx context.Context, primary document.Server, database, session string, position floor.ReplicationPosition) error
	// FloorFunc returns the floor of a named session from the primary's holder.
	FloorFunc func(ctx context.Context, primary document.Server, database, session string) (floor.ReplicationPosition, error)
	// FloorsFunc returns the floors of several sessions, in the order of the
	// sessions; when it is nil, FloorFunc is called for each.
	FloorsFunc func(ctx context.Context, primary document.Server, database string, sessions []string) ([]floor.ReplicationPosition, error)
	// LimitFunc is called once for each batch that runs statements on a server,
	// before the batch takes a slot there. A batch that only ends the open
	// transaction is exempt. The error is a refusal; a nil LimitFunc sets no limits.
	LimitFunc func(ctx context.Context, account string) error
	// CancelFunc forwards a cancel request to the VM that serves the caller with
	// this process ID.
	CancelFunc func(ctx context.Context, process uint32, secret []byte)
}

// Entry serves the callers of one VM.
type Entry struct {
	options       Options
	serverCache   *serverCache
	counters      *counters
	floorBatcher  *floorBatcher
	sessionFloors *sessionFloors
	// batchMemory is the size of all callers' counted batches in bytes.
	batchMemory      atomic.Int64
	batchMemoryLimit int64
	done             chan struct{}

	mu       sync.Mutex
	sessions map[uint32]*session
	// connections counts callers and connections that are still in their
	// startup.
	connections int
	draining    bool
	listener    net.Listener
	// lastNumber is the lower half of the last process ID given to a session.
	lastNumber uint16
	// budget limits the immediate retries of all requests.
	budget       budget.Budget
	requestCount atomic.Uint64
}

// New returns an entry proxy that serves once Run is called.
func New(o Options) *Entry {
	return &Entry{
		options: o, serverCache: newServerCache(), counters: newCounters(o.VM.Name),
		floorBatcher: newFloorBatcher(o), sessionFloors: newSessionFloors(maxSessionFloors), batchMemoryLimit: maxBatchMemory,
		sessions: map[uint32]*session{}, done: make(chan struct{}), budget: newBudget(),
	}
}

// CountHop counts an attempt whose holder is on another VM.
func (e *Entry) CountHop() { e.counters.hops.Inc() }

// Done is closed once Run has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Run accepts callers until the context ends or Drain is called, and returns once
// all connections have ended.
func (e *Entry) Run(ctx context.Context, l net.Listener) {
	defer close(e.done)
	e.setListener(l)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = e.options.Clock.Sleep(ctx, acceptPause)
			continue
		}
		if !e.acquireConnection() {
			e.counters.countRefused(outcome.ReasonQueueFull)
			_ = c.Close()
			continue
		}
		running.Add(1)
		go func() {
			defer running.Done()
			defer e.releaseConnection()
			e.serve(ctx, c)
		}()
	}
}

// startupReserve is the number of connections beyond MaxCallers that may be in
// their startup, so that a full VM still accepts cancel requests and can report
// why it refuses a caller.
const startupReserve = 128

// acquireConnection counts a connection and reports whether the VM accepts it.
func (e *Entry) acquireConnection() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.connections >= e.options.MaxCallers+startupReserve {
		return false
	}
	e.connections++
	return true
}

func (e *Entry) releaseConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connections--
}

// secretSize is the length of the secret of a cancel request in bytes.
const secretSize = 4

// acceptPause is the pause after a failed accept in milliseconds.
const acceptPause = 10

func (e *Entry) serve(ctx context.Context, raw net.Conn) {
	c := caller.NewConn(raw, e.options.Limits)
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	s, err := e.startSession(ctx, c)
	if errors.Is(err, caller.ErrCancel) {
		e.options.CancelFunc(ctx, c.Cancel.ProcessID, c.Cancel.SecretKey)
		return
	}
	var refusal *outcome.NotRun
	if errors.As(err, &refusal) {
		e.counters.countRefused(refusal.Reason)
		_ = c.Write(caller.ErrorResponse("FATAL", refusal.Code, "%s", refusal.Detail))
		return
	}
	if err != nil {
		return
	}
	defer e.removeSession(s)
	s.run(ctx)
}

// startSession serves a connection from its first byte to the first
// ReadyForQuery. It returns caller.ErrCancel for a cancel request, and an
// *outcome.NotRun for the caller when it refuses the session; after any other error
// the caller gets nothing.
func (e *Entry) startSession(ctx context.Context, c *caller.Conn) (*session, error) {
	parameters, err := c.Startup(e.options.TLS)
	if err != nil {
		return nil, err
	}
	d, err := e.document(ctx)
	if err != nil {
		return nil, err
	}
	s := &session{entry: e, conn: c, database: parameters["database"]}
	if s.database == "" {
		s.database = parameters["user"]
	}
	if _, ok := d.Database(s.database); !ok {
		return nil, outcome.Refuse(outcome.ReasonInvalidRequest, codeUnknownDatabase, "unknown database %q", s.database)
	}
	if err := e.authenticate(c, d, s, parameters["user"]); err != nil {
		return nil, err
	}
	for name, v := range parameters {
		if err := s.startupHint(name, v); err != nil {
			return nil, err
		}
	}
	if err := e.addSession(s); err != nil {
		return nil, err
	}
	if err := c.CompleteStartup(startupParameters, s.processID, s.secret); err != nil {
		e.removeSession(s)
		return nil, err
	}
	return s, ctx.Err()
}

const (
	// codeCannotConnect is cannot_connect_now.
	codeCannotConnect = "57P03"
	// codeUnknownDatabase is invalid_catalog_name.
	codeUnknownDatabase = "3D000"
)

// startupParameters are the names and values of the server parameters that
// every caller gets at startup.
var startupParameters = [][2]string{
	{"server_version", "16.0"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

// authenticate checks the caller's key and sets the account and key of the
// session. Without a key ID in the user name the account's first key is used. An
// unknown account or key leaves the verifier empty, with which Authenticate
// refuses.
func (e *Entry) authenticate(c *caller.Conn, d *document.Document, s *session, user string) error {
	s.account = user
	if user == route.AnonymousUser {
		return nil
	}
	name, id := splitUser(user)
	account, _ := d.Account(name)
	verifier := ""
	for _, k := range account.Keys {
		if id == "" || id == k.ID {
			verifier, id = k.Verifier, k.ID
			break
		}
	}
	if err := c.Authenticate(name, verifier); err != nil {
		return err
	}
	s.account, s.key = name, id
	return nil
}

// addSession registers the session and gives it a secret and a process ID, whose
// upper half identifies the VM. It refuses while the VM drains or is full.
func (e *Entry) addSession(s *session) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return refuseShutdown()
	}
	if len(e.sessions) >= e.options.MaxCallers {
		return outcome.Refuse(outcome.ReasonQueueFull, outcome.CodeTooManyConnections, "the VM serves %d callers already", len(e.sessions))
	}
	for {
		e.lastNumber++
		s.processID = ProcessID(e.options.VM.Name, e.lastNumber)
		if e.sessions[s.processID] == nil {
			break
		}
	}
	s.secret = make([]byte, secretSize)
	_, _ = rand.Read(s.secret)
	e.sessions[s.processID] = s
	e.counters.callers.Set(float64(len(e.sessions)))
	return nil
}

func (e *Entry) removeSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.processID)
	e.counters.callers.Set(float64(len(e.sessions)))
}

// ProcessID returns the process ID of a caller's connection, made from its VM's
// name and a number that is unique on the VM.
func ProcessID(vm string, number uint16) uint32 {
	return uint32(VMTag(vm))<<16 | uint32(number)
}

// VMTag returns the upper half of the process IDs of a VM's callers.
func VMTag(vm string) uint16 { return uint16(xxhash.Sum64String(vm)) }

// Cancel cancels the running statement of a caller of this VM, if the secret is
// right.
func (e *Entry) Cancel(process uint32, secret []byte) {
	e.mu.Lock()
	s := e.sessions[process]
	e.mu.Unlock()
	if s == nil || len(secret) != secretSize || binary.BigEndian.Uint32(secret) != binary.BigEndian.Uint32(s.secret) {
		return
	}
	s.cancel()
}

// splitUser splits the user name of a startup message, account or account/key,
// into the client account and the ID of the key.
func splitUser(user string) (account, key string) {
	account, key, _ = strings.Cut(user, "/")
	return account, key
}
