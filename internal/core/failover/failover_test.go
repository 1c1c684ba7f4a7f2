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
// safe and, if the script names a target, which server is promoted.
func TestPromotionSafety(t *testing.T) {
	var scripts []struct {
		Name         string `yaml:"name"`
		SyncReplicas int    `yaml:"synced"`
		Servers      []struct {
			ID            string         `yaml:"id"`
			FormerPrimary bool           `yaml:"former"`
			Sealed        bool           `yaml:"sealed"`
			Leaving       bool           `yaml:"leaving"`
			LeavingSince  clock.Millis   `yaml:"since"`
			Evacuated     bool           `yaml:"evacuated"`
			Position      floor.Position `yaml:"position"`
		} `yaml:"servers"`
		Acknowledged floor.Position `yaml:"acknowledged"`
		Complete     bool           `yaml:"complete"`
		Departed     floor.Position `yaml:"departed"`
		Unknown      bool           `yaml:"unknown"`
		Removed      floor.Position `yaml:"removed"`
		NoRemoved    bool           `yaml:"removedunknown"`
		Safe         bool           `yaml:"safe"`
		Target       *string        `yaml:"target"`
	}
	scripted.Read(t, "testdata/claims.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			var servers []Server
			for _, s := range script.Servers {
				servers = append(servers, Server{
					ID: s.ID, FormerPrimary: s.FormerPrimary, Sealed: s.Sealed, Leaving: s.Leaving, LeavingSince: s.LeavingSince, Evacuated: s.Evacuated,
					LogEnd: floor.ReplicationPosition{Term: 1, Position: s.Position},
				})
			}
			if diff := cmp.Diff(script.Safe, SafeToPromote(servers, script.SyncReplicas)); diff != "" {
				t.Errorf("safe (-want +got):\n%s", diff)
			}
			if script.Target == nil {
				return
			}
			acknowledged := Acknowledged{Complete: script.Complete, DepartedUnknown: script.Unknown, RemovedUnknown: script.NoRemoved}
			if script.Acknowledged > 0 {
				acknowledged.Position = floor.ReplicationPosition{Term: 1, Position: script.Acknowledged}
			}
			if script.Departed > 0 {
				acknowledged.Departed = floor.ReplicationPosition{Term: 1, Position: script.Departed}
			}
			if script.Removed > 0 {
				acknowledged.Removed = floor.ReplicationPosition{Term: 1, Position: script.Removed}
			}
			if diff := cmp.Diff(*script.Target, PromotionTarget(servers, script.SyncReplicas, acknowledged)); diff != "" {
				t.Errorf("target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClaimDelays checks whether a VM may claim and how long it waits.
func TestClaimDelays(t *testing.T) {
	var scripts []struct {
		Name       string        `yaml:"name"`
		VMs        []string      `yaml:"vms"`
		Lost       []string      `yaml:"lost"`
		Known      int           `yaml:"known"`
		Holder     string        `yaml:"holder"`
		Claims     bool          `yaml:"claims"`
		Candidates []string      `yaml:"candidates"`
		MinDelay   clock.Millis  `yaml:"least"`
		MaxDelay   *clock.Millis `yaml:"most"`
		LogUnknown bool          `yaml:"logunknown"`
	}
	scripted.Read(t, "testdata/turns.yaml", &scripts)
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			votes := LossVotes{Self: "a", Alive: script.VMs, Lost: script.Lost, Candidates: script.Candidates, KnownVMs: script.Known, LastHolder: script.Holder, LogUnknown: script.LogUnknown}
			delay, claims := votes.ClaimDelay("g")
			if diff := cmp.Diff(script.Claims, claims); diff != "" {
				t.Errorf("claims (-want +got):\n%s", diff)
			}
			if delay < script.MinDelay || script.MaxDelay != nil && delay > *script.MaxDelay {
				t.Errorf("the VM waits %d ms, want at least %d and at most %v", delay, script.MinDelay, script.MaxDelay)
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
			for _, s := range servers {
				if s.ID == PromotionTarget(servers, syncReplicas, Acknowledged{}) && !s.LogEnd.Covers(acknowledged) {
					t.Fatalf("%s at %s would be promoted, but %s was acknowledged; the servers are %v", s.ID, s.LogEnd, acknowledged, servers)
				}
			}
		}
	})
}

// TestNewServerLosesNothing guards against the loss of commits that only a server unknown to the claimant has received.
func TestNewServerLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{{ID: "p", FormerPrimary: true}, {ID: "q"}, {ID: "r"}}
		newServer := floor.ReplicationPosition{}
		var acknowledged Acknowledged
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"commit", "commit", "commit to the new server", "commit to the new server", "seal", "release"}).Draw(t, "step") {
			case "commit":
				if !servers[0].Sealed {
					position := commit(t, servers, 1, floor.ReplicationPosition{})
					if !acknowledged.Complete {
						acknowledged.Position = acknowledged.Position.Max(position)
					}
				}
			case "commit to the new server":
				if !servers[0].Sealed {
					newServer = floor.ReplicationPosition{Term: 1, Position: servers[0].LogEnd.Position + 1}
					servers[0].LogEnd = newServer
					if !acknowledged.Complete {
						acknowledged.Position = newServer
					}
				}
			case "seal":
				servers[rapid.IntRange(0, 2).Draw(t, "server")].Sealed = true
			case "release":
				acknowledged.Complete = true
			}
			target := PromotionTarget(servers, 1, acknowledged)
			if !acknowledged.Complete || !SafeToPromote(servers, 1) {
				continue
			}
			for _, s := range servers {
				if s.ID == target && !s.LogEnd.Covers(acknowledged.Position) {
					t.Fatalf("%s at %s would be promoted, but %s was acknowledged; the servers are %v", s.ID, s.LogEnd, acknowledged.Position, servers)
				}
			}
		}
	})
}

// TestEndedProcessesLoseNothing guards against the loss of commits acknowledged by processes that end before they could report them.
func TestEndedProcessesLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []Server{{ID: "p", FormerPrimary: true}, {ID: "q"}, {ID: "r"}}
		var reported, ended, committed floor.ReplicationPosition
		var departed Acknowledged
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"commit", "commit", "commit", "end", "sample", "seal"}).Draw(t, "step") {
			case "commit":
				if !servers[0].Sealed {
					position := commit(t, servers, 1, floor.ReplicationPosition{})
					committed, reported = committed.Max(position), reported.Max(position)
				}
			case "end":
				// The process of the only VM restarts, which then reports nothing.
				ended, reported = committed, floor.ReplicationPosition{}
				departed = Acknowledged{DepartedUnknown: true}
			case "sample":
				if departed.DepartedUnknown && !servers[0].Sealed {
					departed = Acknowledged{Departed: servers[0].LogEnd}
				}
			case "seal":
				servers[rapid.IntRange(0, 2).Draw(t, "server")].Sealed = true
			}
			if !departed.DepartedUnknown && !departed.Departed.Covers(ended) {
				t.Fatalf("%s does not cover %s", departed.Departed, ended)
			}
			if !SafeToPromote(servers, 1) {
				continue
			}
			departed.Position, departed.Complete = reported, true
			target := PromotionTarget(servers, 1, departed)
			for _, s := range servers {
				if s.ID == target && !s.LogEnd.Covers(committed) {
					t.Fatalf("%s at %s would be promoted, but %s was acknowledged; the servers are %v", s.ID, s.LogEnd, committed, servers)
				}
			}
		}
	})
}

// commit writes one entry, which reaches a random subset of the unsealed replicas,
// and returns the last position that was acknowledged.
func commit(t *rapid.T, servers []Server, syncReplicas int, acknowledged floor.ReplicationPosition) floor.ReplicationPosition {
	position := floor.ReplicationPosition{Term: 1, Position: servers[0].LogEnd.Position + 1}
	servers[0].LogEnd = position
	received := 0
	for i := 1; i < len(servers); i++ {
		if !servers[i].Sealed && rapid.Bool().Draw(t, "reaches") {
			servers[i].LogEnd = position
			received++
		}
	}
	if received >= syncReplicas {
		return position
	}
	return acknowledged
}
