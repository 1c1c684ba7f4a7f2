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
	Nodes       = 900
	Zones       = 6
	Databases   = 1000
	Servers     = 3 * Databases
	Connections = 2_400_000
	Statements  = 510_000
	// Changes is changes of configuration in a day.
	Changes = 4300
	// Primaries is changes of primary in a day.
	Primaries = 2
	// StoreReads is reads a second that the table or the object store answers.
	StoreReads = 2000
	// Replaced is VMs that fail or are replaced in a day.
	Replaced = 155
)

// The most that control may take of one node.
const (
	// TargetCore is a share of a core in percent.
	TargetCore = 2.8
	// TargetMemory is in bytes.
	TargetMemory = 32 << 20
	// TargetBytes is bytes a second.
	TargetBytes = 9000
)

// Report is everything that was measured.
type Report struct {
	Control   []Control   `json:"control"`
	Link      Link        `json:"link"`
	Watchers  []Watcher   `json:"watchers"`
	Documents []Document  `json:"documents"`
	Callers   []Callers   `json:"callers"`
	Paths     []Statement `json:"paths"`
	Store     Store       `json:"store"`
}

// Measure takes every measurement. It takes about a minute.
func Measure(ctx context.Context) (Report, error) {
	var r Report
	var err error
	r.Control = measureControl()
	if r.Documents, err = measureDocuments(); err != nil {
		return r, err
	}
	if r.Link, err = measureLink(ctx); err != nil {
		return r, err
	}
	if r.Watchers, err = measureWatchers(ctx); err != nil {
		return r, err
	}
	if r.Callers, r.Paths, err = measureCallers(ctx); err != nil {
		return r, err
	}
	r.Store, err = measureStore(ctx)
	return r, err
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	d, err := cost.Processor()
	if err != nil {
		return 0
	}
	return d
}
