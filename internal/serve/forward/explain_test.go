package forward

import (
	"errors"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// TestExplainedVM guards against an explanation that names another VM than the one that gets the
// statement, or whose candidates do not lead to it, and against one that changes what is chosen next.
func TestExplainedVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []member.VM{{Name: "x1", Region: "x"}, {Name: "self", Region: "x"}, {Name: "x2", Region: "x"}, {Name: "y1", Region: "y"}, {Name: "y2", Region: "y"}}
		all = rapid.Permutation(all).Draw(t, "order")
		holders := rapid.IntRange(0, len(all)).Draw(t, "holders")
		reserves := rapid.IntRange(holders, len(all)).Draw(t, "reserves")
		c := clock.NewFake(10_000)
		f := New(Options{
			Self: "self", Clock: c.Clock(), Log: log.New(io.Discard), DropFunc: func(member.VM) {},
			HoldersFunc:  func(database.Server, string) []member.VM { return all[:holders] },
			ReservesFunc: func(database.Server, string) []member.VM { return all[holders:reserves] },
		})
		for _, v := range all {
			switch rapid.IntRange(0, 3).Draw(t, "state of "+v.Name) {
			case 0:
				f.suspect(v, errUnresponsive)
			case 1:
				f.skip(v.Name, "p", unreachablePause)
			}
		}
		request := database.ConnRequest{Server: database.Server{ID: "p"}}
		if rapid.Bool().Draw(t, "constrained") {
			request.Requester.Regions = regions.Only([]string{"y"})
		}
		explained, explainedErr := f.Explain(request)
		remote, err := f.Remote(t.Context(), request)
		if !errors.Is(explainedErr, err) {
			t.Fatalf("error %v, explained as %v", err, explainedErr)
		}
		want := ""
		for _, v := range explained.Candidates {
			if v.Considered && (v.VM.Name == "self" || v.SuspectedFor+v.SkippedFor == 0) {
				want = v.VM.Name
				break
			}
		}
		diffFatal(t, "by the candidates", want, explained.VM)
		got := ""
		if remote != nil {
			got = remote.VM
		}
		if explained.VM == "self" {
			explained.VM = ""
		}
		diffFatal(t, "real", got, explained.VM)
	})
}

func diffFatal(t *rapid.T, what, want, got string) {
	t.Helper()
	if want != got {
		t.Fatalf("%s: VM %q, explained as %q", what, want, got)
	}
}
