package freshness

import (
	"math/rand/v2"
	"testing"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// storelessCase is a case of nostore.yaml, which describes the fields.
type storelessCase struct {
	Name     string       `yaml:"name"`
	VMs      int          `yaml:"vms"`
	Reach    float64      `yaml:"reach"`
	Deadline clock.Millis `yaml:"deadline"`
	Hop      clock.Millis `yaml:"hop"`
	Length   clock.Millis `yaml:"length"`
	Oldest   clock.Millis `yaml:"oldest"`
	Calls    float64      `yaml:"calls"`
}

// storelessVM is a follower of a simulated installation whose relays do not reach the store.
type storelessVM struct {
	follower    Follower
	reaches     bool
	confirmedAt clock.Millis
	// pollEnd is the end of the poll in progress, or 0.
	pollEnd clock.Millis
}

// storelessInstallation is an installation whose relays reach the store until time 0.
type storelessInstallation struct {
	bounds Bounds
	hop    clock.Millis
	vms    []storelessVM
	// confirmedAt is the latest confirmation by any VM. The others have it hop later, at
	// reportedAt.
	confirmedAt clock.Millis
	reportedAt  clock.Millis
	calls       int
	// oldest is the oldest copy of a VM that reaches the store.
	oldest clock.Millis
}

const simulatedStep = clock.Millis(50)

// step lets a VM act at time now.
func (in *storelessInstallation) step(v *storelessVM, now clock.Millis) {
	if now >= in.reportedAt {
		v.confirmedAt = max(v.confirmedAt, in.confirmedAt)
	}
	if v.reaches {
		in.oldest = max(in.oldest, now-v.confirmedAt)
	}
	v.follower = v.follower.WithAge(now-v.confirmedAt, len(in.vms), now)
	switch {
	case v.pollEnd > now || !v.follower.MayCall(now) || v.pollEnd == 0 && !v.follower.Reads(now):
		return
	case v.pollEnd == 0 || !v.reaches:
		in.calls++
	}
	if !v.reaches {
		v.follower = v.follower.WithFailure(now)
		return
	}
	v.follower, v.confirmedAt = v.follower.WithSuccess(), now
	if now-in.confirmedAt > in.hop {
		in.confirmedAt, in.reportedAt = now, now+in.hop
	}
	v.pollEnd = 0
	if v.follower.Reads(now) {
		in.calls++
		v.pollEnd = now + in.bounds.PollWait
	}
}

// TestRelaysWithoutStore guards against copies older than the deadline, and against a storm of calls, when the relays of all zones lose the store.
func TestRelaysWithoutStore(t *testing.T) {
	var cases []storelessCase
	scripted.Read(t, "testdata/nostore.yaml", &cases)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 1))
				in := &storelessInstallation{bounds: NewBounds(tc.Deadline), hop: tc.Hop}
				for range tc.VMs {
					in.vms = append(in.vms, storelessVM{follower: NewFollower(in.bounds, random.Float64()), reaches: random.Float64() < tc.Reach})
				}
				for now := simulatedStep; now <= tc.Length; now += simulatedStep {
					for i := range in.vms {
						in.step(&in.vms[i], now)
					}
				}
				rate := float64(in.calls) / float64(tc.VMs) / (float64(tc.Length) / float64(clock.Second))
				t.Logf("seed %d: oldest copy %d ms, %.3f calls a second and VM", seed, in.oldest, rate)
				if in.oldest > tc.Oldest {
					t.Errorf("seed %d: a copy was %d ms old, want at most %d", seed, in.oldest, tc.Oldest)
				}
				if rate > tc.Calls {
					t.Errorf("seed %d: %.3f calls a second and VM, want at most %.3f", seed, rate, tc.Calls)
				}
			}
		})
	}
}
