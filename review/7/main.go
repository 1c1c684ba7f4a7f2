// Command 7 plays case 7 of the review: a stopped VM's removal from the list of VMs is done
// late, after the VM has registered again. It starts three VMs as processes, with stand-ins for
// the platform, the backend servers and the clients.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamoredoor/sycamoredoor/platform/standin"
)

const (
	// groupCount is the number of database groups.
	groupCount = 8
	// lateBy is how late the lost transaction is performed; the pages name 1 to 6 s.
	lateBy = 5900 * time.Millisecond
	// promoteDelay is the time from the call of a promotion to its effect.
	promoteDelay = 300 * time.Millisecond
	// replicaLag is how late a replica applies what it receives.
	replicaLag = 20 * time.Millisecond
	// readersPerGroup is the number of sessions that read each group at the restarted VM.
	readersPerGroup = 3
	// readPause and writePause are the pauses between two statements of a session.
	readPause  = 5 * time.Millisecond
	writePause = 5 * time.Millisecond
	// leavePause is the pause between the replacements of two primaries, and drainTime how long a
	// server goes on after it began to drain.
	leavePause = 900 * time.Millisecond
	drainTime  = 9 * time.Second
	// restartPause is how long the platform waits before it starts an ended process again.
	restartPause = 500 * time.Millisecond
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

// zones are those of the servers of a group. The first server is the primary; those from
// firstReplacement on start later, one in each wave of replacements.
var zones = []string{"c", "a", "b", "c", "a"}

const (
	firstReplacement = 3
	waves            = 2
)

// groupNames are the database groups. By these names vm-c is the last of the three VMs that renews the
// proof of a primary, which holds for a third of all names.
var groupNames = [groupCount]string{"svc1", "svc7", "svc9", "svc11", "svc13", "svc15", "svc17", "svc19"}

// vmNames are the VMs, one in each zone. The last one is stopped and started again.
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

// storeProxy is the way of one VM to the store. It loses one transaction.
type storeProxy struct {
	listener net.Listener
	target   *url.URL
	forward  *httputil.ReverseProxy
	record   *recorder
	// loseRemoval is set while the next removal of a row is to be lost.
	loseRemoval atomic.Bool
	// performed is closed once the lost removal was performed.
	performed chan struct{}
}

func newStoreProxy(store string, r *recorder) (*storeProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	target := &url.URL{Scheme: "http", Host: store}
	p := &storeProxy{listener: l, target: target, forward: httputil.NewSingleHostReverseProxy(target), record: r, performed: make(chan struct{})}
	p.forward.ErrorLog = nil
	p.forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	go func() { _ = http.Serve(l, p) }()
	return p, nil
}

// ServeHTTP forwards a call. The lost one gets no answer and is performed after lateBy.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "rows-tx") {
		p.forward.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var t struct {
		Remove []struct{ Table, Key string }
	}
	if json.Unmarshal(body, &t) != nil || len(t.Remove) == 0 {
		p.forward.ServeHTTP(w, r)
		return
	}
	p.record.say("the store gets the removal of %v", t.Remove)
	if !p.loseRemoval.CompareAndSwap(true, false) {
		p.forward.ServeHTTP(w, r)
		return
	}
	time.AfterFunc(lateBy, func() {
		answer, err := http.Post(p.target.String()+"/-/rows-tx", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = answer.Body.Close()
		}
		p.record.say("the store has performed the unanswered removal, %v after it came", lateBy)
		close(p.performed)
	})
	p.record.say("the removal is not answered")
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
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

// end sends a signal and waits until the process has ended.
func (v *vm) end(s syscall.Signal) {
	_ = v.command.Process.Signal(s)
	_ = v.command.Wait()
}

// operatorConfig returns the configuration: a route of kind primary to each group.
func operatorConfig() map[string]any {
	var routes, services []any
	for _, name := range groupNames {
		services = append(services, map[string]any{"name": name, "maxConns": 60, "syncReplicas": 1})
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": "db" + name, "routeKind": "primary", "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1, "service": name, "public": false,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000},
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": []string{"key-shop"}, "priority": 1, "ratePerS": 100000, "burst": 100000}},
	}
}

// trial is one run of the case.
type trial struct {
	record       *recorder
	program      string
	store        *standin.Store
	groups       []*standin.Group
	vms          []*vm
	proxies      []*storeProxy
	ids          atomic.Int64
	stop         chan struct{}
	clients      sync.WaitGroup
	acknowledged [groupCount]acknowledgements
	reads        atomic.Int64
	writes       atomic.Int64
	stale        atomic.Int64
	mu           sync.Mutex
	staleGroups  []string
}

// acknowledgements holds the highest number that each server of a group has acknowledged.
type acknowledgements struct {
	mu       sync.Mutex
	byServer map[string]int64
}

func (a *acknowledgements) add(server string, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byServer = maps.Clone(a.byServer)
	if a.byServer == nil {
		a.byServer = map[string]int64{}
	}
	a.byServer[server] = n
}

// snapshot returns the present numbers, which are not modified.
func (a *acknowledgements) snapshot() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byServer
}

// highestOfOthers returns the highest number that another server than the given one acknowledged. The
// stand-in's former primary shows its own newest commits only after its lag once it has stepped down;
// its log has them.
func highestOfOthers(byServer map[string]int64, server string) int64 {
	out := int64(0)
	for s, n := range byServer {
		if s != server {
			out = max(out, n)
		}
	}
	return out
}

func main() {
	program := flag.String("program", "target/sycamoredoor", "the program that each VM runs")
	folder := flag.String("folder", "", "the folder for settings and logs")
	record := flag.String("record", "record.txt", "the file for what is sent, answered and run")
	trouble := flag.Bool("trouble", true, "lose an answer of the store")
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
	if err := t.setUp(folder); err != nil {
		t.record.say("cannot run: %v", err)
		return exitFailed
	}
	if err := t.play(trouble); err != nil {
		t.record.say("cannot run: %v", err)
		return exitFailed
	}
	t.record.say("%d reads and %d writes succeeded; %d reads were stale, in groups %v", t.reads.Load(), t.writes.Load(), t.stale.Load(), t.staleGroups)
	for _, g := range t.groups {
		for _, v := range g.Violations() {
			t.record.say("the servers saw: %s", v)
		}
	}
	if t.reads.Load() == 0 || t.writes.Load() == 0 {
		return exitFailed
	}
	if t.stale.Load() > 0 {
		t.record.say("STALE is broken")
		return exitBroken
	}
	t.record.say("STALE held")
	return exitHeld
}

func (t *trial) setUp(folder string) error {
	store, err := standin.NewStore()
	if err != nil {
		return err
	}
	t.store = store
	for i := range groupCount {
		g, err := standin.NewGroup(store, groupNames[i], zones)
		if err != nil {
			return err
		}
		store.AddGroup(g)
		t.groups = append(t.groups, g)
		for _, replacement := range g.Servers()[firstReplacement:] {
			replacement.Crash()
			store.Delete("servers", replacement.ID())
		}
		for _, s := range g.Servers() {
			s.SetLag(replicaLag)
			s.SetDelay(time.Millisecond)
		}
	}
	store.Put("op", "config", operatorConfig())
	promotions, err := servePromotions(store.Address(), t.record)
	if err != nil {
		return err
	}
	for i, name := range vmNames {
		p, err := newStoreProxy(store.Address(), t.record)
		if err != nil {
			return err
		}
		t.proxies = append(t.proxies, p)
		v, err := newVM(folder, name, string("abc"[i]), p.listener.Addr().String(), promotions)
		if err != nil {
			return err
		}
		t.vms = append(t.vms, v)
		if err := v.start(t.program); err != nil {
			return err
		}
	}
	return t.awaitServing(t.vms...)
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

// awaitServing waits until the VMs serve a read of each group.
func (t *trial) awaitServing(vms ...*vm) error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range vms {
		for i := range groupCount {
			for !t.serves(v, i) {
				if time.Now().After(deadline) {
					return fmt.Errorf("%s does not serve", v.name)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	return nil
}

func (t *trial) serves(v *vm, group int) bool {
	c, err := t.open(v, group)
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.query("READ probe")
	return err == nil && a.code == ""
}

// play plays the case.
func (t *trial) play(trouble bool) error {
	stopped, others := t.vms[len(t.vms)-1], t.vms[:len(t.vms)-1]
	proxy := t.proxies[len(t.proxies)-1]
	// The VMs' lists and the directory settle.
	time.Sleep(5 * time.Second)

	t.record.say("SIGTERM to %s", stopped.name)
	proxy.loseRemoval.Store(trouble)
	stopped.end(syscall.SIGTERM)
	time.Sleep(restartPause)
	t.record.say("%s is started again", stopped.name)
	if err := stopped.start(t.program); err != nil {
		return err
	}
	if err := t.awaitServing(stopped); err != nil {
		return err
	}
	if trouble {
		<-proxy.performed
	} else {
		time.Sleep(lateBy)
	}
	time.Sleep(time.Second)

	t.record.say("SIGKILL to the other VMs")
	for _, v := range others {
		_ = v.command.Process.Signal(syscall.SIGKILL)
	}
	for _, v := range others {
		_ = v.command.Wait()
	}
	time.Sleep(restartPause)
	for _, v := range others {
		if err := v.start(t.program); err != nil {
			return err
		}
	}
	if err := t.awaitServing(t.vms...); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	for i := range groupCount {
		t.client(func() { t.write(others[0], i) })
		for range readersPerGroup {
			t.client(func() { t.read(stopped, i) })
		}
	}
	time.Sleep(time.Second)
	for wave := range waves {
		t.replacePrimaries(wave)
	}
	close(t.stop)
	t.clients.Wait()
	return nil
}

// replacePrimaries replaces the primary of one group after the other: new servers start, then the
// primaries drain, and end a while after their drain period.
func (t *trial) replacePrimaries(wave int) {
	t.record.say("new servers start, then the primaries drain, one after the other")
	for _, g := range t.groups {
		replacement := g.Servers()[firstReplacement+wave]
		replacement.Restart()
		replacement.RegisterAddress(replacement.Address())
	}
	time.Sleep(3 * time.Second)
	for _, g := range t.groups {
		leaving := g.Primary()
		t.record.log("%s drains", leaving.ID())
		leaving.Leave()
		time.AfterFunc(drainTime, func() {
			leaving.Crash()
			t.store.Delete("servers", leaving.ID())
		})
		time.Sleep(leavePause)
	}
	time.Sleep(4 * time.Second)
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

// write writes rising numbers to one item of a group until the end of the run.
func (t *trial) write(v *vm, group int) {
	var c *client
	for n := int64(1); !t.stopping(); time.Sleep(writePause) {
		if c = t.reopen(c, v, group); c == nil {
			continue
		}
		a, err := c.query(fmt.Sprintf("WRITE k %d", n))
		if err != nil {
			c.close()
			c = nil
			n++
			continue
		}
		if a.code == "" {
			t.writes.Add(1)
			t.acknowledged[group].add(a.server, n)
			t.record.log("%s %s WRITE k %d acknowledged by %s", groupNames[group], v.name, n, a.server)
		} else {
			t.record.log("%s %s WRITE k %d: %s", groupNames[group], v.name, n, a.code)
		}
		n++
	}
}

// read reads the item of a group until the end of the run, and compares each answer with what was
// acknowledged before the read was sent.
func (t *trial) read(v *vm, group int) {
	var c *client
	for ; !t.stopping(); time.Sleep(readPause) {
		if c = t.reopen(c, v, group); c == nil {
			continue
		}
		acknowledged, sent := t.acknowledged[group].snapshot(), time.Now()
		a, err := c.query("READ k")
		if err != nil {
			c.close()
			c = nil
			continue
		}
		if a.code != "" {
			t.record.log("%s %s READ k: %s", groupNames[group], v.name, a.code)
			continue
		}
		t.reads.Add(1)
		value := int64(0)
		_, _ = fmt.Sscan(a.row, &value)
		before := highestOfOthers(acknowledged, a.server)
		if value >= before {
			t.record.log("%s %s READ k gave %d, ran on %s", groupNames[group], v.name, value, a.server)
			continue
		}
		t.stale.Add(1)
		t.mu.Lock()
		if !slices.Contains(t.staleGroups, groupNames[group]) {
			t.staleGroups = append(t.staleGroups, groupNames[group])
		}
		t.mu.Unlock()
		t.record.log("STALE %s %s READ k, sent %.4f, ran on %s and gave %d; %d was acknowledged by another server before it was sent",
			groupNames[group], v.name, sent.Sub(t.record.start).Seconds(), a.server, value, before)
	}
}

func (t *trial) reopen(c *client, v *vm, group int) *client {
	if c != nil {
		return c
	}
	c, err := t.open(v, group)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
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

func (t *trial) open(v *vm, group int) (*client, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{trial: t, conn: conn}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(conn, "STARTUP db%s key-shop\r\n", groupNames[group])
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
