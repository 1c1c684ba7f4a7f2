package database

import (
	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/regions"
)

// RegionError means that the allowed regions of a statement permit no connection. Neither a
// server nor another VM has received anything of the statement.
type RegionError struct {
	// Reason is a label of metrics.
	Reason string
	Detail string
}

// Error implements error.
func (e *RegionError) Error() string { return e.Detail }

// The errors of statements whose regions are constrained.
var (
	// ErrNoServerAllowed means that the group has no server in the allowed regions.
	ErrNoServerAllowed = &RegionError{Reason: "server", Detail: "the database group has no backend server in the allowed regions"}
	// ErrPrimaryNotAllowed means that the primary is outside the allowed regions.
	ErrPrimaryNotAllowed = &RegionError{Reason: "primary", Detail: "the primary is in a region that is not allowed"}
	// ErrNoVMAllowed means that neither this VM nor any VM in the allowed regions may connect to
	// the server.
	ErrNoVMAllowed = &RegionError{Reason: "vm", Detail: "no VM in the allowed regions may connect to the backend server"}
)

// RegionErrors lists every RegionError.
var RegionErrors = [...]*RegionError{ErrNoServerAllowed, ErrPrimaryNotAllowed, ErrNoVMAllowed}

// ErrRegionsChanged means that the configuration changed while a statement waited for a connection,
// and no longer allows it to use that one. Another connection may be allowed. It is not a
// RegionError, after which no other attempt is made.
var ErrRegionsChanged = errors.New("the allowed regions changed while the statement waited")

// RegionErrorOf returns the *RegionError of an error, or nil. Unlike errors.As it allocates nothing.
func RegionErrorOf(err error) *RegionError {
	for _, e := range RegionErrors {
		if errors.Is(err, e) {
			return e
		}
	}
	return nil
}

// noReaderError returns why no server is left for a read: ErrNoServerAllowed if no listed server
// may ever be chosen because of its region, ErrEvacuated if the zones of all others are evacuated,
// else ErrNoServer.
func (g *Group) noReaderError(allowed regions.Allowed) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.excludesAllLocked(allowed, false) {
		return ErrNoServerAllowed
	}
	if g.allAllowedEvacuatedLocked(allowed) {
		return ErrEvacuated
	}
	return ErrNoServer
}

// excludesAllLocked reports whether servers are listed and none is in an allowed region. A leaving
// server counts as allowed only if leaving is set. The caller holds g.mu.
func (g *Group) excludesAllLocked(allowed regions.Allowed, leaving bool) bool {
	if allowed.IsAll() {
		return false
	}
	for _, p := range g.pools {
		if s := p.entry(); allowed.Contains(s.Region) && (leaving || !s.Leaving) {
			return false
		}
	}
	return len(g.pools) > 0
}

// checkPrimaryRegion returns a *RegionError if the group has no server in an allowed region, or
// if its known primary, confirmed or not, is in another region. While no primary is known it
// returns nil, since the next one may be in an allowed region.
func (g *Group) checkPrimaryRegion(allowed regions.Allowed) error {
	if allowed.IsAll() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, leader := g.watch.Leader()
	switch p := g.pools[leader]; {
	case g.excludesAllLocked(allowed, true):
		return ErrNoServerAllowed
	case p != nil && !allowed.Contains(p.entry().Region):
		return ErrPrimaryNotAllowed
	}
	return nil
}

// IsWithin reports whether the server of the connection, and the VM that holds it if that is
// another one, are in allowed regions.
func (pc *PooledConn) IsWithin(allowed regions.Allowed) bool {
	if allowed.IsAll() {
		return true
	}
	return allowed.Contains(pc.pool.entry().Region) && (pc.remote == nil || allowed.Contains(pc.remote.Region))
}
