package holder

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// admissionModel drives an admission and models which client has a slot and a
// connection.
type admissionModel struct {
	admission *admission
	slots     int
	limit     int
	// clients holds the clients by name, whose first letter is the account.
	clients   map[string]*client
	events    chan event
	lastOwner uint64
}

// client is a request, or the transaction that it became.
type client struct {
	// state is "run" with a slot and a connection, "pause" with a connection only,
	// and "acquire" or "resume" while that step waits.
	state  string
	owner  uint64
	conn   *backend.Conn
	cancel context.CancelFunc
}

// event is the result of an acquire or a resume. conn is nil after a resume.
type event struct {
	name    string
	conn    *backend.Conn
	refusal *outcome.NotRun
}

func newAdmissionModel(address string, slots, limit int) *admissionModel {
	dial := func(ctx context.Context) (*backend.Conn, error) {
		return backend.Dial(ctx, backend.Options{Address: address, Database: "orders", User: "proxy", ConnectTimeout: 5 * clock.Second})
	}
	return &admissionModel{
		admission: newAdmission(slots, limit, clock.System(), newCounters("desk"), dial), slots: slots, limit: limit,
		clients: map[string]*client{}, events: make(chan event, 100),
	}
}

// step performs one step on a client: "acquire", "pause", "resume", "cancel",
// "put" or "lose". pause returns the slot of an open transaction, resume
// acquires one again, put returns the connection for reuse, and lose closes it. put
// and lose also return the client's slot, if it has one.
func (d *admissionModel) step(verb, name string) {
	c := d.clients[name]
	switch verb {
	case "acquire":
		d.lastOwner++
		ctx, cancel := context.WithCancel(context.Background())
		d.clients[name] = &client{state: verb, owner: d.lastOwner, cancel: cancel}
		go func() {
			conn, refusal := d.admission.acquire(ctx, name[:1], 1)
			d.events <- event{name, conn, refusal}
		}()
	case "resume":
		ctx, cancel := context.WithCancel(context.Background())
		c.state, c.cancel = verb, cancel
		go func() { d.events <- event{name, nil, d.admission.acquireSlot(ctx)} }()
	case "pause":
		c.state = verb
		d.admission.releaseSlot()
	case "cancel":
		c.cancel()
	case "put", "lose":
		c.cancel()
		c.conn.Release(c.owner)
		d.admission.put(c.conn, verb == "put")
		if c.state == "run" {
			d.admission.releaseSlot()
		}
		delete(d.clients, name)
	}
}

// awaitMatch applies events until the admission matches the model. It returns
// the remaining difference after testTimeout, or "".
func (d *admissionModel) awaitMatch() string {
	var difference string
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		select {
		case e := <-d.events:
			d.apply(e)
			continue
		default:
		}
		if difference = d.mismatch(); difference == "" {
			return ""
		}
		time.Sleep(100 * time.Microsecond)
	}
	return difference
}

func (d *admissionModel) apply(e event) {
	c := d.clients[e.name]
	switch {
	case e.refusal == nil && e.conn != nil:
		e.conn.Acquire(c.owner)
		c.conn, c.state = e.conn, "run"
	case e.refusal == nil:
		c.state = "run"
	case c.conn != nil:
		c.state = "pause"
	default:
		delete(d.clients, e.name)
	}
}

// names returns the sorted names of the clients in a state.
func (d *admissionModel) names(state string) []string {
	out := []string{}
	for name, c := range d.clients {
		if c.state == state {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// mismatch describes the first difference between the admission and the model,
// or returns "".
func (d *admissionModel) mismatch() string {
	running, held := len(d.names("run")), 0
	for _, c := range d.clients {
		if c.conn != nil {
			held++
		}
	}
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	switch {
	case d.admission.freeSlots != d.slots-running:
		return fmt.Sprintf("%d slots are free while %d clients run on %d slots", d.admission.freeSlots, running, d.slots)
	case d.admission.openCount != held+len(d.admission.idle)+d.admission.dialing || d.admission.openCount > d.limit:
		return fmt.Sprintf("%d connections are open or being dialed with a limit of %d: %d held, %d idle, %d being dialed", d.admission.openCount, d.limit, held, len(d.admission.idle), d.admission.dialing)
	case d.admission.queue.Len() != len(d.names("acquire")) || len(d.admission.slotWaiters) != len(d.names("resume")):
		return fmt.Sprintf("%d requests and %d open transactions wait, clients %+v", d.admission.queue.Len(), len(d.admission.slotWaiters), d.clients)
	case len(d.admission.slotWaiters) > 0 && running < d.slots:
		return "an open transaction waits while a slot is free"
	case d.admission.queue.Len() > 0 && running < d.slots && held < d.limit:
		return "a request waits while a slot and a connection are free"
	}
	return ""
}

// TestAdmission plays scripts and checks which clients run after each step.
func TestAdmission(t *testing.T) {
	failOnViolation(t)
	var cases []struct {
		Name  string `yaml:"name"`
		Slots int    `yaml:"slots"`
		Limit int    `yaml:"limit"`
		// Steps are "VERB CLIENT: running clients".
		Steps []string `yaml:"steps"`
	}
	scripted.Read(t, "testdata/admission.yaml", &cases)
	address := (&scriptedServer{}).serve(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			d := newAdmissionModel(address, c.Slots, c.Limit)
			defer d.admission.close()
			for _, step := range c.Steps {
				do, want, _ := strings.Cut(step, ":")
				verb, name, _ := strings.Cut(do, " ")
				d.step(verb, name)
				if mismatch := d.awaitMatch(); mismatch != "" {
					t.Fatalf("%s: %s", step, mismatch)
				}
				if diff := cmp.Diff(strings.Fields(want), d.names("run")); diff != "" {
					t.Fatalf("%s (-want +got):\n%s", step, diff)
				}
			}
		})
	}
}

// TestAdmissionMatchesModel compares slots and connections with the model under
// random steps.
func TestAdmissionMatchesModel(t *testing.T) {
	failOnViolation(t)
	address := (&scriptedServer{}).serve(t)
	all := []string{"a1", "a2", "a3", "b1", "b2", "c1"}
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		d := newAdmissionModel(address, slots, rapid.IntRange(1, 4).Draw(t, "limit"))
		defer d.admission.close()
		pick := func(t *rapid.T, states ...string) string {
			var names []string
			for _, s := range states {
				names = append(names, d.names(s)...)
			}
			if len(names) == 0 {
				t.Skip("no client is in these states")
			}
			return rapid.SampledFrom(names).Draw(t, "client")
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "client")
				if d.clients[name] != nil {
					t.Skip("the client is in use")
				}
				d.step("acquire", name)
			},
			"pause":  func(t *rapid.T) { d.step("pause", pick(t, "run")) },
			"resume": func(t *rapid.T) { d.step("resume", pick(t, "pause")) },
			"cancel": func(t *rapid.T) { d.step("cancel", pick(t, "acquire", "resume")) },
			"put":    func(t *rapid.T) { d.step("put", pick(t, "run")) },
			"lose":   func(t *rapid.T) { d.step("lose", pick(t, "run", "pause")) },
			"race": func(t *rapid.T) {
				name := pick(t, "acquire", "resume")
				other := pick(t, "run")
				// What put returns may be granted to the request that is being canceled.
				go d.clients[name].cancel()
				d.step("put", other)
				d.awaitCanceled(name)
			},
			"": func(t *rapid.T) {
				if mismatch := d.awaitMatch(); mismatch != "" {
					t.Fatal(mismatch)
				}
			},
		})
	})
}

// awaitCanceled applies events until the canceled request of a client has
// returned.
func (d *admissionModel) awaitCanceled(name string) {
	for c := d.clients[name]; d.clients[name] == c && (c.state == "acquire" || c.state == "resume"); {
		d.apply(<-d.events)
	}
}

// TestCloseRefusesWaiting has requests without a deadline wait for a connection
// that is never opened. Each must be refused when the holder stops, which closes
// the admission.
func TestCloseRefusesWaiting(t *testing.T) {
	dial := func(ctx context.Context) (*backend.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a := newAdmission(1, 1, clock.System(), newCounters("stopping"), dial)
	refusals := make(chan *outcome.NotRun)
	const waiting = 3
	for range waiting {
		go func() {
			_, refusal := a.acquire(context.Background(), "counter", 1)
			refusals <- refusal
		}()
	}
	for end := time.Now().Add(10 * time.Second); a.queueLength() < waiting && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	a.close()
	for range waiting {
		select {
		case refusal := <-refusals:
			if refusal == nil || refusal.Reason != outcome.ReasonNotHolder {
				t.Errorf("a waiting request was not refused with the reason holder: got %v", refusal)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a request still waits")
		}
	}
}

func (a *admission) queueLength() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}

// TestNoSlotForOpenTransaction takes the only slot while a transaction is open.
// The next batch of the transaction must be refused as not run, at its deadline
// and when the holder stops.
func TestNoSlotForOpenTransaction(t *testing.T) {
	failOnViolation(t)
	s := &scriptedServer{answers: map[string][]string{"BEGIN": {"C BEGIN", "Z T"}}}
	h, stop := startHolder(t, Options{Server: document.Server{Name: "orders-1", Address: s.serve(t), Slots: 1, Connections: 8}})
	await(t, "the holder acquires the lock", func() bool { _, held := h.State(); return held })
	for _, c := range []struct {
		deadline clock.Millis
		want     string
	}{{200, "refused deadline"}, {20 * clock.Second, "refused holder"}} {
		x := startCall(h, inner.Begin{Account: "counter", Kind: document.KindWrite, Timeout: c.deadline})
		if got, _ := x.run(backend.QueryMessage("BEGIN")); !slices.Equal(got, []string{"C BEGIN", "Z T"}) {
			t.Fatal(got)
		}
		h.admission.mu.Lock()
		h.admission.freeSlots--
		h.admission.mu.Unlock()
		answer := make(chan []string, 1)
		go func() {
			got, _ := x.run(backend.QueryMessage("SELECT 1"))
			answer <- got
		}()
		if c.deadline > clock.Second {
			await(t, "the transaction waits for a slot", func() bool {
				h.admission.mu.Lock()
				defer h.admission.mu.Unlock()
				return len(h.admission.slotWaiters) > 0
			})
			stop()
		}
		if got := <-answer; !slices.Equal(got, []string{c.want}) {
			t.Errorf("got %q, want %q", got, c.want)
		}
		<-x.done
		h.admission.releaseSlot()
	}
}
