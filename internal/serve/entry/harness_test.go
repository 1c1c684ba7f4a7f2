package entry

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/caller"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/pgwire"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

const testTimeout = 10 * time.Second

// testEntry is an entry proxy with a fake holder, whose answers depend on words
// in the statements.
type testEntry struct {
	entry   *Entry
	address string

	mu sync.Mutex
	// records holds the message types of each batch, and the words passed to
	// record, in order.
	records []string
	// floors are the floors of the transactions, in order.
	floors []string
	// openExchanges counts the exchanges that have not ended.
	openExchanges int
}

// parseDocument returns a configuration whose account counter has the given keys,
// as the items of a YAML list.
func parseDocument(t testing.TB, keys string) *document.Document {
	t.Helper()
	d, err := document.Parse(1, map[string]string{
		document.SectionDatabases: databasesSection(),
		document.SectionAccounts:  "accounts:\n  - {name: counter, rate: 10, burst: 10, weight: 1, keys: [" + keys + "]}\n",
		document.SectionRoutes:    "routes:\n  - {name: box, database: orders, kind: write}\n  - {name: list, database: orders, kind: read, open: true}\n  - {name: wide, database: orders, kind: write, open: true}\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func databasesSection() string {
	text := "databases:\n  - name: orders\n    servers:\n"
	for i, name := range []string{"orders-1", "orders-2", "orders-3"} {
		text += "      - {name: " + name + ", address: \"127.0.0.1:" + strconv.Itoa(i+1) + "\", zone: a, region: r, slots: 1, connections: 2}\n"
	}
	return text
}

// newTestEntry starts an entry proxy that runs until the test ends. configure, if
// not nil, changes its options. A violation of an invariant fails the test.
func newTestEntry(t testing.TB, configure func(*Options)) *testEntry {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testEntry{address: l.Addr().String()}
	d := parseDocument(t, "")
	o := Options{
		VM: member.VM{Name: "vm1", Zone: "a", Region: "r"}, Clock: clock.System(), MaxCallers: 2000, IdleTimeout: 60 * clock.Second,
		Limits:       caller.Limits{MaxMessage: 1 << 20, StartupTimeout: 10 * clock.Second, WriteTimeout: 10 * clock.Second},
		DocumentFunc: func() *document.Document { return d },
		OpenFunc:     b.open,
		CancelFunc:   func(context.Context, uint32, []byte) {},
		FloorFunc: func(context.Context, document.Server, string, string) (floor.ReplicationPosition, error) {
			return floor.ReplicationPosition{}, nil
		},
	}
	if configure != nil {
		configure(&o)
	}
	b.entry = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	go b.entry.Run(ctx, l)
	t.Cleanup(func() {
		cancel()
		<-b.entry.Done()
	})
	return b
}

func (b *testEntry) open(context.Context, document.Server, string, int) (inner.Exchange, error) {
	entryEnd, holderEnd := inner.Pipe()
	b.addExchanges(1)
	go func() {
		defer b.addExchanges(-1)
		b.serveHolder(holderEnd)
	}()
	return entryEnd, nil
}

// serveHolder answers batches as a holder would, depending on words in the
// statements: for example, FAIL is answered with an error, HOLD after the record
// "release", and LOSE with the end of the stream. The n-th record is position 1/n.
func (b *testEntry) serveHolder(x inner.Exchange) {
	defer x.Close()
	inBlock, sql := false, ""
	for {
		f, err := x.Receive()
		if err != nil {
			return
		}
		var begin inner.Begin
		if f.Kind == inner.KindBegin && inner.Decode(f, &begin) == nil {
			b.mu.Lock()
			b.floors = append(b.floors, begin.Floor.String())
			b.mu.Unlock()
		}
		var batch inner.Batch
		if f.Kind != inner.KindBatch || inner.Decode(f, &batch) != nil {
			continue
		}
		out, kinds := []byte(nil), ""
		status, failed := byte(0), false
		for m, rest := pgwire.SplitMessage(batch.Raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
			kinds += string(m.Type())
			if failed && m.Type() != 'S' {
				continue
			}
			if m.Type() == 'P' || m.Type() == 'Q' {
				sql = string(m.Body())
			}
			switch m.Type() {
			case 'P':
				out = encode(out, &pgproto3.ParseComplete{})
			case 'B':
				out = encode(out, &pgproto3.BindComplete{})
			case 'C':
				out = encode(out, &pgproto3.CloseComplete{})
			case 'D':
				out = encode(encode(out, &pgproto3.ParameterDescription{}), &pgproto3.NoData{})
			case 'E', 'Q':
				switch {
				case strings.Contains(sql, "BEGIN"):
					inBlock, out = true, append(out, caller.CommandComplete("BEGIN")...)
				case strings.Contains(sql, "COMMIT"):
					inBlock, out = false, append(out, caller.CommandComplete("COMMIT")...)
				case strings.Contains(sql, "FAIL"):
					failed, out = true, append(out, caller.ErrorResponse("ERROR", "42601", "failed")...)
				case strings.Contains(sql, "NOTICE"):
					out = append(encode(out, &pgproto3.NoticeResponse{Code: "00000"}), caller.CommandComplete("SELECT 1")...)
				case strings.Contains(sql, "LARGE"):
					for range 64 {
						if x.Send(inner.Frame{Kind: inner.KindData, Body: appendMessage(nil, 'D', make([]byte, 1<<20), nil)}) != nil {
							return
						}
					}
				case strings.Contains(sql, "HOLD"):
					b.record("hold")
					b.waitForRecord("release")
					out = append(out, caller.CommandComplete("SELECT 1")...)
				case strings.Contains(sql, "LOSE"):
					b.record(kinds + messageTypes(rest))
					return
				default:
					out = append(out, caller.CommandComplete("SELECT 1")...)
				}
			}
			if m.Type() == 'S' || m.Type() == 'Q' {
				status = 'I'
				if inBlock {
					status = 'T'
				}
				out = append(out, caller.ReadyForQuery(status)...)
			}
		}
		position := floor.ReplicationPosition{Term: 1, Position: floor.Position(b.record(kinds))}
		if x.Send(inner.Encode(inner.KindEnd, inner.End{Status: status, Position: position, Raw: out})) != nil {
			return
		}
	}
}

// waitForRecord blocks until the word has been recorded. It returns all the same
// after testTimeout.
func (b *testEntry) waitForRecord(word string) {
	for begin := time.Now(); time.Since(begin) < testTimeout; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		found := slices.Contains(b.records, word)
		b.mu.Unlock()
		if found {
			return
		}
	}
}

func (b *testEntry) addExchanges(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.openExchanges += n
}

func (b *testEntry) openCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openExchanges
}

// waitUntil polls until ok returns true, and fails the test after testTimeout.
func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > testTimeout {
			t.Fatalf("not reached in %s: %s", testTimeout, what)
		}
	}
}

func messageTypes(raw []byte) string {
	kinds := ""
	for m, rest := pgwire.SplitMessage(raw); m != nil; m, rest = pgwire.SplitMessage(rest) {
		kinds += string(m.Type())
	}
	return kinds
}

// record appends the message types of a batch, or a word, and returns the
// number of records.
func (b *testEntry) record(kinds string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, kinds)
	return len(b.records)
}

// dial connects as the anonymous user and reads up to the first ReadyForQuery.
func (b *testEntry) dial(t testing.TB) (net.Conn, *pgproto3.Frontend) {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "nobody", "database": "orders", "sycamoredoor.route": "list",
	}})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ready := m.(*pgproto3.ReadyForQuery); ready {
			return c, f
		}
	}
}
