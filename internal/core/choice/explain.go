package choice

// Verdict is what CheapestServer makes of one server.
type Verdict struct {
	Chosen bool
	// Exclusion is why the server may not be chosen, or "".
	Exclusion string
	// Cost is what the server costs, also if it may not be chosen.
	Cost Cost
}

// ExplainCheapest returns the verdicts on the servers, in their order, by the decision of
// CheapestServer. It addresses load on a server that operators cannot account for.
func ExplainCheapest(servers []Candidate, r Requirements) []Verdict {
	best := CheapestServer(servers, r)
	out := make([]Verdict, len(servers))
	for i, s := range servers {
		exclusion := r.exclusion(s)
		out[i] = Verdict{Chosen: exclusion == "" && s.Name == best, Exclusion: exclusion, Cost: r.cost(s)}
	}
	return out
}
