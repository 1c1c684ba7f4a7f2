package failover

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestPromotionSafety plays what is sealed, whether that is safe, and who is promoted.
func TestPromotionSafety(t *testing.T) {
	var scripts []struct {
		Name    string `yaml:"name"`
		Synced  int    `yaml:"synced"`
		Servers []struct {
			ID       string         `yaml:"id"`
			Former   bool           `yaml:"former"`
			Sealed   bool           `yaml:"sealed"`
			Leaving  bool           `yaml:"leaving"`
			Position floor.Position `yaml:"position"`
		} `yaml:"servers"`
		Safe   bool   `yaml:"safe"`
		Target string `yaml:"target"`
	}
	scripted.Read(t, "testdata/claims.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			var members []Server
			for _, s := range p.Servers {
				members = append(members, Server{
					ID: s.ID, Former: s.Former, Sealed: s.Sealed, Leaving: s.Leaving,
					Log: floor.ReplicationPosition{Term: 1, Position: s.Position},
				})
			}
			if diff := cmp.Diff(p.Safe, SafeToPromote(members, p.Synced)); diff != "" {
				t.Errorf("safe (-want +got):\n%s", diff)
			}
			if p.Target == "" {
				return
			}
			if diff := cmp.Diff(p.Target, PromotionTarget(members)); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClaimDelays plays which VM may claim and when.
func TestClaimDelays(t *testing.T) {
	var scripts []struct {
		Name   string        `yaml:"name"`
		VMs    []string      `yaml:"vms"`
		Lost   []string      `yaml:"lost"`
		Known  int           `yaml:"known"`
		Holder string        `yaml:"holder"`
		Claims bool          `yaml:"claims"`
		Least  clock.Millis  `yaml:"least"`
		Most   *clock.Millis `yaml:"most"`
	}
	scripted.Read(t, "testdata/turns.yaml", &scripts)
	for _, p := range scripts {
		t.Run(p.Name, func(t *testing.T) {
			s := LossVotes{Self: "a", Alive: p.VMs, Lost: p.Lost, KnownVMs: p.Known, LastHolder: p.Holder}
			delay, claims := s.ClaimDelay("g")
			if diff := cmp.Diff(p.Claims, claims); diff != "" {
				t.Errorf("claims (-want +got):\n%s", diff)
			}
			if delay < p.Least || p.Most != nil && delay > *p.Most {
				t.Errorf("the VM waits %d ms, want %d and at most %v", delay, p.Least, p.Most)
			}
		})
	}
}

// TestClaimTakeover checks when a claim may be taken over.
func TestClaimTakeover(t *testing.T) {
	c := Claim{Holder: "b", ClaimedAt: 1000}
	got := []bool{
		Claim{}.CanTakeOver("a", 0, false), c.CanTakeOver("b", 1000, true),
		c.CanTakeOver("a", 1000+LiveHolderTimeout-1, true), c.CanTakeOver("a", 1000+LiveHolderTimeout, true),
		c.CanTakeOver("a", 1000+SilentHolderTimeout-1, false), c.CanTakeOver("a", 1000+SilentHolderTimeout, false),
	}
	if diff := cmp.Diff([]bool{true, true, false, true, false, true}, got); diff != "" {
		t.Errorf("takes (-want +got):\n%s", diff)
	}
}

// TestNothingAcknowledgedIsLost writes to a group with any number of replicas and
// any synchronous number, seals servers in any order, and checks that whatever a
// safe claim promotes has every commit that was or will be acknowledged.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		synced := rapid.IntRange(1, 3).Draw(t, "synced")
		members := []Server{{ID: "p", Former: true}}
		for i := range rapid.IntRange(synced, 4).Draw(t, "replicas") {
			members = append(members, Server{ID: string(rune('q' + i))})
		}
		acknowledged := floor.ReplicationPosition{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "seal") {
				i := rapid.IntRange(0, len(members)-1).Draw(t, "server")
				members[i].Sealed = true
			} else if !members[0].Sealed {
				acknowledged = commit(t, members, synced, acknowledged)
			}
			if !SafeToPromote(members, synced) {
				continue
			}
			for _, m := range members {
				if m.ID == PromotionTarget(members) && !m.Log.Covers(acknowledged) {
					t.Fatalf("%s at %s is promoted, %s was acknowledged: %v", m.ID, m.Log, acknowledged, members)
				}
			}
		}
	})
}

// commit writes one entry, which reaches any of the replicas that are not sealed,
// and returns the last that was acknowledged.
func commit(t *rapid.T, members []Server, synced int, acknowledged floor.ReplicationPosition) floor.ReplicationPosition {
	m := floor.ReplicationPosition{Term: 1, Position: members[0].Log.Position + 1}
	members[0].Log = m
	have := 0
	for i := 1; i < len(members); i++ {
		if !members[i].Sealed && rapid.Bool().Draw(t, "reaches") {
			members[i].Log = m
			have++
		}
	}
	if have >= synced {
		return m
	}
	return acknowledged
}
