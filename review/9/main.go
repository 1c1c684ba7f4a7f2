// Command 9 plays case 9 of the review: a replica of another region and the primary are replaced, one
// after the other. It starts three VMs as processes, with stand-ins for the platform, the backend
// servers and the clients.
package main

import (
	"bytes"
	"encoding/json"
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
	// groupCount is the number of database groups, groupPause the pause between their replacements.
	groupCount = 16
	groupPause = 450 * time.Millisecond
	// regionDelay is the time one way to the replica in the other region.
	regionDelay = 8 * time.Millisecond
	// drainTime is how long a server goes on after it began to drain. The primary drains leastGap after
	// the replica, and gapStep later in each of gapCount groups that follow each other.
	drainTime = 8 * time.Second
	leastGap  = 7200 * time.Millisecond
	gapStep   = 40 * time.Millisecond
	gapCount  = 8
	// settleTime is the time after the last replacement, and judgedTime that after the final fault.
	settleTime = 12 * time.Second
	judgedTime = 15 * time.Second
	// clientPause is the pause between two writes of a session.
	clientPause = 3 * time.Millisecond
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

// zones are those of the servers of a group. The first server is the primary, the second one the
// replica in the other region; the last two replace these.
var zones = []string{"c", "d", "b", "a", "c"}

const (
	primary        = 0
	replica        = 1
	newReplica     = 3
	newPrimary     = 4
	startedServers = 3
)

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

// serveRegion passes connections on to a server in the other region, with regionDelay each way. It
// returns the address.
func serveRegion(target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t, err := net.Dial("tcp", target)
			if err != nil {
				_ = c.Close()
				continue
			}
			go copyLate(c, t)
			go copyLate(t, c)
		}
	}()
	return l.Addr().String(), nil
}

func copyLate(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(regionDelay)
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// servePromotions answers promotions, 409 if the server has ended, and passes them on to the stand-in
// after promoteDelay.
func (t *trial) servePromotions(store string) (string, error) {
	r := t.record
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		r.say("promotion %s ordered by %s with token %s", body, q.Header.Get("Holder"), q.Header.Get("Fence-Token"))
		var order struct{ ID string }
		if json.Unmarshal(body, &order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if _, ended := t.ended.Load(order.ID); ended {
			r.say("%s has ended: 409", order.ID)
			w.WriteHeader(http.StatusConflict)
			return
		}
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
zones: {"a":"r","b":"r","c":"r","d":"other"}
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

func groupName(i int) string { return fmt.Sprintf("svc%d", i) }

// operatorConfig returns the configuration: a route of kind primary to each group.
func operatorConfig() map[string]any {
	var routes, services []any
	for i := range groupCount {
		name := groupName(i)
		services = append(services, map[string]any{"name": name, "maxConns": 60, "syncReplicas": 1})
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": "db" + name, "routeKind": "primary", "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1, "service": name, "public": false,
		})
	}
	return map[string]any{
		"version": 1, "limits": map[string]any{"txIdleMs": 3000}, "services": services, "routes": routes,
		"tenants": []any{map[string]any{"name": "shop", "apiKeys": []string{"key-shop"}, "priority": 1, "ratePerS": 100000, "burst": 100000}},
	}
}

// trial is one run of the case.
type trial struct {
	record  *recorder
	program string
	store   *standin.Store
	groups  []*standin.Group
	vms     []*vm
	ids     atomic.Int64
	writes  atomic.Int64
	stop    chan struct{}
	clients sync.WaitGroup
	// ended holds the ids of the servers that have ended, acknowledged those of the writes that were
	// acknowledged to a client.
	ended        sync.Map
	acknowledged sync.Map
}

func main() {
	program := flag.String("program", "target/sycamoredoor", "the program that each VM runs")
	folder := flag.String("folder", "", "the folder for settings and logs")
	record := flag.String("record", "record.txt", "the file for what is sent, answered and run")
	trouble := flag.Bool("trouble", true, "kill all VMs at the end")
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
	lost := 0
	for _, g := range t.groups {
		for _, v := range g.Violations() {
			id := v[strings.LastIndexByte(v, ' ')+1:]
			if _, told := t.acknowledged.Load(id); !told {
				t.record.say("the servers saw, but no client was told of a success: %s", v)
				continue
			}
			t.record.say("the servers saw: %s", v)
			lost++
		}
	}
	t.record.say("%d writes succeeded", t.writes.Load())
	switch {
	case t.writes.Load() == 0:
		return exitFailed
	case lost > 0:
		t.record.say("LOST is broken")
		return exitBroken
	}
	t.record.say("LOST held")
	return exitHeld
}

func (t *trial) setUp(folder string) error {
	store, err := standin.NewStore()
	if err != nil {
		return err
	}
	t.store = store
	for i := range groupCount {
		g, err := standin.NewGroup(store, groupName(i), zones)
		if err != nil {
			return err
		}
		store.AddGroup(g)
		t.groups = append(t.groups, g)
		for j, s := range g.Servers() {
			s.SetLag(replicaLag)
			s.SetDelay(time.Millisecond)
			if j >= startedServers {
				s.Crash()
				store.Delete("servers", s.ID())
			}
		}
		address, err := serveRegion(g.Servers()[replica].Address())
		if err != nil {
			return err
		}
		g.Servers()[replica].RegisterAddress(address)
	}
	store.Put("op", "config", operatorConfig())
	promotions, err := t.servePromotions(store.Address())
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

// awaitServing waits until the VMs serve a read of each group.
func (t *trial) awaitServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, v := range t.vms {
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
	for i := range groupCount {
		t.client(func() { t.write(t.vms[i%len(t.vms)], i) })
	}
	time.Sleep(3 * time.Second)
	var replacements sync.WaitGroup
	for i, g := range t.groups {
		replacements.Go(func() { t.replace(g, leastGap+time.Duration(i%gapCount)*gapStep) })
		time.Sleep(groupPause)
	}
	replacements.Wait()
	time.Sleep(settleTime)
	if trouble {
		t.record.say("SIGKILL to all VMs")
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
	}
	time.Sleep(judgedTime)
	close(t.stop)
	t.clients.Wait()
	return nil
}

// replace replaces the replica in the other region and, a gap later, the primary: the new server starts,
// and the old one drains and ends.
func (t *trial) replace(g *standin.Group, gap time.Duration) {
	servers := g.Servers()
	t.start(servers[newReplica])
	time.Sleep(time.Second)
	t.drain(servers[replica])
	time.Sleep(gap - time.Second)
	t.start(servers[newPrimary])
	time.Sleep(time.Second)
	t.drain(servers[primary])
}

func (t *trial) start(s *standin.Server) {
	s.Restart()
	s.RegisterAddress(s.Address())
	t.record.log("%s starts", s.ID())
}

func (t *trial) drain(s *standin.Server) {
	s.Leave()
	t.record.log("%s drains", s.ID())
	time.AfterFunc(drainTime, func() {
		t.ended.Store(s.ID(), true)
		s.Crash()
		t.store.Delete("servers", s.ID())
		t.record.log("%s has ended", s.ID())
	})
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
	for n := 1; !t.stopping(); n++ {
		time.Sleep(clientPause)
		if c == nil {
			c, _ = t.open(v, group)
		}
		if c == nil {
			time.Sleep(restartPause / 10)
			continue
		}
		a, err := c.query(fmt.Sprintf("WRITE k %d", n))
		t.record.log("%s %s %s WRITE k %d: server %q, code %q, err %v", groupName(group), v.name, a.id, n, a.server, a.code, err)
		switch {
		case err != nil:
			c.close()
			c = nil
		case a.code == "":
			t.writes.Add(1)
			t.acknowledged.Store(a.id, true)
		default:
			time.Sleep(restartPause / 20)
		}
	}
}

// client is a session of a client.
type client struct {
	trial *trial
	conn  net.Conn
	buf   []byte
}

// answer is the answer to a statement.
type answer struct{ id, server, code string }

func (t *trial) open(v *vm, group int) (*client, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{trial: t, conn: conn}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(conn, "STARTUP db%s key-shop\r\n", groupName(group))
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
	a := answer{id: fmt.Sprintf("q%d", c.trial.ids.Add(1))}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "COMPLETE":
			a.server, _, _ = strings.Cut(rest, "/")
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}
