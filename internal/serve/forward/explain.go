package forward

import (
	"slices"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
)

// Choice is the VM that Remote would choose for a statement, and the candidates.
type Choice struct {
	// VM is the VM that would run the statement, or "" if none can be used, so that this VM must
	// use its own connections.
	VM string
	// Candidates are the holders and then the reserves, each in order of preference.
	Candidates []Candidate
}

// Candidate is a holder or a reserve of a server.
type Candidate struct {
	VM      member.VM
	Reserve bool
	// Considered is set if the VM may be chosen: its region is allowed, and it is one of the first
	// holders or, unless this VM is a reserve itself, a reserve.
	Considered bool
	// Allowed is set if the region of the VM is allowed, or the VM is this one.
	Allowed bool
	// SuspectedFor is how long the VM is still skipped for all servers because it did not answer,
	// and SkippedFor how long for this server because it cannot use it. Both are in milliseconds.
	SuspectedFor clock.Millis
	SkippedFor   clock.Millis
}

// Explain returns the choice of Remote for a request, by the same decision. It contacts no VM and
// changes nothing. The error is database.ErrNoVMAllowed; the choice then has only Candidates.
func (f *Forwarder) Explain(request database.ConnRequest) (Choice, error) {
	considered, err := f.candidates(request)
	chosen, _ := f.choose(considered, request.Server.ID)
	out := Choice{VM: chosen.Name}
	allowed := request.Requester.Regions
	add := func(vms []member.VM, reserve bool) {
		for _, v := range vms {
			c := Candidate{VM: v, Reserve: reserve, Allowed: v.Name == f.options.Self || allowed.Contains(v.Region)}
			c.Considered = slices.ContainsFunc(considered, func(o member.VM) bool { return o.Name == v.Name })
			c.SuspectedFor, c.SkippedFor = f.passedOver(v.Name, request.Server.ID)
			out.Candidates = append(out.Candidates, c)
		}
	}
	add(f.options.HoldersFunc(request.Server, request.Requester.Account), false)
	add(f.options.ReservesFunc(request.Server, request.Requester.Account), true)
	return out, err
}

// passedOver returns how long a VM is still suspected, and how long it is skipped for a server, in
// milliseconds.
func (f *Forwarder) passedOver(vm, server string) (suspected, skipped clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock.Now()
	return max(f.holders[vm].suspectedUntil-now, 0), max(f.skippedUntil[holderServer{vm, server}]-now, 0)
}
