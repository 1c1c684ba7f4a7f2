package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/core/statement"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
)

// stalledGroup returns a group in which r leads term 2 without a commit, p is down and q lacks
// what this VM acknowledged at p, up to position 7 of term 1. A second VM sees replication stalled.
func stalledGroup(t *testing.T) (*fakeGroup, *Group) {
	t.Helper()
	f := &fakeGroup{claimable: true, leading: "r", unreachable: map[string]bool{"p": true}, logEnds: map[string]floor.Position{"p": 7, "q": 2, "r": 7}}
	g := f.group(t, 4)
	if err := g.recordCommit("p", floor.ReplicationPosition{Term: 1, Position: 7}, g.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	f.runTicks(g, testTimeout, g.Ready)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.committedAt, g.leaderChangedAt = clock.DistantPast, g.leaderChangedAt-2*stallTimeout
	return f, g
}

// TestEarlierTermIsNotForgotten guards against the loss of commits of the term before, if nothing was acknowledged in the term that is replaced.
func TestEarlierTermIsNotForgotten(t *testing.T) {
	f, g := stalledGroup(t)
	stalled := inner.GroupView{Group: "g", Term: 2, Leader: "r", ProofAge: -1, ReplicationStalled: true}
	g.MergeView(Sender{VM: "vm2", Process: 1}, stalled, nil)
	f.runTicks(g, testTimeout, func() bool {
		g.MergeView(Sender{VM: "vm2", Process: 1}, stalled, nil)
		_, promoted := f.claimCommands()
		return len(promoted) > 0
	})
	_, promoted := f.claimCommands()
	if diff := cmp.Diff([]string{"r"}, promoted); diff != "" {
		t.Errorf("promoted servers (-want +got):\n%s", diff)
	}
}

// TestReportsEarlierTerm guards against a VM that no longer reports what it acknowledged once a later term has begun.
func TestReportsEarlierTerm(t *testing.T) {
	f := &fakeGroup{}
	other, g := f.group(t, 4), f.group(t, 4)
	acknowledged := floor.ReplicationPosition{Term: 1, Position: 7}
	if err := other.recordCommit("p", acknowledged, other.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	other.recordStatus("r", statement.ReplicationStatus{Primary: true, Term: 2, Sealed: 2, Received: acknowledged}, other.options.Clock.Now())
	other.releaseTerm(5)
	g.MergeView(Sender{VM: "vm2", Process: 1}, other.View(), nil)
	if diff := cmp.Diff(acknowledged, g.acknowledgedPosition()); diff != "" {
		t.Errorf("acknowledged (-want +got):\n%s", diff)
	}
}

// TestReleaseSurvivesNewsOfPrimary guards against a release that ends, and a report that is dropped, when a VM learns again which server leads the released term.
func TestReleaseSurvivesNewsOfPrimary(t *testing.T) {
	f := &fakeGroup{}
	g := f.group(t, 4)
	f.runTicks(g, testTimeout, g.Ready)
	acknowledged := floor.ReplicationPosition{Term: 1, Position: 7}
	if err := g.recordCommit("p", acknowledged, g.options.Clock.Now()); err != nil {
		t.Fatal(err)
	}
	g.releaseTerm(5)
	g.recordStatus("p", statement.ReplicationStatus{Term: 1, Sealed: 1, Received: acknowledged}, g.options.Clock.Now())
	g.MergeView(Sender{VM: "vm2", Process: 1}, inner.GroupView{Group: "g", Term: 1, Leader: "p", ProofAge: -1}, func(age clock.Millis) clock.Millis { return -age })
	if diff := cmp.Diff(false, g.View().ReleaseEnded); diff != "" {
		t.Errorf("release ended (-want +got):\n%s", diff)
	}
}
