package forward

import (
	"context"
	"io"
	"os"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/memory"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// result is how a scripted holder handles one message: it sends Signs working frames,
// and then an answer if Answer is set, the refusal that Refuse names in refusals, or an
// unknown outcome if Lost is set. Silent has no effect: it marks a message to which the
// holder sends nothing.
type result struct {
	Signs  int    `yaml:"signs"`
	Answer bool   `yaml:"answer"`
	Refuse string `yaml:"refuse"`
	Lost   bool   `yaml:"lost"`
	Silent bool   `yaml:"silent"`
}

// script is a test case. Code, Unsent, Released and Next are the expected results: Code is
// that of the answer, or "" for an error, Unsent is set if the error is that the statement
// was not sent to the server, Released if the stream is released, and Next is the VM to
// which the next statement goes.
type script struct {
	Name        string   `yaml:"name"`
	Write       bool     `yaml:"write"`
	Unreachable bool     `yaml:"unreachable"`
	Results     []result `yaml:"results"`
	Code        string   `yaml:"code"`
	Unsent      bool     `yaml:"unsent"`
	Released    bool     `yaml:"released"`
	Next        string   `yaml:"next"`
}

// scriptedHolder answers the messages of one stream with its results.
type scriptedHolder struct {
	clock          *clock.Fake
	results        []result
	frames         []inner.Frame
	receiveTimeout clock.Millis
	messages       []inner.Run
	released       bool
	closed         bool
}

var refusals = map[string]inner.UnsentReason{
	"wait": inner.ReasonPoolTimeout, "stopping": inner.ReasonStopping, "unreachable": inner.ReasonUnreachable, "leaderless": inner.ReasonNoPrimary,
}

// exchange returns the end of the stream that the sender of the messages uses.
func (h *scriptedHolder) exchange() inner.Exchange {
	return inner.Exchange{
		SendFunc: h.send, ReceiveFunc: h.receive,
		CloseFunc: func() { h.closed = true }, ReleaseFunc: func() { h.released = true },
		ReceiveTimeoutFunc: func(timeout clock.Millis) { h.receiveTimeout = timeout },
	}
}

// send records a message and queues the frames of the next result.
func (h *scriptedHolder) send(f inner.Frame) error {
	var m inner.Run
	if err := inner.Decode(f, &m); err != nil {
		return err
	}
	h.messages = append(h.messages, m)
	if len(h.results) == 0 {
		return nil
	}
	r := h.results[0]
	h.results = h.results[1:]
	for range r.Signs {
		h.frames = append(h.frames, inner.Frame{Kind: inner.KindWorking})
	}
	switch {
	case r.Answer:
		h.frames = append(h.frames, inner.Encode(inner.KindResult, inner.Result{Signature: "sig", Status: statement.Idle}))
	case r.Lost:
		h.frames = append(h.frames, inner.Encode(inner.KindResult, inner.Result{OutcomeUnknown: true}))
	case r.Refuse != "":
		h.frames = append(h.frames, inner.Encode(inner.KindResult, inner.Result{UnsentReason: refusals[r.Refuse]}))
	}
	return nil
}

// receive advances the clock by workingInterval and returns the next frame. Without one
// it advances the clock by the receive timeout and returns a timeout error.
func (h *scriptedHolder) receive() (inner.Frame, error) {
	if len(h.frames) == 0 {
		h.clock.Advance(h.receiveTimeout)
		return inner.Frame{}, os.ErrDeadlineExceeded
	}
	h.clock.Advance(workingInterval)
	f := h.frames[0]
	h.frames = h.frames[1:]
	return f, nil
}

// TestHolders plays the scripts of a holder, and checks the result that the session gets,
// whether the stream is released or closed, and the VM that the next statement goes to.
func TestHolders(t *testing.T) {
	var scripts []script
	scripted.Read(t, "testdata/holders.yaml", &scripts)
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) { s.run(t) })
	}
}

func (s script) run(t *testing.T) {
	c := clock.NewFake(10_000)
	h := &scriptedHolder{clock: c, results: s.Results}
	openedVM := ""
	f := New(Options{
		Self: "self", Clock: c.Clock(), Log: log.New(io.Discard),
		HoldersFunc:  func(database.Server, string) []member.VM { return []member.VM{{Name: "first"}, {Name: "second"}} },
		ReservesFunc: func(database.Server, string) []member.VM { return []member.VM{{Name: "self"}} },
		OpenFunc: func(_ context.Context, v member.VM) (inner.Exchange, error) {
			openedVM = v.Name
			if s.Unreachable {
				return inner.Exchange{}, errors.New("no route")
			}
			return h.exchange(), nil
		},
		DropFunc: func(member.VM) {},
	})
	request := database.ConnRequest{Group: "g", Server: database.Server{ID: "p"}, Requester: database.Requester{Account: "acme", Weight: 1}, Wait: 500}
	r, _ := f.Remote(context.Background(), request)
	a, err := r.RunFunc(database.Request{ID: "x", Text: "READ 1", Timeout: 2000, IsCommit: s.Write, ReleaseAfter: true}, nil)
	r.CloseFunc()
	if s.Code != "" {
		if err != nil {
			t.Fatal(err)
		}
		diff(t, "code", s.Code, a.Code.String())
	} else if err == nil {
		t.Fatal("no error")
	}
	diff(t, "unsent", s.Unsent, database.IsUnsent(err))
	diff(t, "released", s.Released, h.released)
	diff(t, "closed", !s.Released && !s.Unreachable, h.closed)
	openedVM = ""
	next, _ := f.Remote(context.Background(), request)
	if next != nil {
		_, _ = next.RunFunc(database.Request{Timeout: 10}, nil)
	}
	diff(t, "next", s.Next, openedVM)
}

func diff(t *testing.T, what string, want, got any) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("%s (-want +got):\n%s", what, d)
	}
}

// TestWriteIsSentOnce checks that a single write is sent in one message, after
// a message that only acquires the connection.
func TestWriteIsSentOnce(t *testing.T) {
	c := clock.NewFake(0)
	h := &scriptedHolder{clock: c, results: []result{{Answer: true}, {Answer: true}}}
	f := New(Options{
		Self: "self", Clock: c.Clock(), Log: log.New(io.Discard),
		HoldersFunc:  func(database.Server, string) []member.VM { return []member.VM{{Name: "first"}} },
		ReservesFunc: func(database.Server, string) []member.VM { return []member.VM{{Name: "self"}} },
		OpenFunc:     func(context.Context, member.VM) (inner.Exchange, error) { return h.exchange(), nil },
	})
	r, _ := f.Remote(context.Background(), database.ConnRequest{Group: "g", Server: database.Server{ID: "p"}})
	if _, err := r.RunFunc(database.Request{ID: "x", Text: "WRITE 1 a", Timeout: 2000, IsCommit: true, ReleaseAfter: true}, nil); err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, m := range h.messages {
		texts = append(texts, m.Text)
	}
	diff(t, "texts", []string{"", "WRITE 1 a"}, texts)
	diff(t, "acquire only", []bool{true, false}, []bool{h.messages[0].AcquireOnly, h.messages[1].AcquireOnly})
}

// TestAllHoldersSuspected checks that a VM uses its own connections while all
// holders are suspected, and uses the holders again afterwards.
func TestAllHoldersSuspected(t *testing.T) {
	c := clock.NewFake(0)
	f := New(Options{
		Self: "self", Clock: c.Clock(), Log: log.New(io.Discard),
		HoldersFunc:  func(database.Server, string) []member.VM { return []member.VM{{Name: "first"}, {Name: "second"}} },
		ReservesFunc: func(database.Server, string) []member.VM { return []member.VM{{Name: "self"}} },
		OpenFunc: func(context.Context, member.VM) (inner.Exchange, error) {
			return inner.Exchange{}, errors.New("no route")
		},
		DropFunc: func(member.VM) {},
	})
	request := database.ConnRequest{Server: database.Server{ID: "p"}}
	for range maxHolderCandidates {
		r, _ := f.Remote(context.Background(), request)
		_, err := r.RunFunc(database.Request{Timeout: 100}, nil)
		diff(t, "unsent", true, database.IsUnsent(err))
	}
	r, err := f.Remote(context.Background(), request)
	diff(t, "own connections", true, r == nil && err == nil)
	c.Advance(minSuspicion)
	r, _ = f.Remote(context.Background(), request)
	diff(t, "own connections after the suspicion", false, r == nil)
}

// TestAllowedRegions guards against a holder or reserve outside the allowed regions that gets a
// statement, and against a VM that does not use its own connections though it may.
func TestAllowedRegions(t *testing.T) {
	vm := func(names ...string) (out []member.VM) {
		for _, n := range names {
			// The region is the first letter of the name.
			out = append(out, member.VM{Name: n, Region: n[:1]})
		}
		return out
	}
	for _, c := range []struct {
		name              string
		allowed           []string
		holders, reserves []member.VM
		want              string
	}{
		{"unconstrained", nil, vm("x1", "y1"), vm("y2"), "x1"},
		{"first holder outside", []string{"y"}, vm("x1", "x2", "x3", "y1"), vm("x4"), "y1"},
		{"reserve inside", []string{"y"}, vm("x1"), vm("x2", "y2"), "y2"},
		{"none inside", []string{"y"}, vm("x1"), vm("x2"), "refused"},
		{"none at all", []string{"y"}, nil, nil, "refused"},
		{"this VM is a holder outside", []string{"y"}, vm("x1", "self"), vm("x2"), "own"},
		{"this VM is a reserve outside", []string{"y"}, vm("x1"), vm("x2", "self"), "own"},
		{"a holder inside beside this reserve", []string{"y"}, vm("y1"), vm("self"), "y1"},
		{"nothing allowed", []string{"z"}, vm("x1", "y1"), vm("y2"), "refused"},
	} {
		f := New(Options{
			Self: "self", Clock: clock.System(), Log: log.New(io.Discard),
			HoldersFunc:  func(database.Server, string) []member.VM { return c.holders },
			ReservesFunc: func(database.Server, string) []member.VM { return c.reserves },
		})
		r, err := f.Remote(t.Context(), database.ConnRequest{Requester: database.Requester{Regions: regions.Only(c.allowed)}})
		got := "own"
		switch {
		case errors.Is(err, database.ErrNoVMAllowed):
			got = "refused"
		case r != nil:
			got = r.VM
			diff(t, c.name+": region", r.VM[:1], r.Region)
		}
		diff(t, c.name, c.want, got)
	}
}

// TestWriteAfterWaitAtHolder guards against a write that is sent to a holder which the constraint
// excludes since the write began to wait there.
func TestWriteAfterWaitAtHolder(t *testing.T) {
	for region, want := range map[string][]string{"x": {"", "WRITE 1 a"}, "y": {""}} {
		c := clock.NewFake(0)
		h := &scriptedHolder{clock: c, results: []result{{Answer: true}, {Answer: true}}}
		f := New(Options{
			Self: "self", Clock: c.Clock(), Log: log.New(io.Discard),
			HoldersFunc:  func(database.Server, string) []member.VM { return []member.VM{{Name: "first", Region: "x"}} },
			ReservesFunc: func(database.Server, string) []member.VM { return nil },
			OpenFunc:     func(context.Context, member.VM) (inner.Exchange, error) { return h.exchange(), nil },
		})
		requester := database.Requester{RegionsFunc: func() regions.Allowed { return regions.Only([]string{region}) }}
		r, _ := f.Remote(t.Context(), database.ConnRequest{Server: database.Server{ID: "p", Region: "x"}, Requester: requester})
		_, err := r.RunFunc(database.Request{ID: "x", Text: "WRITE 1 a", Timeout: 2000, IsCommit: true, ReleaseAfter: true}, nil)
		var texts []string
		for _, m := range h.messages {
			texts = append(texts, m.Text)
		}
		diff(t, region+": texts", want, texts)
		diff(t, region+": not sent", region == "y", database.IsUnsent(err))
		diff(t, region+": closed", region == "y", h.closed)
	}
}

// TestHolderShortOfMemory guards against a holder that is silent about a statement for which it has no
// memory, or that reports another reason than that the statement was not sent.
func TestHolderShortOfMemory(t *testing.T) {
	var sent []inner.Frame
	x := inner.Exchange{
		SendFunc:    func(f inner.Frame) error { sent = append(sent, f); return nil },
		ReceiveFunc: func() (inner.Frame, error) { return inner.Frame{}, io.EOF },
	}
	if _, err := (&Holder{}).Serve(t.Context(), x, inner.Frame{Kind: inner.KindRun}, memory.ErrShort); !errors.Is(err, io.EOF) {
		t.Errorf("the stream ended with %v", err)
	}
	var r inner.Result
	if len(sent) != 1 || inner.Decode(sent[0], &r) != nil {
		t.Fatalf("sent %v", sent)
	}
	diff(t, "reason", inner.ReasonPoolTimeout, r.UnsentReason)
}

// TestReasonOfEvacuation guards against a holder that is passed over as one that cannot reach a server,
// because it knows that an evacuation leaves no primary.
func TestReasonOfEvacuation(t *testing.T) {
	for _, err := range []error{database.ErrServerEvacuated, database.ErrEvacuated} {
		diff(t, err.Error(), inner.ReasonEvacuated, reasonOf(err))
	}
}
