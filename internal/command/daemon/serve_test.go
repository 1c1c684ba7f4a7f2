package daemon

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/command/control"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/vm"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/reload"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/settings"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/stand"
)

// firstPort is the first port of the test's VM. It lies above the ports that the tests of
// package processes use and below the ephemeral ports of the operating system. It depends
// on the process ID, so that concurrent runs rarely share ports.
var firstPort = 26010 + 10*(os.Getpid()%600)

// startTLS starts a VM with TLS for callers and operators. It returns the VM, the watcher
// of its certificates, the folder that holds them and the stand-ins. The watcher reloads
// only when the test calls it.
func startTLS(t *testing.T) (v *vm.VM, w *reload.Watcher, folder string, s *stand.Environment) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	s, err := stand.Start(ctx, stand.Options{Folder: t.TempDir(), FirstPort: firstPort, VMs: 1})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	file := s.VMs[0].SettingsFile
	folder = filepath.Dir(file)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	tlsSettings := fmt.Sprintf("{certificate: {file: %q}, key: {file: %q}}", filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem"))
	text = fmt.Appendf(text, "callers: %s\noperators: %s\n", tlsSettings, tlsSettings)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := settings.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	k, logger := newTLSKeys(o), log.New(io.Discard)
	if w, err = reload.New(k.fileSets, logger); err != nil {
		t.Fatal(err)
	}
	if v, err = vm.Start(ctx, vmOptions(o, k, logger)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-v.Done()
		if err := s.System.Wait(10 * time.Second); err != nil {
			t.Error(err)
		}
	})
	return v, w, folder, s
}

// serialNumber connects as a caller and returns the serial number of the VM's
// certificate.
func serialNumber(t *testing.T, s *stand.Environment, folder string) string {
	t.Helper()
	dsn := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=verify-full&sslrootcert=%s", stand.Account, stand.Key, s.VMs[0].CallerAddress, stand.Database, filepath.Join(folder, "authority.pem"))
	c, err := pgx.ParseConfig(dsn)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := pgx.ConnectConfig(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(context.Background()) //nolint:errcheck // the test is over
	return conn.PgConn().Conn().(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
}

// TestTLS connects a caller and an operator to a VM with TLS and verifies its
// certificate. Replaced certificate files must take effect at a reload and not before.
func TestTLS(t *testing.T) {
	v, w, folder, s := startTLS(t)
	for stopwatch := clock.System(); !v.Membership().CanAct() && stopwatch.Now() < 10*clock.Second; {
		// The environment keeps only VMs that answer without TLS on the platform's list, so
		// the test adds this one itself.
		s.System.Platform.SetVM(v.Self())
		_ = stopwatch.Sleep(t.Context(), 10)
	}
	serialBefore := serialNumber(t, s, folder)
	var out, errOut bytes.Buffer
	code := control.Main([]string{"--address", v.OperatorURL(), "--authority", filepath.Join(folder, "authority.pem"), "--tokenfile", s.TokenFile, "section", "get", "routes"}, &out, &errOut)
	if code != 0 || out.Len() == 0 {
		t.Errorf("operator over TLS: code %d, %s", code, errOut.String())
	}
	m, err := s.System.IssueKeys("vm1")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"certificate.pem": m.Certificate, "key.pem": m.Key} {
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(serialBefore, serialNumber(t, s, folder)); diff != "" {
		t.Errorf("certificate changed before the reload (-want +got):\n%s", diff)
	}
	w.Reload()
	if serialNumber(t, s, folder) == serialBefore {
		t.Error("the reload did not put the new certificate in force")
	}
}
