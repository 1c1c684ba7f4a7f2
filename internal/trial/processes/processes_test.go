// Package processes tests VMs that run the built program, each as a process of its own.
package processes

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/configuration"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/stand"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// waitTimeout bounds each wait for the processes.
const waitTimeout = 20 * time.Second

// firstPort is the first of the VMs' ports. It is below the ephemeral ports of the
// operating system, and depends on the process ID so that test runs at the same time
// rarely share ports.
var firstPort = 20000 + 10*(os.Getpid()%600)

const vmCount = 3

// process is one VM that runs as a process.
type process struct {
	stand.VM
	command *exec.Cmd
	output  bytes.Buffer
	exited  chan error
}

// installation is an installation whose VMs are processes.
type installation struct {
	t           *testing.T
	environment *stand.Environment
	processes   []*process
}

// startInstallation builds the program, starts the stand-ins and one process for each
// VM, waits until all are ready and stops everything at the end of the test.
func startInstallation(t *testing.T) *installation {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "sycamoredoor")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/sycamoredoor").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithCancel(context.Background())
	environment, err := stand.Start(ctx, stand.Options{Folder: folder, FirstPort: firstPort, VMs: vmCount})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := environment.System.Wait(system.Timeout.Duration()); err != nil {
			t.Error(err)
		}
	})
	r := &installation{t: t, environment: environment}
	for _, v := range environment.VMs {
		r.startProcess(program, v)
	}
	r.waitUntil("every VM knows the others and each backend server has a holder", func() bool { return r.allReady(vmCount) })
	return r
}

func (r *installation) startProcess(program string, v stand.VM) {
	r.t.Helper()
	p := &process{VM: v, command: exec.Command(program, "serve", "--settings", v.SettingsFile), exited: make(chan error, 1)}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	if err := p.command.Start(); err != nil {
		r.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.exited <- p.command.Wait()
	}()
	r.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-done
		if r.t.Failed() {
			r.t.Logf("%s:\n%s", p.Name, p.output.String())
		}
	})
	r.processes = append(r.processes, p)
}

// waitUntil polls a condition until it holds. It polls because the processes have
// clocks of their own, and a test cannot advance them.
func (r *installation) waitUntil(event string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	r.t.Fatalf("no success within %s: %s", waitTimeout, event)
}

// allReady reports whether exactly n VMs answer, each has a configuration and knows
// exactly n members, and every backend server has a holder among them.
func (r *installation) allReady(n int) bool {
	heldServers, answering := 0, 0
	for _, p := range r.processes {
		s, err := operator.NewClient(operator.Options{BaseURL: p.OperatorURL, Timeout: 2000}).Status(r.t.Context())
		if err != nil {
			continue
		}
		answering++
		if s.Version == 0 || len(s.Members) != n {
			return false
		}
		for _, h := range s.Holdings {
			if h.Held {
				heldServers++
			}
		}
	}
	return answering == n && heldServers >= len(r.environment.System.Groups[stand.Database].Servers())
}

func (r *installation) connect(i int, session string) *pgx.Conn {
	r.t.Helper()
	conn, err := r.tryConnect(i, session)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (r *installation) tryConnect(i int, session string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(r.processes[i].DSN())
	if err != nil {
		return nil, err
	}
	config.RuntimeParams["sycamoredoor.session"] = session
	ctx, cancel := context.WithTimeout(r.t.Context(), waitTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

const (
	writeBox = "INSERT INTO box (id, v) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = EXCLUDED.v /*route='box'*/"
	readBox  = "SELECT v FROM box WHERE id = $1 /*route='list'*/"
)

// checkReadYourWrites writes through one VM and reads through another, in one named
// session. Each read must return the value written before it.
func (r *installation) checkReadYourWrites(writer, reader int, id string, rounds int) {
	r.t.Helper()
	session := "member-" + id
	a, b := r.connect(writer, session), r.connect(reader, session)
	for n := range rounds {
		want, got := strconv.Itoa(n), ""
		if _, err := a.Exec(r.t.Context(), writeBox, id, want); err != nil {
			r.t.Fatal(err)
		}
		if err := b.QueryRow(r.t.Context(), readBox, id).Scan(&got); err != nil {
			r.t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			r.t.Errorf("read after write (-want +got):\n%s", diff)
		}
	}
}

// write runs one write on a new connection.
func (r *installation) write(i int, id, v string) error {
	c := r.connect(i, "member-"+id)
	_, err := c.Exec(r.t.Context(), writeBox, id, v)
	return err
}

// TestKillAndStop kills a VM while it has an open transaction, which must be rolled back,
// and then stops another one with SIGTERM. The remaining VMs must serve reads and
// writes after each.
func TestKillAndStop(t *testing.T) {
	r := startInstallation(t)
	r.checkReadYourWrites(0, 1, "before", 10)

	conn := r.connect(2, "member-cut")
	if _, err := conn.Exec(t.Context(), "BEGIN /*route='box'*/"); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Exec(t.Context(), writeBox, "cut", "never"); err != nil {
		t.Fatal(err)
	}
	if err := r.processes[2].command.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-r.processes[2].exited
	r.waitUntil("the others serve without the killed VM", func() bool { return r.allReady(vmCount - 1) })

	var got string
	err := r.connect(0, "member-cut").QueryRow(t.Context(), readBox, "cut").Scan(&got)
	if diff := cmp.Diff(pgx.ErrNoRows.Error(), errorText(err)); diff != "" {
		t.Errorf("row of the killed VM's transaction (-want +got):\n%s", diff)
	}
	r.checkReadYourWrites(0, 1, "after", 10)
	r.waitUntil("the lock of the killed VM's transaction is released", func() bool { return r.write(1, "cut", "first") == nil })
	r.checkReadYourWrites(1, 0, "cut", 1)

	if err := r.processes[1].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-r.processes[1].exited:
		if err != nil {
			t.Errorf("planned stop: %v", err)
		}
	case <-time.After(waitTimeout):
		t.Error("the planned stop did not end")
	}
	r.waitUntil("the last VM holds every backend server", func() bool { return r.allReady(1) })
	r.checkReadYourWrites(0, 0, "last", 10)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// TestPausedVM pauses a VM's process while the key of a connected caller is withdrawn,
// and resumes it once the withdrawal is accepted. No statement of that caller may run
// any more. The resumed VM soon receives the new version, so this does not test that a
// VM refuses while it cannot confirm its configuration; TestUnconfirmed in entry and
// TestOutage in membership do.
func TestPausedVM(t *testing.T) {
	r := startInstallation(t)
	r.checkReadYourWrites(0, 1, "before", 3)
	caller := r.connect(2, "member-paused")
	if _, err := caller.Exec(t.Context(), "BEGIN /*route='box'*/"); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Exec(t.Context(), writeBox, "paused", "open"); err != nil {
		t.Fatal(err)
	}
	process := r.processes[2].command.Process
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	version := r.withdrawKeys()
	r.waitUntil("the withdrawal is accepted", func() bool { return r.acceptedVersion(0) >= version && r.acceptedVersion(1) >= version })
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Exec(t.Context(), "COMMIT"); err == nil {
		t.Error("a VM that had been paused committed for a caller whose key was withdrawn")
	}
	if _, err := r.tryConnect(2, "member-late"); err == nil {
		t.Error("a VM that had been paused accepted a caller whose key was withdrawn")
	}
}

// withdrawKeys removes every account, and so the caller's key, from the configuration
// and returns the new version.
func (r *installation) withdrawKeys() uint64 {
	r.t.Helper()
	b, err := configuration.Read(r.t.Context(), r.environment.System.Store, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	version, err := configuration.Apply(r.t.Context(), r.environment.System.Store, configuration.Change{
		Texts: map[string]string{document.SectionAccounts: "accounts: []\n"}, BaseVersion: b.Record.Version,
	})
	if err != nil {
		r.t.Fatal(err)
	}
	return version
}

// acceptedVersion returns the highest version that a VM knows to be accepted, or 0 if
// it does not answer.
func (r *installation) acceptedVersion(i int) uint64 {
	client := operator.NewClient(operator.Options{BaseURL: r.processes[i].OperatorURL, Timeout: 2000})
	s, err := client.Status(r.t.Context())
	if err != nil {
		return 0
	}
	return s.AcceptedVersion
}
