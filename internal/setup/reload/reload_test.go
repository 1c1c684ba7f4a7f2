package reload

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
)

// fixture is a certificate file and a key file with a watcher for them.
type fixture struct {
	t           *testing.T
	certificate settings.Source
	key         settings.Source
	authority   *keys.Authority
	pair        *keys.Pair
	watcher     *Watcher
	log         bytes.Buffer
	// lastModified is the modification time of the last write, counted from an arbitrary
	// time.
	lastModified time.Duration
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t}
	folder := t.TempDir()
	f.certificate.File, f.key.File = filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem")
	var err error
	if f.authority, err = keys.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	f.issue("first")
	f.pair = &keys.Pair{}
	fileSet := FileSet{Name: "callers", Files: settings.Files(f.certificate, f.key), LoadFunc: f.load}
	if f.watcher, err = New([]FileSet{fileSet}, log.New(&f.log)); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) load() error {
	c, k, err := settings.LoadKeyPair(f.certificate, f.key)
	if err != nil {
		return err
	}
	return f.pair.Load(c, k)
}

// issue writes a new certificate and key for name.
func (f *fixture) issue(name string) {
	f.t.Helper()
	m, err := f.authority.Issue(name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(f.certificate.File, m.Certificate)
	f.write(f.key.File, m.Key)
}

// issueWithPollBetween writes a new certificate and key for name, with a poll after the
// certificate and before its key.
func (f *fixture) issueWithPollBetween(name string) {
	f.t.Helper()
	m, err := f.authority.Issue(name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(f.certificate.File, m.Certificate)
	f.watcher.Poll()
	f.write(f.key.File, m.Key)
}

// write writes a file and gives it a modification time later than that of every
// earlier write, so that each write is seen as a change.
func (f *fixture) write(file string, text []byte) {
	f.t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.lastModified += time.Second
	stamp := time.Unix(1_700_000_000, 0).Add(f.lastModified)
	if err := os.Chtimes(file, stamp, stamp); err != nil {
		f.t.Fatal(err)
	}
}

// servedName returns the common name of the certificate in force.
func (f *fixture) servedName() string {
	f.t.Helper()
	c, err := f.pair.ServerConfig().GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		f.t.Fatal(err)
	}
	return c.Leaf.Subject.CommonName
}

// TestPoll checks which certificate is in force after the files changed to a valid
// pair, to an invalid key, and to a valid pair with a poll between the writes of its two
// files. The failure at the invalid key must be logged once, not at each poll.
func TestPoll(t *testing.T) {
	f := newFixture(t)
	f.watcher.Poll()
	if f.log.Len() > 0 {
		t.Errorf("log line without a change of the files: %s", f.log.String())
	}
	f.issue("second")
	f.watcher.Poll()
	if diff := cmp.Diff("second", f.servedName()); diff != "" {
		t.Errorf("after a change (-want +got):\n%s", diff)
	}
	f.write(f.key.File, []byte("no key"))
	for range 3 {
		f.watcher.Poll()
	}
	if diff := cmp.Diff("second", f.servedName()); diff != "" {
		t.Errorf("after the key became invalid (-want +got):\n%s", diff)
	}
	if n := strings.Count(f.log.String(), "reload failed"); n != 1 {
		t.Errorf("want one log line for the failure, got %d:\n%s", n, f.log.String())
	}
	f.issueWithPollBetween("third")
	f.watcher.Poll()
	if diff := cmp.Diff("third", f.servedName()); diff != "" {
		t.Errorf("after a valid pair was written again (-want +got):\n%s", diff)
	}
}

// TestSignal checks that a signal reloads the files without waiting for a poll, and
// that the watcher ends with its context.
func TestSignal(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal)
	go f.watcher.Run(ctx, signals, clock.System())
	f.issue("second")
	signals <- syscall.SIGHUP
	cancel()
	<-f.watcher.Done()
	if diff := cmp.Diff("second", f.servedName()); diff != "" {
		t.Errorf("after the signal (-want +got):\n%s", diff)
	}
}
