// Command 8 plays case 8 of the review: a primary is partitioned, and the server that replaces it is
// lost for good before the partition ends. It starts three VMs as processes, with stand-ins for the
// platform, the backend servers and the clients.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamoredoor/sycamoredoor/platform/standin"
)

const (
	// promoteDelay is the time from the call of a promotion to its effect.
	promoteDelay = 300 * time.Millisecond
	// replicaLag is how late a replica applies what it receives.
	replicaLag = 20 * time.Millisecond
	// cutTime is the length of the partition, lostAfter the time from its begin to the loss of the
	// next primary, and entryTime how long the directory keeps the entry of a lost server.
	cutTime   = 7 * time.Second
	lostAfter = 4 * time.Second
	entryTime = 3600 * time.Millisecond
	// recoveryTime is the time after which the system must serve again, and judgedTime the time
	// after that for which requests are counted.
	recoveryTime = 12 * time.Second
	judgedTime   = 20 * time.Second
	// clientsPerVM is the number of sessions at each VM, clientPause the pause between two
	// statements of one.
	clientsPerVM = 3
	clientPause  = 50 * time.Millisecond
	// restartPause is how long the platform waits before it starts an ended process again.
	restartPause = time.Second
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 3 * time.Second
	// runTimeout bounds the whole run.
	runTimeout = 110 * time.Second
	// lowestPort and portCount are the ports that freeAddress draws from.
	lowestPort = 20000
	portCount  = 10000
	// startTimeout bounds the wait until a VM serves.
	startTimeout = 20 * time.Second
)

// exit codes of the case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// zones are those of the servers; the first server is the primary.
var zones = []string{"c", "a", "b"}

// vmNames are the VMs, one in each zone.
var vmNames = []string{"vm-a", "vm-b", "vm-c"}

// recorder writes what is sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// serverProxy is the way to the primary. While it is cut, nothing passes and no connection ends.
type serverProxy struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

func newServerProxy(target string) (*serverProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &serverProxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *serverProxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, c, t)
	p.mu.Unlock()
	go p.copy(c, t)
	p.copy(t, c)
}

func (p *serverProxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.cut.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// heal ends the cut. Connections of before are reset, since data on them was lost.
func (p *serverProxy) heal() {
	p.cut.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// servePromotions answers promotions and passes them on to the stand-in after promoteDelay.
func servePromotions(store string, r *recorder) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		r.say("promotion %s ordered by %s with token %s", body, q.Header.Get("Holder"), q.Header.Get("Fence-Token"))
		next, err := http.NewRequest(http.MethodPost, "http://"+store+"/promotion", bytes.NewReader(body))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next.Header = q.Header.Clone()
		time.AfterFunc(promoteDelay, func() {
			answer, err := http.DefaultClient.Do(next)
			if err == nil {
				r.say("promotion %s takes effect, status %d", body, answer.StatusCode)
				_ = answer.Body.Close()
			}
		})
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(handler)) }()
	return l.Addr().String(), nil
}

// vm is a VM that runs as a process.
type vm struct {
	name, settings, callers string
	logFile                 *os.File
	command                 *exec.Cmd
}

// freeAddress returns a loopback address, IP:port, that is free for TCP and UDP. Its port is below
// those that the system gives out for port 0.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return address
	}
}

func newVM(folder, name, zone, store, promotions string) (*vm, error) {
	v := &vm{name: name, settings: filepath.Join(folder, name+".yaml"), callers: freeAddress()}
	_, port, _ := net.SplitHostPort(freeAddress())
	text := fmt.Sprintf(`vm: %q
zone: %q
region: "r"
zones: {"a":"r","b":"r","c":"r"}
callers: %q
ready: %q
ip: "127.0.0.1"
ports: [%s,%s]
memory: 284
descriptors: 4200
grace: 6
excess: 0.1
slack: 20
window: 5
store: %q
promotions: %q
drain: 7000
deadline: 3000
`, name, zone, v.callers, freeAddress(), port, port, store, promotions)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	v.logFile, err = os.Create(filepath.Join(folder, name+".log"))
	return v, err
}

func (v *vm) start(program string) error {
	v.command = exec.Command(program, "frontend")
	v.command.Env = []string{"SYCAMOREDOOR_SETTINGS=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.command.Stdout, v.command.Stderr = v.logFile, v.logFile
	return v.command.Start()
}

// operatorConfig returns the configuration: a route of kind primary to the group.
func operatorConfig() map[string]any {
	return map[string]any{
		"version": 1, "limits": map[string]any{"txIdleMs": 3000},
		"services": []any{map[string]any{"name": "svc", "maxConns": 60, "syncReplicas": 1}},
		"routes": []any{map[string]any{
			"name": "r-svc", "host": "dbsvc", "routeKind": "primary", "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1, "service": "svc", "public": false,
		}},
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": []string{"key-shop"}, "priority": 1, "ratePerS": 100000, "burst": 100000}},
	}
}

// trial is one run of the case.
type trial struct {
	record  *recorder
	program string
	store   *standin.Store
	group   *standin.Group
	proxy   *serverProxy
	vms     []*vm
	ids     atomic.Int64
	stop    chan struct{}
	clients sync.WaitGroup
	// before and after count the requests and the served ones before the troubles and after the
	// recovery; phase tells which of them counts.
	phase         atomic.Int64
	before, after tally
}

// tally counts requests.
type tally struct{ sent, served atomic.Int64 }

// The phases in which requests count.
const (
	notCounted = iota
	countedBefore
	countedAfter
)

func main() {
	program := flag.String("program", "target/sycamoredoor", "the program that each VM runs")
	folder := flag.String("folder", "", "the folder for settings and logs")
	record := flag.String("record", "record.txt", "the file for what is sent, answered and run")
	trouble := flag.Bool("trouble", true, "partition the primary and lose its successor")
	flag.Parse()
	os.Exit(run(*program, *folder, *record, *trouble))
}

func run(program, folder, record string, trouble bool) int {
	out, err := os.Create(record)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	t := &trial{record: &recorder{out: out, start: time.Now()}, program: program, stop: make(chan struct{})}
	defer t.close()
	go t.awaitInterruption()
	err = t.setUp(folder)
	if err == nil {
		err = t.play(trouble)
	}
	if err != nil {
		t.record.say("cannot run: %v", err)
		return exitFailed
	}
	t.record.say("before the final fault: %d of %d served; later than %v after the machines were back: %d of %d",
		t.before.served.Load(), t.before.sent.Load(), recoveryTime, t.after.served.Load(), t.after.sent.Load())
	switch {
	case 4*t.before.served.Load() < t.before.sent.Load() || t.after.sent.Load() == 0:
		t.record.say("cannot run: too little was served before")
		return exitFailed
	case 4*t.after.served.Load() < t.after.sent.Load():
		t.record.say("RECOVER is broken")
		return exitBroken
	}
	t.record.say("RECOVER held")
	return exitHeld
}

func (t *trial) setUp(folder string) error {
	store, err := standin.NewStore()
	if err != nil {
		return err
	}
	t.store = store
	if t.group, err = standin.NewGroup(store, "svc", zones); err != nil {
		return err
	}
	store.AddGroup(t.group)
	for _, s := range t.group.Servers() {
		s.SetLag(replicaLag)
		s.SetDelay(time.Millisecond)
	}
	primary := t.group.Primary()
	if t.proxy, err = newServerProxy(primary.Address()); err != nil {
		return err
	}
	primary.RegisterAddress(t.proxy.listener.Addr().String())
	store.Put("op", "config", operatorConfig())
	promotions, err := servePromotions(store.Address(), t.record)
	if err != nil {
		return err
	}
	for i, name := range vmNames {
		v, err := newVM(folder, name, string("abc"[i]), store.Address(), promotions)
		if err != nil {
			return err
		}
		t.vms = append(t.vms, v)
		if err := v.start(t.program); err != nil {
			return err
		}
	}
	return t.awaitServing()
}

// awaitInterruption ends the VMs and this process after a signal or runTimeout.
func (t *trial) awaitInterruption() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(runTimeout):
	}
	t.record.say("cannot run: it was interrupted or takes too long")
	t.close()
	os.Exit(exitFailed)
}

// close ends the VMs.
func (t *trial) close() {
	for _, v := range t.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			_, _ = v.command.Process.Wait()
		}
	}
}

// awaitServing waits until the VMs serve a read.
func (t *trial) awaitServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range t.vms {
		for !t.serves(v) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (t *trial) serves(v *vm) bool {
	c, err := t.open(v)
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.query("READ probe")
	return err == nil && a.code == ""
}

// play plays the case.
func (t *trial) play(trouble bool) error {
	for _, v := range t.vms {
		for range clientsPerVM {
			t.client(func() { t.work(v) })
		}
	}
	time.Sleep(5 * time.Second)
	t.phase.Store(countedBefore)
	time.Sleep(5 * time.Second)
	if trouble {
		t.disrupt()
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(2 * time.Second)
	t.phase.Store(notCounted)

	t.record.say("the final fault: SIGKILL to all VMs")
	for _, v := range t.vms {
		_ = v.command.Process.Signal(syscall.SIGKILL)
	}
	for _, v := range t.vms {
		_ = v.command.Wait()
	}
	time.Sleep(restartPause)
	for _, v := range t.vms {
		if err := v.start(t.program); err != nil {
			return err
		}
	}
	t.record.say("the machines are back")
	time.Sleep(recoveryTime)
	t.phase.Store(countedAfter)
	time.Sleep(judgedTime)
	t.phase.Store(notCounted)
	close(t.stop)
	t.clients.Wait()
	return nil
}

// disrupt partitions the primary from the VMs and its replicas for cutTime. The server that is promoted
// meanwhile is lost for good before the partition ends.
func (t *trial) disrupt() {
	former := t.group.Primary()
	t.record.say("the primary %s is partitioned", former.ID())
	t.proxy.cut.Store(true)
	time.Sleep(lostAfter)
	next := t.group.Primary()
	t.record.say("the primary %s is lost for good", next.ID())
	next.Crash()
	time.AfterFunc(entryTime, func() { t.store.Delete("servers", next.ID()) })
	time.Sleep(cutTime - lostAfter)
	t.record.say("the partition of %s ends", former.ID())
	t.proxy.heal()
	// The entry goes before the final fault.
	time.Sleep(entryTime)
}

func (t *trial) client(f func()) {
	t.clients.Add(1)
	go func() {
		defer t.clients.Done()
		f()
	}()
}

func (t *trial) stopping() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// work reads and writes by turns until the end of the run.
func (t *trial) work(v *vm) {
	var c *client
	for n := 0; !t.stopping(); n++ {
		time.Sleep(clientPause)
		text := "READ k"
		if n%2 == 0 {
			text = fmt.Sprintf("WRITE k %d", n)
		}
		count := t.count()
		count.sent.Add(1)
		if c == nil {
			c = t.reopen(v)
		}
		if c == nil {
			continue
		}
		a, err := c.query(text)
		t.record.log("%s %s: server %q, code %q, err %v", v.name, text, a.server, a.code, err)
		switch {
		case err != nil:
			c.close()
			c = nil
		case a.code == "":
			count.served.Add(1)
		}
	}
}

// count returns the tally in which a request that is sent now counts.
func (t *trial) count() *tally {
	switch t.phase.Load() {
	case countedBefore:
		return &t.before
	case countedAfter:
		return &t.after
	}
	return &tally{}
}

func (t *trial) reopen(v *vm) *client {
	c, err := t.open(v)
	if err != nil {
		return nil
	}
	return c
}

// client is a session of a client.
type client struct {
	trial *trial
	conn  net.Conn
	buf   []byte
}

// answer is the answer to a statement.
type answer struct{ row, server, code string }

func (t *trial) open(v *vm) (*client, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{trial: t, conn: conn}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(conn, "STARTUP dbsvc key-shop\r\n")
	line, err := c.line()
	if err != nil || !strings.HasPrefix(line, "READY ") {
		c.close()
		return nil, fmt.Errorf("not accepted: %q, %v", line, err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) line() (string, error) {
	for {
		if before, after, ok := bytes.Cut(c.buf, []byte("\r\n")); ok {
			c.buf = after
			return string(before), nil
		}
		part := make([]byte, 4096)
		n, err := c.conn.Read(part)
		if err != nil {
			return "", err
		}
		c.buf = append(c.buf, part[:n]...)
	}
}

// query runs one statement.
func (c *client) query(text string) (answer, error) {
	var a answer
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY q%d %s\r\n", c.trial.ids.Add(1), text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.row = rest
		case "COMPLETE":
			a.server, _, _ = strings.Cut(rest, "/")
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}
