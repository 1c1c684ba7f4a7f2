package explore

// Rules are the rules of a change of primary. A rule that is off is a mutant.
type Rules struct {
	// AcknowledgedAcrossTerms makes a VM report what it acknowledged in any term, and not
	// only in the one to be replaced.
	AcknowledgedAcrossTerms bool
	// AccountsForRestarts makes the claimant keep the reports of processes that have ended,
	// and not take a report of a later process of a VM for complete.
	AccountsForRestarts bool
	// KeepsOrderedTarget makes later attempts for a term neither give up nor order another
	// server once one has been ordered.
	KeepsOrderedTarget bool
	// CoversTermStart makes the claimant compare numbers also across terms, and write the
	// number at which a term begins into the record.
	CoversTermStart bool
	// KeepsReleases makes a VM read the claim record before its release lapses, and keep the
	// release if a promotion was ordered there.
	KeepsReleases bool
	// WaitsOutOrders makes VMs claim only when no order is open.
	WaitsOutOrders bool
	// DropsCommitsAtRelease makes a VM never acknowledge a commit that it sent before it
	// released the term, also once the release has lapsed.
	DropsCommitsAtRelease bool
	// UnsealsFollowers makes the claimant unseal, after a promotion, only the replicas that
	// follow the new primary, unless the former one has stepped down.
	UnsealsFollowers bool
	// ChecksLeaseAtAnswer makes a VM acknowledge a commit only while its lease is valid, and
	// not only send it so.
	ChecksLeaseAtAnswer bool
	// ReadsClaimBeforeProof makes a VM without a lease read the claim record before it takes
	// a proof, and take none of a term for which a promotion was ordered or a claim may be in
	// progress.
	ReadsClaimBeforeProof bool
	// RefusesEarlierTerm keeps a VM from claiming a term that is earlier than the one in the
	// claim record.
	RefusesEarlierTerm bool
	// CountsStoppingVMs makes the claimant wait for the release of a VM that is stopping, or
	// for its lease.
	CountsStoppingVMs bool
}

// AllRules returns the rules with every switch on.
func AllRules() Rules {
	return Rules{
		AcknowledgedAcrossTerms: true, AccountsForRestarts: true, KeepsOrderedTarget: true,
		CoversTermStart: true, KeepsReleases: true, WaitsOutOrders: true, DropsCommitsAtRelease: true,
		UnsealsFollowers: true, ChecksLeaseAtAnswer: true, ReadsClaimBeforeProof: true, RefusesEarlierTerm: true,
		CountsStoppingVMs: true,
	}
}

// PresentRules returns the rules that the code which runs has. The others are proposals.
func PresentRules() Rules { return AllRules().Without("start", "commits", "followers", "proof") }

// Without returns the rules with those of the given names off; names of no rule are ignored.
func (r Rules) Without(names ...string) Rules {
	switches := map[string]*bool{
		"across": &r.AcknowledgedAcrossTerms, "restarts": &r.AccountsForRestarts, "target": &r.KeepsOrderedTarget,
		"start": &r.CoversTermStart, "releases": &r.KeepsReleases, "orders": &r.WaitsOutOrders,
		"commits": &r.DropsCommitsAtRelease, "followers": &r.UnsealsFollowers, "answer": &r.ChecksLeaseAtAnswer,
		"proof": &r.ReadsClaimBeforeProof, "earlier": &r.RefusesEarlierTerm, "stopping": &r.CountsStoppingVMs,
	}
	for _, n := range names {
		if s := switches[n]; s != nil {
			*s = false
		}
	}
	return r
}
