// Package invariant checks invariants in the running program. Each has a name; a
// violation increments the counter violations{name} and calls the handler. Tests
// install a handler that makes them fail.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Name identifies an invariant. docs/INVARIANTS.md describes each of them.
type Name string

// The names of the invariants. Their values are labels of the counter.
const (
	// ReadYourWrites holds when a read is served only by a server whose replication position covers the session's floor.
	ReadYourWrites Name = "readyourwrites"
	// CurrentPrimary holds when a write is acknowledged only in the highest term known to a majority.
	CurrentPrimary Name = "currentprimary"
	// OneTransaction holds when a connection to a backend server is used only by its current owner.
	OneTransaction Name = "onetransaction"
	// OwnAccount holds when a request runs for the client account that its caller authenticated as.
	OwnAccount Name = "ownaccount"
	// NoKeys holds when no bytes sent to a backend server contain a caller's key.
	NoKeys Name = "nokeys"
	// KeyWithdrawn holds when no request with a withdrawn key starts after the grace period.
	KeyWithdrawn Name = "keywithdrawn"
	// AccountRate holds when no client account exceeds its rate and burst.
	AccountRate Name = "accountrate"
	// WholeAnswer holds when a caller receives the complete answer to its own request.
	WholeAnswer Name = "wholeanswer"
	// NotRun holds when a request that was refused as not run was never sent to a backend server.
	NotRun Name = "notrun"
	// AtMostOnce holds when a request that must not be repeated is sent to a backend server at most once.
	AtMostOnce Name = "atmostonce"
	// LeavingServer holds when a leaving backend server gets no new work after the grace period.
	LeavingServer Name = "leavingserver"
	// EvacuatedZone holds when no statement of a caller is sent to a server of an evacuated zone after the deadline.
	EvacuatedZone Name = "evacuatedzone"
	// Unchanged holds when a backend server gets the statement that a caller sent, in the caller's words.
	Unchanged Name = "unchanged"
	// PlannedStop holds when a planned stop interrupts no request.
	PlannedStop Name = "plannedstop"
	// ConfigForward holds when the version of the configuration in force never decreases.
	ConfigForward Name = "configforward"
	// ConfigCurrent holds when no VM relies on others for a configuration that the store has not
	// confirmed within the deadline.
	ConfigCurrent Name = "configcurrent"
	// AllowedRegions holds when a statement is sent to no backend server, and to no other VM,
	// outside the regions that its route and its account allow.
	AllowedRegions Name = "allowedregions"
	// MemorySum holds when the bytes taken from the memory of a process are those that its owners hold.
	MemorySum Name = "memorysum"
)

var (
	violations atomic.Int64
	handler    atomic.Pointer[func(Name, string)]
)

// SetHandler sets the function that is called on each violation and returns a
// function that restores the previous one. Without a handler, violations are only
// counted.
func SetHandler(f func(Name, string)) func() {
	previous := handler.Swap(&f)
	return func() { handler.Store(previous) }
}

// Check reports a violation of name if ok is false. The detail is formatted only
// in that case.
func Check(ok bool, name Name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`violations{name=%q}`, string(name))).Inc()
	if f := handler.Load(); f != nil {
		(*f)(name, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Load() }
