package pace

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// step pushes and removes pieces at one time of a script, and gives the names of those
// that may then enter the link.
type step struct {
	At     clock.Millis
	Push   []string
	Remove []string
	Expect []string
}

// parsePiece reads "NAME ACCOUNT WEIGHT SIZE" or "NAME control SIZE".
func parsePiece(t *testing.T, text string) *Piece {
	t.Helper()
	f := strings.Fields(text)
	piece := &Piece{Value: f[0], Account: f[1], Weight: 1, Control: f[1] == "control"}
	if len(f) == 4 {
		piece.Weight, _ = strconv.Atoi(f[2])
	}
	var err error
	if piece.Size, err = strconv.Atoi(f[len(f)-1]); err != nil {
		t.Fatal(err)
	}
	return piece
}

// drain removes the pieces that may enter the link at now and returns their names.
func drain(p *Pacer, now clock.Millis) []string {
	out := []string{}
	for piece, _ := p.Next(now); piece != nil; piece, _ = p.Next(now) {
		out = append(out, piece.Value.(string))
	}
	return out
}

// TestScript plays scripts and checks which pieces enter the link when.
func TestScript(t *testing.T) {
	var cases []struct {
		Name  string
		Steps []step
	}
	scripted.Read(t, "testdata/script.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			p := New(Link{Rate: 1000, Burst: 1000}, 0)
			pieces := map[string]*Piece{}
			for _, s := range c.Steps {
				for _, text := range s.Push {
					piece := parsePiece(t, text)
					pieces[piece.Value.(string)] = piece
					p.Push(piece, s.At)
				}
				for _, name := range s.Remove {
					p.Remove(pieces[name])
				}
				if diff := cmp.Diff(s.Expect, drain(p, s.At)); diff != "" {
					t.Errorf("at %d (-want +got):\n%s", s.At, diff)
				}
			}
		})
	}
}

// TestNeverFasterThanTheLink pushes pieces at random. It checks after each step that
// no window up to now has had more bytes than rate and burst allow, and that Next returns
// a wait of 0 exactly when no piece waits. At the end every piece must come out.
func TestNeverFasterThanTheLink(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := Link{Rate: float64(rapid.IntRange(100, 100000).Draw(r, "rate")), Burst: 2000}
		p := New(l, 0)
		var now clock.Millis
		var sent float64
		minExcess := 0.0 // the lowest sent - rate × time so far
		waiting := 0
		for i := range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(r, "pause"))
			minExcess = min(minExcess, sent-l.Rate*float64(now)/1000)
			piece := &Piece{
				Account: fmt.Sprint(rapid.IntRange(1, 3).Draw(r, "account")), Weight: rapid.IntRange(1, 4).Draw(r, "weight"),
				Size: rapid.IntRange(1, 2000).Draw(r, "size"), Control: rapid.Bool().Draw(r, "control"), Value: i,
			}
			p.Push(piece, now)
			waiting++
			for {
				piece, wait := p.Next(now)
				if piece == nil {
					if (wait == 0) != (waiting == 0) {
						r.Fatalf("wait is %d with %d pieces waiting", wait, waiting)
					}
					break
				}
				waiting--
				sent += float64(piece.Size)
			}
			if excess := sent - l.Rate*float64(now)/1000 - minExcess - l.Burst; excess > 0.01 {
				r.Fatalf("%.2f bytes over rate and burst at %d", excess, now)
			}
		}
		for waiting > 0 {
			piece, wait := p.Next(now)
			now += wait
			if piece != nil {
				waiting--
			}
		}
	})
}
