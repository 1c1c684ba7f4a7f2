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

// fixture is a pair of files that a watcher follows.
type fixture struct {
	t            *testing.T
	certificate  settings.Source
	key          settings.Source
	authority    *keys.Authority
	pair         *keys.Pair
	watcher      *Watcher
	log          bytes.Buffer
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
	part := FileSet{Name: "callers", Files: settings.Files(f.certificate, f.key), LoadFunc: f.load}
	if f.watcher, err = New([]FileSet{part}, log.New(&f.log)); err != nil {
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

// issue writes a new pair for name.
func (f *fixture) issue(name string) {
	f.t.Helper()
	m, err := f.authority.Issue(name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(f.certificate.File, m.Certificate)
	f.write(f.key.File, m.Key)
}

// issueBetweenPolls writes a new pair with a look between the certificate and its key.
func (f *fixture) issueBetweenPolls(name string) {
	f.t.Helper()
	m, err := f.authority.Issue(name)
	if err != nil {
		f.t.Fatal(err)
	}
	f.write(f.certificate.File, m.Certificate)
	f.watcher.Poll()
	f.write(f.key.File, m.Key)
}

// write gives the file a time of its own, so that no two look the same.
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

func (f *fixture) servedName() string {
	f.t.Helper()
	c, err := f.pair.ServerConfig().GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		f.t.Fatal(err)
	}
	return c.Leaf.Subject.CommonName
}

// TestPoll changes the files, well and badly, and looks at what is in force.
func TestPoll(t *testing.T) {
	f := newFixture(t)
	f.watcher.Poll()
	if f.log.Len() > 0 {
		t.Errorf("logged without a change: %s", f.log.String())
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
		t.Errorf("after a bad change (-want +got):\n%s", diff)
	}
	if n := strings.Count(f.log.String(), "reload failed"); n != 1 {
		t.Errorf("want one line for the failure, got %d:\n%s", n, f.log.String())
	}
	f.issueBetweenPolls("third")
	f.watcher.Poll()
	if diff := cmp.Diff("third", f.servedName()); diff != "" {
		t.Errorf("after the repair (-want +got):\n%s", diff)
	}
}

// TestSignal reloads at a signal, without a tick, and ends with the context.
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
