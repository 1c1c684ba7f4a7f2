package failover

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestTargetAfterOrder checks, from scripts, which server is promoted while an order may take effect.
func TestTargetAfterOrder(t *testing.T) {
	var scripts []struct {
		Name    string         `yaml:"name"`
		Ordered string         `yaml:"ordered"`
		End     floor.Position `yaml:"end"`
		Servers []struct {
			ID            string         `yaml:"id"`
			FormerPrimary bool           `yaml:"former"`
			Sealed        bool           `yaml:"sealed"`
			Position      floor.Position `yaml:"position"`
		} `yaml:"servers"`
		Acknowledged floor.Position `yaml:"acknowledged"`
		Complete     bool           `yaml:"complete"`
		Target       string         `yaml:"target"`
		Waits        bool           `yaml:"waits"`
	}
	scripted.Read(t, "testdata/orders.yaml", &scripts)
	at := func(p floor.Position) floor.ReplicationPosition {
		return floor.ReplicationPosition{Term: 1, Position: p}
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			var servers []Server
			for _, s := range script.Servers {
				servers = append(servers, Server{ID: s.ID, FormerPrimary: s.FormerPrimary, Sealed: s.Sealed, LogEnd: at(s.Position)})
			}
			c := Claim{Holder: "a", Term: 1}
			if script.Ordered != "" {
				c = c.WithOrder(script.Ordered, at(script.End))
			}
			target, waits := c.PromotionTarget(servers, 1, Acknowledged{Position: at(script.Acknowledged), Complete: script.Complete})
			if diff := cmp.Diff([]any{script.Target, script.Waits}, []any{target, waits}); diff != "" {
				t.Errorf("target, and whether the ordered server is awaited (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOrderIsInherited checks what the next claim takes from one with an order to promote or with a needed position.
func TestOrderIsInherited(t *testing.T) {
	end := floor.ReplicationPosition{Term: 1, Position: 5}
	ordered := Claim{Holder: "a", Term: 1, Former: "p", ClaimedAt: 1000}.WithOrder("q", end)
	inherited := Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: 4700, Target: "q", OrderedAt: 1000, OrderedEnd: end}
	needed := Claim{Holder: "a", Term: 1, Former: "p", ClaimedAt: 1000}.WithNeeded(end)
	const expired = 1000 + OrderTimeout // and NeededTimeout
	for name, c := range map[string]struct {
		old  Claim
		term floor.Term
		now  clock.Millis
		want Claim
		may  bool
	}{
		"none":                      {old: Claim{Holder: "a", Term: 1, ClaimedAt: 1000}, term: 1, now: 4700, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: 4700}, may: true},
		"of the same term":          {old: ordered, term: 1, now: 4700, want: inherited, may: true},
		"inherited twice":           {old: inherited, term: 1, now: expired - 1, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: expired - 1, Target: "q", OrderedAt: 1000, OrderedEnd: end}, may: true},
		"expired":                   {old: inherited, term: 1, now: expired, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: expired}, may: true},
		"of an earlier term":        {old: ordered, term: 2, now: expired - 1, may: false},
		"of an earlier term, ended": {old: ordered.WithoutOrder(), term: 2, now: 4700, want: Claim{Holder: "b", Term: 2, Former: "p", ClaimedAt: 4700}, may: true},
		"of a later term":           {old: ordered, term: 0, now: 4700, may: false},
		"needed position":           {old: needed, term: 1, now: expired - 1, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: expired - 1, Needed: end, NeededAt: 1000}, may: true},
		"needed position, expired":  {old: needed, term: 1, now: expired, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: expired}, may: true},
		"needed in another term":    {old: needed, term: 2, now: 4700, want: Claim{Holder: "b", Term: 2, Former: "p", ClaimedAt: 4700}, may: true},
		"without its time":          {old: Claim{Holder: "a", Term: 1, Target: "q", ClaimedAt: 1000}, term: 1, now: 4700, want: Claim{Holder: "b", Term: 1, Former: "p", ClaimedAt: 4700, Target: "q", OrderedAt: 1000}, may: true},
	} {
		t.Run(name, func(t *testing.T) {
			got, may := c.old.WithHolder("b", c.term, "p", c.now)
			if diff := cmp.Diff(c.may, may); diff != "" {
				t.Errorf("may claim (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, got); may && diff != "" {
				t.Errorf("claim (-want +got):\n%s", diff)
			}
		})
	}
}
