package holder

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
)

// testTimeout bounds the wait for what a test expects.
const testTimeout = 20 * time.Second

// scriptedServer is a backend server with scripted answers. An answer is
// written as the type of a message and its text, such as "C SELECT 1" or "E
// 57P01 text"; F is a fatal error and X closes the connection.
type scriptedServer struct {
	answers map[string][]string
	// holdQuery is a query whose answer is delayed until the next query has
	// arrived.
	holdQuery string

	mu          sync.Mutex
	queries     []string
	connections int
}

// serve accepts connections until the test ends and returns the address.
func (s *scriptedServer) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go s.serveConnection(c)
		}
	}()
	return l.Addr().String()
}

func (s *scriptedServer) serveConnection(c net.Conn) {
	defer c.Close() //nolint:errcheck // the peer may be gone
	w := pgproto3.NewBackend(c, c)
	if _, err := w.ReceiveStartupMessage(); err != nil {
		return
	}
	s.mu.Lock()
	s.connections++
	s.mu.Unlock()
	w.Send(&pgproto3.AuthenticationOk{})
	w.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	w.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for w.Flush() == nil {
		m, err := w.Receive()
		if err != nil {
			return
		}
		if q, ok := m.(*pgproto3.Query); ok && !s.handleQuery(w, q.String) {
			_ = w.Flush()
			return
		}
	}
}

// handleQuery records a query, unless it is one of the control connection, and
// answers it. It returns false when the connection must be closed.
func (s *scriptedServer) handleQuery(w *pgproto3.Backend, sql string) bool {
	control := strings.Contains(sql, "try_advisory") || sql == backend.StateQuery
	if !control {
		s.mu.Lock()
		s.queries = append(s.queries, sql)
		s.mu.Unlock()
	}
	if sql == s.holdQuery {
		m, err := w.Receive()
		if q, ok := m.(*pgproto3.Query); err != nil || !ok || !s.answerHeld(w, sql, q.String) {
			return false
		}
		return true
	}
	return s.answer(w, sql)
}

// answerHeld answers the first query, whose answer was delayed, and then handles
// the second.
func (s *scriptedServer) answerHeld(w *pgproto3.Backend, first, second string) bool {
	return s.answer(w, first) && s.handleQuery(w, second)
}

// answer sends the scripted or the default answer to a query. It returns false
// when the connection must be closed.
func (s *scriptedServer) answer(w *pgproto3.Backend, sql string) bool {
	answers, ok := s.answers[sql]
	switch {
	case ok:
	case strings.Contains(sql, "try_advisory"):
		answers = []string{"D t", "C SELECT 1", "Z I"}
	case strings.Contains(sql, backend.StateQuery):
		// The second row is the process ID of the connection that has the lock.
		// Every connection gets process ID 1 at its startup.
		answers = []string{"D 1 primary one 1 5 1 5 0 0", "C SELECT 1", "D 1", "C SELECT 1", "Z I"}
	default:
		answers = []string{"C RESET", "Z I"}
	}
	for _, a := range answers {
		kind, text, _ := strings.Cut(a, " ")
		switch kind {
		case "D":
			w.Send(dataRow(text))
		case "C":
			w.Send(&pgproto3.CommandComplete{CommandTag: []byte(text)})
		case "E", "F":
			code, message, _ := strings.Cut(text, " ")
			w.Send(&pgproto3.ErrorResponse{Severity: map[string]string{"E": "ERROR", "F": "FATAL"}[kind], Code: code, Message: message})
		case "G":
			w.Send(&pgproto3.CopyInResponse{})
		case "H":
			w.Send(&pgproto3.CopyOutResponse{})
		case "Z":
			w.Send(&pgproto3.ReadyForQuery{TxStatus: text[0]})
		case "X":
			return false
		}
	}
	return true
}

func dataRow(text string) *pgproto3.DataRow {
	d := &pgproto3.DataRow{}
	for _, v := range strings.Fields(text) {
		d.Values = append(d.Values, []byte(v))
	}
	return d
}

// describe describes raw messages in the notation of scriptedServer.
func describe(raw []byte) []string {
	var out []string
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		switch m.Type() {
		case 'E':
			e := backend.ParseError(m)
			out = append(out, "E "+e.Code+" "+e.Message)
		case 'C', 'Z':
			out = append(out, fmt.Sprintf("%c %s", m.Type(), strings.TrimRight(string(m.Body()), "\x00")))
		case 'D':
			var d pgproto3.DataRow
			_ = d.Decode(m.Body())
			var values []string
			for _, v := range d.Values {
				values = append(values, string(v))
			}
			out = append(out, "D "+strings.Join(values, " "))
		default:
			out = append(out, string(m.Type()))
		}
	}
	return out
}

// failOnViolation makes the violation of an invariant fail the test.
func failOnViolation(t *testing.T) {
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
}

// startHolderWithLock starts a holder and waits until it has the lock of its
// server.
func startHolderWithLock(t *testing.T, o Options) *Holder {
	t.Helper()
	h, _ := startHolder(t, o)
	await(t, "the holder acquires the lock", func() bool { _, held := h.State(); return held })
	return h
}

// startHolder starts a holder. The returned function stops it and waits for its
// end.
func startHolder(t *testing.T, o Options) (*Holder, func()) {
	t.Helper()
	o.Database, o.User = "orders", "proxy"
	if o.VM == "" {
		o.VM = "a"
	}
	if o.Clock.NowFunc == nil {
		o.Clock = clock.System()
	}
	o.ConfirmFunc = func(context.Context, string, floor.Term) bool { return true }
	ctx, cancel := context.WithCancel(context.Background())
	h := New(o)
	go h.Run(ctx)
	stop := func() {
		cancel()
		<-h.Done()
	}
	t.Cleanup(stop)
	return h, stop
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: timed out", what)
		}
	}
}

// call is an exchange with a holder, seen from the entry proxy.
type call struct {
	exchange inner.Exchange
	done     chan struct{}
}

// startCall begins a transaction at a holder.
func startCall(h *Holder, b inner.Begin) *call {
	entrySide, holderSide := inner.Pipe()
	c := &call{exchange: entrySide, done: make(chan struct{})}
	if b.Timeout == 0 {
		b.Timeout = 20 * clock.Second
	}
	go func() {
		defer close(c.done)
		h.Serve(context.Background(), b, holderSide)
	}()
	return c
}

// run sends one batch and describes its answer. For a batch without an answer it
// returns "refused" and the reason, "unknown" for an unknown outcome, or "lost"
// and the error of the exchange.
func (c *call) run(raw []byte) ([]string, inner.End) {
	if err := c.exchange.Send(inner.Encode(inner.KindBatch, inner.Batch{Raw: raw})); err != nil {
		return []string{"lost " + err.Error()}, inner.End{}
	}
	var all []byte
	for {
		f, err := c.exchange.Receive()
		if err != nil {
			return []string{"lost " + err.Error()}, inner.End{}
		}
		switch f.Kind {
		case inner.KindData:
			all = append(all, f.Body...)
		case inner.KindRefusal:
			var r inner.Refusal
			_ = inner.Decode(f, &r)
			return []string{"refused " + string(r.Reason)}, inner.End{}
		case inner.KindEnd:
			var e inner.End
			_ = inner.Decode(f, &e)
			if e.UnknownOutcome != "" {
				return []string{"unknown"}, e
			}
			return describe(append(all, e.Raw...)), e
		}
	}
}

// runSimple runs one statement in a transaction of its own.
func runSimple(h *Holder, b inner.Begin, sql string) []string {
	c := startCall(h, b)
	out, _ := c.run(backend.QueryMessage(sql))
	<-c.done
	return out
}

// queriesTimeout bounds the wait for the last query of a script.
const queriesTimeout = 10 * time.Second

// awaitQueries waits until the server has read count queries, at most for
// queriesTimeout. A reset that was sent with the batch may be read after the
// caller has received the answer.
func (s *scriptedServer) awaitQueries(count int) {
	for end := time.Now().Add(queriesTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		seen := len(s.queries)
		s.mu.Unlock()
		if seen >= count {
			return
		}
	}
}
