package failover

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// TestPromotionSafety checks, from scripts of sealed servers, whether a promotion is
// safe and which server is promoted.
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
			var servers []Server
			for _, s := range p.Servers {
				servers = append(servers, Server{
					ID: s.ID, FormerPrimary: s.Former, Sealed: s.Sealed, Leaving: s.Leaving,
					LogEnd: floor.ReplicationPosition{Term: 1, Position: s.Position},
				})
			}
			if diff := cmp.Diff(p.Safe, SafeToPromote(servers, p.Synced)); diff != "" {
				t.Errorf("safe (-want +got):\n%s", diff)
			}
			if p.Target == "" {
				return
			}
			if diff := cmp.Diff(p.Target, PromotionTarget(servers)); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClaimDelays checks whether a VM may claim and how long it waits.
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
			votes := LossVotes{Self: "a", Alive: p.VMs, Lost: p.Lost, KnownVMs: p.Known, LastHolder: p.Holder}
			delay, claims := votes.ClaimDelay("g")
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
		t.Errorf("takeovers (-want +got):\n%s", diff)
	}
}

// TestNothingAcknowledgedIsLost writes to a group with random numbers of replicas and
// of synchronous replicas, seals servers in random order, and checks that a server
// promoted by a safe claim has every commit that was or will be acknowledged.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		syncReplicas := rapid.IntRange(1, 3).Draw(t, "synced")
		servers := []Server{{ID: "p", FormerPrimary: true}}
		for i := range rapid.IntRange(syncReplicas, 4).Draw(t, "replicas") {
			servers = append(servers, Server{ID: string(rune('q' + i))})
		}
		acknowledged := floor.ReplicationPosition{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "seal") {
				i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
				servers[i].Sealed = true
			} else if !servers[0].Sealed {
				acknowledged = commit(t, servers, syncReplicas, acknowledged)
			}
			if !SafeToPromote(servers, syncReplicas) {
				continue
			}
			for _, m := range servers {
				if m.ID == PromotionTarget(servers) && !m.LogEnd.Covers(acknowledged) {
					t.Fatalf("%s at %s is promoted, %s was acknowledged: %v", m.ID, m.LogEnd, acknowledged, servers)
				}
			}
		}
	})
}

// commit writes one entry, which reaches a random subset of the unsealed replicas,
// and returns the last position that was acknowledged.
func commit(t *rapid.T, servers []Server, syncReplicas int, acknowledged floor.ReplicationPosition) floor.ReplicationPosition {
	m := floor.ReplicationPosition{Term: 1, Position: servers[0].LogEnd.Position + 1}
	servers[0].LogEnd = m
	received := 0
	for i := 1; i < len(servers); i++ {
		if !servers[i].Sealed && rapid.Bool().Draw(t, "reaches") {
			servers[i].LogEnd = m
			received++
		}
	}
	if received >= syncReplicas {
		return m
	}
	return acknowledged
}
