// Package invariant reports broken promises from inside the running program.
// Each check has a name; a violation raises the counter violations{name} and
// calls the handler, which panics in tests.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Name identifies one promise of docs/INVARIANTS.md.
type Name string

// The promises, one constant for each line of the brief.
const (
	// ReadYourWrites holds when a read is served only by a server that covers the session's floor.
	ReadYourWrites Name = "readyourwrites"
	// CurrentPrimary holds when a write is acknowledged only in the highest term that a majority knows.
	CurrentPrimary Name = "currentprimary"
	// OneTransaction holds when a backend connection is used by its present owner only.
	OneTransaction Name = "onetransaction"
	// OwnAccount holds when a request runs for the client account that was authenticated.
	OwnAccount Name = "ownaccount"
	// NoKeys holds when no caller's key is in bytes sent to a backend server.
	NoKeys Name = "nokeys"
	// KeyWithdrawn holds when no request of a withdrawn key starts after the grace time.
	KeyWithdrawn Name = "keywithdrawn"
	// AccountRate holds when no client account gets more than its rate and burst.
	AccountRate Name = "accountrate"
	// WholeAnswer holds when a caller gets the whole answer to its own request.
	WholeAnswer Name = "wholeanswer"
	// NotRun holds when a request refused as not run never reached a backend server.
	NotRun Name = "notrun"
	// AtMostOnce holds when a request that must not be repeated is sent at most once.
	AtMostOnce Name = "atmostonce"
	// LeavingServer holds when a leaving backend server gets no new work after the grace time.
	LeavingServer Name = "leavingserver"
	// PlannedStop holds when a planned stop cuts no request.
	PlannedStop Name = "plannedstop"
	// ConfigForward holds when the version of the configuration in force never goes back.
	ConfigForward Name = "configforward"
)

var (
	violations atomic.Int64
	handler    atomic.Pointer[func(Name, string)]
)

// SetHandler replaces what happens on a violation and returns a function that
// restores the earlier handler. The default only counts.
func SetHandler(f func(Name, string)) func() {
	previous := handler.Swap(&f)
	return func() { handler.Store(previous) }
}

// Check reports a violation of name when ok is false. The detail is formatted
// only then.
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

// Violations returns the number of violations seen by this process.
func Violations() int64 { return violations.Load() }
