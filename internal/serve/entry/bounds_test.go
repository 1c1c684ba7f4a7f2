package entry

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

type startupScript struct {
	Name       string            `yaml:"name"`
	Raw        string            `yaml:"raw"`
	Parameters map[string]string `yaml:"parameters"`
	Want       []string          `yaml:"want"`
}

// TestStartupRefused plays startup messages that must be refused with an error
// for the caller.
func TestStartupRefused(t *testing.T) {
	var scripts []startupScript
	scripted.Read(t, "testdata/startup.yaml", &scripts)
	b := newTestEntry(t, nil)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			raw := latin1(p.Raw)
			if p.Parameters != nil {
				raw, _ = (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: p.Parameters}).Encode(nil)
			}
			sendAndExpect(t, b.dialRaw(t), raw, p.Want)
		})
	}
	t.Run("SSLRequest sent twice", func(t *testing.T) {
		c := b.dialRaw(t)
		request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
		if _, err := c.Write(request); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		sendAndExpect(t, c, request, []string{"E 08P01", "end"})
	})
}

// latin1 converts each code point of a YAML text to the byte of that value.
func latin1(s string) []byte {
	out := make([]byte, 0, len(s))
	for _, r := range s {
		out = append(out, byte(r))
	}
	return out
}

func (b *testEntry) dialRaw(t testing.TB) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// sendAndExpect sends messages and compares the answers in the short form of
// receive.
func sendAndExpect(t *testing.T, c net.Conn, raw []byte, want []string) {
	t.Helper()
	if _, err := c.Write(raw); err != nil {
		t.Fatal(err)
	}
	f := pgproto3.NewFrontend(c, c)
	var got []string
	for range want {
		got = append(got, receive(t, f))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestIdleTimeouts checks that a caller who stays silent within a message, a
// batch, a transaction or the startup is disconnected, as is one who sends a
// message of impossible size. Otherwise others would wait for what such a caller
// holds.
func TestIdleTimeouts(t *testing.T) {
	b := newTestEntry(t, func(o *Options) { o.IdleTimeout, o.Limits.StartupTimeout = 100, 100 })
	for name, p := range map[string]struct {
		raw  []byte
		want []string
	}{
		"within a message":     {[]byte("Q\x00\x00\x00\x20SEL"), []string{"E 57P05", "end"}},
		"before the Sync":      {messageOf(t, "P - SELECT 1"), []string{"E 57P05", "end"}},
		"within a transaction": {messageOf(t, "Q BEGIN"), []string{"C BEGIN", "Z T", "E 25P03", "end"}},
		"a message too large":  {[]byte("Q\x7f\x00\x00\x20"), []string{"E 08P01", "end"}},
		"an impossible length": {[]byte("Q\x00\x00\x00\x01"), []string{"E 08P01", "end"}},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := b.dial(t)
			sendAndExpect(t, c, p.raw, p.want)
		})
	}
	t.Run("at startup", func(t *testing.T) { sendAndExpect(t, b.dialRaw(t), []byte{0}, []string{"end"}) })
	waitUntil(t, "every exchange is closed", func() bool { return b.openCount() == 0 })
}

// TestUnreadAnswer checks that a caller who does not read its answer is
// disconnected.
func TestUnreadAnswer(t *testing.T) {
	b := newTestEntry(t, func(o *Options) { o.Limits.WriteTimeout = 100 })
	c, _ := b.dial(t)
	if _, err := c.Write(messageOf(t, "Q LARGE")); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the caller is gone", func() bool { return len(b.entry.sessionList()) == 0 })
	waitUntil(t, "the exchange is closed", func() bool { return b.openCount() == 0 })
}

// TestMaxCallers checks that a caller over the bound is refused, and that the
// next is accepted after another has left.
func TestMaxCallers(t *testing.T) {
	b := newTestEntry(t, func(o *Options) { o.MaxCallers = 1 })
	first, _ := b.dial(t)
	raw, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "nobody", "database": "orders"}}).Encode(nil)
	sendAndExpect(t, b.dialRaw(t), raw, []string{"E 53300", "end"})
	_ = first.Close()
	waitUntil(t, "the first caller is gone", func() bool { return len(b.entry.sessionList()) == 0 })
	b.dial(t)
}

// TestPreparedStatementMemory checks that the memory of a caller's prepared
// statements is bounded.
func TestPreparedStatementMemory(t *testing.T) {
	b := newTestEntry(t, nil)
	c, f := b.dial(t)
	var got string
	for i := range 8 {
		raw := messageOf(t, "P s"+string(rune('a'+i))+" SELECT "+strings.Repeat("1", 900_000))
		if _, err := c.Write(append(raw, messageOf(t, "S")...)); err != nil {
			t.Fatal(err)
		}
		if got = receive(t, f); receive(t, f) != "Z I" {
			t.Fatal("no ReadyForQuery")
		}
	}
	if diff := cmp.Diff("E 53200", got); diff != "" {
		t.Errorf("last statement (-want +got):\n%s", diff)
	}
}

// TestBatchMemory checks that a batch is refused while the batches of other
// callers take the shared memory, and accepted once they are done.
func TestBatchMemory(t *testing.T) {
	b := newTestEntry(t, nil)
	b.entry.batchMemoryLimit = 300_000
	large := messageOf(t, "Q SELECT "+strings.Repeat("1", 200_000))
	first, _ := b.dial(t)
	if _, err := first.Write(messageOf(t, "Q HOLD "+strings.Repeat("1", 200_000))); err != nil {
		t.Fatal(err)
	}
	b.waitForRecord("hold")
	second, _ := b.dial(t)
	sendAndExpect(t, second, large, []string{"E 53200", "end"})
	b.record("release")
	waitUntil(t, "the memory is given back", func() bool { return b.entry.batchMemory.Load() == 0 })
	third, _ := b.dial(t)
	sendAndExpect(t, third, large, []string{"C SELECT 1", "Z I"})
}

// TestIdleCaller checks that an idle caller costs at most limit bytes of heap and
// stack.
func TestIdleCaller(t *testing.T) {
	const callers, limit = 1000, 30 << 10
	b := newTestEntry(t, nil)
	startup, _ := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{
		"user": "nobody", "database": "orders", "sycamoredoor.route": "list",
	}}).Encode(nil)
	query := messageOf(t, "Q SELECT 1")
	before := cost.MemoryInUse()
	for range callers {
		c := b.dialRaw(t)
		readReady(t, c, startup)
		readReady(t, c, query)
	}
	waitUntil(t, "every caller is idle", func() bool { return b.openCount() == 0 })
	each := (cost.MemoryInUse() - before) / callers
	t.Logf("%d bytes of heap and stack for each idle caller", each)
	if each > limit {
		t.Errorf("an idle caller costs %d bytes, over %d", each, limit)
	}
}

// readReady sends a message and reads up to the ReadyForQuery. It leaves no
// buffers behind, which would count as memory of the caller.
func readReady(t *testing.T, c net.Conn, raw []byte) {
	t.Helper()
	if _, err := c.Write(raw); err != nil {
		t.Fatal(err)
	}
	var buf [1024]byte
	for received := ""; !strings.HasSuffix(received, "Z\x00\x00\x00\x05I"); {
		n, err := c.Read(buf[:])
		if err != nil {
			t.Fatal(err)
		}
		received += string(buf[:n])
	}
}
