// Package capacity measures on this machine how the cost of each part of the proxy grows
// with the size of an installation, and extrapolates it to the size of the design.
package capacity

import (
	"context"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

// The size of the installation that the design is for.
const (
	VMs                        = 900
	Zones                      = 6
	Databases                  = 1000
	Servers                    = 3 * Databases
	CallerConnections          = 2_400_000
	StatementsPerSecond        = 510_000
	ConfigurationChangesPerDay = 4300
	PrimaryChangesPerDay       = 2
	// StoreReadsPerSecond is the rate of reads that the table or object store can answer.
	StoreReadsPerSecond = 2000
	// VMReplacementsPerDay counts VMs that fail as well as planned replacements.
	VMReplacementsPerDay = 155
)

// The upper bounds of what control traffic may cost one VM.
const (
	// TargetCPU is in percent of one core.
	TargetCPU = 2.8
	// TargetMemory is in bytes.
	TargetMemory = 32 << 20
	// TargetBytesPerSecond counts bytes sent and received, with their overhead.
	TargetBytesPerSecond = 9000
)

// Report holds every measurement.
type Report struct {
	Control     []ControlCost   `json:"control"`
	Connections ConnectionCost  `json:"link"`
	Watchers    []WatcherCost   `json:"watchers"`
	Documents   []DocumentCost  `json:"documents"`
	Callers     []CallerMemory  `json:"callers"`
	Statements  []StatementCost `json:"paths"`
	Store       StoreLoad       `json:"store"`
}

// Measure takes every measurement, one after another, up to the first error. It takes
// over two minutes, and waits for most of them.
func Measure(ctx context.Context) (Report, error) {
	var r Report
	var err error
	r.Control = measureControl()
	if r.Documents, err = measureDocuments(); err != nil {
		return r, err
	}
	if r.Connections, err = measureConnectionCost(ctx); err != nil {
		return r, err
	}
	if r.Watchers, err = measureWatchers(ctx); err != nil {
		return r, err
	}
	if r.Callers, r.Statements, err = measureEntryProxy(ctx); err != nil {
		return r, err
	}
	r.Store, err = measureStore(ctx)
	return r, err
}

// cpuTime returns the CPU time that this process has used, or 0 if it is not known.
func cpuTime() time.Duration {
	d, err := cost.CPUTime()
	if err != nil {
		return 0
	}
	return d
}
