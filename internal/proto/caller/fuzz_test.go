package caller

import (
	"io"
	"net"
	"testing"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
)

const testSalt = "0123456789abcdef"

// runCaller calls f with a connection on which a caller sends raw, discards the answers
// and closes.
func runCaller(t *testing.T, raw []byte, f func(*Conn) error) error {
	t.Helper()
	callerSide, proxySide := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer callerSide.Close() //nolint:errcheck // the other side may have closed
		go func() { _, _ = io.Copy(io.Discard, callerSide) }()
		_, _ = callerSide.Write(raw)
	}()
	err := f(NewConn(proxySide, Limits{MaxMessage: 1 << 16, StartupTimeout: 10 * clock.Second, WriteTimeout: 10 * clock.Second}))
	_ = proxySide.Close()
	<-done
	return err
}

// FuzzStartup checks that arbitrary first bytes of a caller cause no panic and no
// unexpected kind of error.
func FuzzStartup(f *testing.F) {
	// The seeds are an SSLRequest before a startup message, a CancelRequest with its key,
	// one without, and HTTP.
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f\x00\x00\x00\x15\x00\x03\x00\x00user\x00nobody\x00\x00"))
	f.Add([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x02"))
	f.Add([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2e"))
	f.Add([]byte("GET / HTTP/1.1\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		err := runCaller(t, raw, func(c *Conn) error {
			_, err := c.Startup(nil)
			return err
		})
		checkErrorKind(t, err)
	})
}

// checkErrorKind checks that an error, if any, is a refusal for the caller, ErrCancel
// or the end of its connection.
func checkErrorKind(t *testing.T, err error) {
	t.Helper()
	var refusal *outcome.NotRun
	switch {
	case err == nil, errors.As(err, &refusal), errors.Is(err, ErrCancel):
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe):
	default:
		t.Errorf("unexpected kind of error: %v", err)
	}
}

// FuzzAuthenticate checks that a caller without the key is not authenticated, whether
// or not the account exists.
func FuzzAuthenticate(f *testing.F) {
	knownVerifier, err := verifier.New("jelly", []byte(testSalt))
	if err != nil {
		f.Fatal(err)
	}
	clientFirst := "p\x00\x00\x00\x37SCRAM-SHA-256\x00\x00\x00\x00\x21n,,n=,r=0123456789abcdefghijklmnop"
	f.Add([]byte(clientFirst), true)
	f.Add([]byte(clientFirst+"p\x00\x00\x00\x20c=biws,r=0123456789abcdefghi,p=AA=="), true)
	f.Add([]byte("p\x00\x00\x00\x08jelly"), false)
	f.Add([]byte("Q\x00\x00\x00\x04"), false)
	f.Fuzz(func(t *testing.T, raw []byte, accountExists bool) {
		storedVerifier := ""
		if accountExists {
			storedVerifier = knownVerifier
		}
		err := runCaller(t, raw, func(c *Conn) error { return c.Authenticate("counter", storedVerifier) })
		if err == nil {
			t.Error("a caller without the key was authenticated")
		}
	})
}
