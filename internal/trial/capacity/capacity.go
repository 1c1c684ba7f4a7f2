// Package capacity measures on this machine how the cost of each role grows, and
// works out what it is at the size that the design is for.
package capacity

import (
	"context"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

// The size that the design is for.
const (
	VMs                 = 900
	Zones               = 6
	Databases           = 1000
	Servers             = 3 * Databases
	CallerConnections   = 2_400_000
	StatementsPerSecond = 510_000
	// ConfigurationChangesPerDay is changes of configuration in a day.
	ConfigurationChangesPerDay = 4300
	// PrimaryChangesPerDay is changes of primary in a day.
	PrimaryChangesPerDay = 2
	// StoreReadsPerSecond is reads a second that the table or the object store answers.
	StoreReadsPerSecond = 2000
	// VMReplacementsPerDay is VMs that fail or are replaced in a day.
	VMReplacementsPerDay = 155
)

// The most that control may take of one node.
const (
	// TargetCPU is a share of a core in percent.
	TargetCPU = 2.8
	// TargetMemory is in bytes.
	TargetMemory = 32 << 20
	// TargetBytesPerSecond is bytes a second.
	TargetBytesPerSecond = 9000
)

// Report is everything that was measured.
type Report struct {
	Control     []ControlCost   `json:"control"`
	Connections ConnectionCost  `json:"link"`
	Watchers    []WatcherCost   `json:"watchers"`
	Documents   []DocumentCost  `json:"documents"`
	Callers     []CallerMemory  `json:"callers"`
	Statements  []StatementCost `json:"paths"`
	Store       StoreLoad       `json:"store"`
}

// Measure takes every measurement. It takes about a minute.
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

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	d, err := cost.CPUTime()
	if err != nil {
		return 0
	}
	return d
}
