package limit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/base/invariant"
	"github.com/sycamoredoor/sycamoredoor/internal/core/limit"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/outcome"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
)

// testCluster is a set of limiters on the system clock that all act on the same
// version of the member set.
type testCluster struct {
	limiters []*Limiter
	vms      []member.VM
	document *document.Document
	// memberSet is the version that all VMs act on; mayAct is false while none
	// may act.
	memberSet atomic.Pointer[memberSet]
	mayAct    atomic.Bool
	// bytes is the size of all questions and answers as encoded.
	bytes atomic.Int64
}

type memberSet struct {
	version uint64
	members []member.VM
}

// newTestCluster runs limiters on VMs vm0 and up for accounts a0 and up, whose rate
// and burst are given as YAML fields.
func newTestCluster(t testing.TB, vms, accounts int, limits string) *testCluster {
	t.Helper()
	t.Cleanup(invariant.SetHandler(func(n invariant.Name, detail string) { t.Errorf("invariant %s: %s", n, detail) }))
	text := "accounts:\n"
	for i := range accounts {
		text += fmt.Sprintf("  - {name: a%d, %s, keys: []}\n", i, limits)
	}
	d, err := document.Parse(1, map[string]string{
		document.SectionDatabases: "databases: []\n", document.SectionAccounts: text, document.SectionRoutes: "routes: []\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	b := &testCluster{document: d}
	b.mayAct.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	for i := range vms {
		b.vms = append(b.vms, member.VM{Name: fmt.Sprint("vm", i)})
	}
	b.memberSet.Store(&memberSet{version: 1, members: b.vms})
	for _, vm := range b.vms {
		b.limiters = append(b.limiters, New(Options{
			VM: vm, Clock: clock.System(), MembersFunc: b.members, AcceptedFunc: func() uint64 { return b.memberSet.Load().version },
			DocumentFunc: func() *document.Document { return b.document }, AskFunc: b.ask,
		}))
	}
	for _, l := range b.limiters {
		go l.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, l := range b.limiters {
			<-l.Done()
		}
	})
	return b
}

func (b *testCluster) members() (uint64, []member.VM, bool) {
	s := b.memberSet.Load()
	return s.version, s.members, b.mayAct.Load()
}

func (b *testCluster) ask(_ context.Context, vm member.VM, a inner.Question) (inner.Answer, error) {
	for i, v := range b.vms {
		if v.Name == vm.Name {
			out := b.limiters[i].Serve(a)
			b.bytes.Add(int64(len(inner.Encode(inner.KindQuestion, a).Body) + len(inner.Encode(inner.KindAnswer, out).Body)))
			if out.Error != "" {
				return out, errors.New(out.Error)
			}
			return out, nil
		}
	}
	return inner.Answer{}, errors.New("no such VM")
}

// TestRateAcrossVMs exceeds the rate of one account through three VMs and changes the
// member set twice: over all VMs the account gets at most its rate and burst, and at
// least about half of its rate; an account within its rate is not refused.
func TestRateAcrossVMs(t *testing.T) {
	b := newTestCluster(t, 3, 2, "rate: 200, burst: 20")
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	start := time.Now()
	var granted, refused atomic.Int64
	var callers sync.WaitGroup
	for i := range 30 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if b.limiters[i%3].Take(ctx, "a0") == nil {
					granted.Add(1)
				}
			}
		})
	}
	callers.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			if err := b.limiters[i%3].Take(ctx, "a1"); err != nil && ctx.Err() == nil {
				refused.Add(1)
				t.Logf("refused after %v: %v", time.Since(start), err)
			}
			time.Sleep(20 * time.Millisecond)
			switch i {
			case 50:
				b.memberSet.Store(&memberSet{version: 2, members: b.vms[1:]})
			case 55:
				b.memberSet.Store(&memberSet{version: 3, members: b.vms})
			}
		}
	})
	callers.Wait()
	maxStatements := int64(time.Since(start).Seconds()*200*1.01) + 20
	if n := granted.Load(); n > maxStatements || n < 400 {
		t.Errorf("an account over its rate ran %d statements; it may run %d", n, maxStatements)
	}
	if diff := cmp.Diff(int64(0), refused.Load()); diff != "" {
		t.Errorf("refusals of an account within its rate (-want +got):\n%s", diff)
	}
}

// TestOwnerTakeover sends reports to a new owner. The owner must grant nothing before its
// version is accepted, and refuse a VM that is no member. Until every member has reported
// with the survey's ID, it must grant a VM only the part that the VM already holds. Run is
// not called, so that all reports come from the test.
func TestOwnerTakeover(t *testing.T) {
	b := newTestCluster(t, 1, 1, "rate: 10, burst: 100")
	fake, accepted := clock.NewFake(0), uint64(0)
	o := b.limiters[0].options
	o.Clock, o.AcceptedFunc = fake.Clock(), func() uint64 { return accepted }
	o.MembersFunc = func() (uint64, []member.VM, bool) { return 7, append([]member.VM{{Name: "other"}}, b.vms...), true }
	l := New(o)
	number, surveyID := uint64(0), uint64(0)
	// ask sends one report and returns the granted rate and the reported one, or the error.
	ask := func(from string, id uint64, part limit.Part) string {
		number++
		r := limit.Report{Account: "a0", Number: number, Part: part, Demand: 4, WaitingStatements: 1}
		a := l.Serve(inner.Question{Share: &inner.ShareRequest{From: from, Process: from, Version: 7, SurveyID: id, Reports: []limit.Report{r}}})
		fake.Advance(200)
		if len(a.Grants) == 0 {
			return "none " + a.Error
		}
		return fmt.Sprintf("rate %.2f of %.2f", a.Grants[0].Rate, part.Rate)
	}
	heldPart := limit.Part{Rate: 4, Burst: 4}
	got := []string{ask("other", 0, heldPart), ask("gone", 0, heldPart)}
	accepted = 7
	got = append(got, ask("other", 0, heldPart))
	surveyID = l.survey.id
	got = append(got, ask("vm0", 0, limit.Part{}), ask("other", surveyID, heldPart), ask("vm0", surveyID+2, limit.Part{}), ask("vm0", surveyID, limit.Part{}), ask("vm0", 0, limit.Part{}))
	want := []string{
		"none ", "none VM gone is no member", "rate 4.00 of 4.00", "rate 0.00 of 0.00", "rate 4.00 of 4.00",
		"rate 0.00 of 0.00", "rate 0.00 of 0.00", "rate 3.00 of 0.00",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestSingleVM checks that a VM refuses a statement while it may not act and lets one run
// again once it may, that an account without a limit is not refused, and that Release
// returns the VM's part.
func TestSingleVM(t *testing.T) {
	b := newTestCluster(t, 1, 1, "rate: 1000, burst: 100")
	ctx := context.Background()
	if err := b.limiters[0].Take(ctx, "a0"); err != nil {
		t.Fatal(err)
	}
	b.mayAct.Store(false)
	short, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	var refusal *outcome.NotRun
	if err := b.limiters[0].Take(short, "a0"); !errors.As(err, &refusal) {
		t.Errorf("a VM that may not act let a statement run: %v", err)
	}
	b.mayAct.Store(true)
	if err := b.limiters[0].Take(ctx, "a0"); err != nil {
		t.Error(err)
	}
	if err := b.limiters[0].Take(ctx, "nobody"); err != nil {
		t.Errorf("an account without a limit: %v", err)
	}
	l := b.limiters[0]
	l.Release(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if diff := cmp.Diff(0, l.owners["a0"].Holders()); diff != "" {
		t.Errorf("VMs that hold a part (-want +got):\n%s", diff)
	}
}

// BenchmarkTake measures Take for a statement that finds a token.
func BenchmarkTake(b *testing.B) {
	s := newTestCluster(b, 1, 1, "rate: 10000000, burst: 10000000")
	ctx := context.Background()
	if err := s.limiters[0].Take(ctx, "a0"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	for b.Loop() {
		if err := s.limiters[0].Take(ctx, "a0"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRenewal measures the bytes per second between a VM and the owner of its
// accounts, here the same VM, while each account runs a statement every 100 ms.
func BenchmarkRenewal(b *testing.B) {
	for _, accounts := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s := newTestCluster(b, 1, accounts, "rate: 1000, burst: 100")
			ctx, cancel := context.WithCancel(context.Background())
			var callers sync.WaitGroup
			for i := range accounts {
				callers.Go(func() {
					for ctx.Err() == nil {
						_ = s.limiters[0].Take(ctx, fmt.Sprint("a", i))
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
			time.Sleep(3 * time.Second)
			before := s.bytes.Load()
			for b.Loop() {
				time.Sleep(5 * time.Second)
			}
			b.ReportMetric(float64(s.bytes.Load()-before)/float64(b.N)/5, "bytes/s")
			cancel()
			callers.Wait()
		})
	}
}
