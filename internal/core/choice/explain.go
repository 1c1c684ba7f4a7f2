package choice

// Verdict is how CheapestServer evaluates one server.
type Verdict struct {
	Chosen bool
	// Exclusion is why the server may not be chosen, or "".
	Exclusion string
	// Cost is the cost of the server, even if it may not be chosen.
	Cost Cost
}

// ExplainCheapest returns a verdict for each server, in the order of servers, consistent with
// CheapestServer. It lets operators find out why a server gets its load.
func ExplainCheapest(servers []Candidate, r Requirements) []Verdict {
	best := CheapestServer(servers, r)
	out := make([]Verdict, len(servers))
	for i, s := range servers {
		exclusion := r.exclusion(s)
		out[i] = Verdict{Chosen: exclusion == "" && s.Name == best, Exclusion: exclusion, Cost: r.cost(s)}
	}
	return out
}
