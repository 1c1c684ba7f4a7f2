package frontend

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/core/floor"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/database"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/forward"
	"github.com/sycamoredoor/sycamoredoor/internal/serve/session"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/catalog"
)

// guaranteeNames names the guarantees for operators.
var guaranteeNames = map[catalog.ReadGuarantee]string{
	catalog.StrongConsistency: "strong consistency", catalog.BoundedStaleness: "bounded staleness", catalog.ReadYourWrites: "read your writes",
}

// The reasons why a VM is or is not chosen to hold the connection.
const (
	reasonChosen        = "the first that can be used"
	reasonLater         = "a VM before it can be used"
	reasonNotConsidered = "not among those considered"
	reasonVMRegion      = "its region is not allowed"
	reasonSuspected     = "it did not answer"
	reasonSkipped       = "it cannot use the server"
)

// The notes on what the explanation leaves out.
const (
	noteBegin     = "BEGIN itself is answered by this VM; the servers and VMs are those for the first statement of the transaction"
	noteOwnWrites = "the floor leaves out the commits of the session, which only the session knows"
	noteFloor     = "the floor is not known, so only the primary may run it"
	noteRegions   = "an open transaction keeps the regions that were allowed at its BEGIN"
)

// Explain returns where a statement would go now, and why, by the decisions that statements are
// served by. It takes no token, counts no refusal and contacts neither a server nor another VM. The
// error is an *operator.ResponseError, which does not repeat the query.
func (f *Frontend) Explain(q operator.ExplainQuery) (operator.Explanation, error) {
	c := f.catalog.Load()
	if c == nil {
		return operator.Explanation{}, &operator.ResponseError{Status: http.StatusServiceUnavailable, Message: "the VM has no configuration yet"}
	}
	route, ok := c.Route(q.Database)
	if !ok {
		return operator.Explanation{}, &operator.ResponseError{Status: http.StatusNotFound, Message: "no route has the name of the database"}
	}
	account, ok := c.Account(q.Account)
	switch {
	case q.Account == "" && !route.AllowAnonymous:
		return operator.Explanation{}, &operator.ResponseError{Status: http.StatusBadRequest, Message: "the route serves no anonymous callers; name an account"}
	case q.Account != "" && !ok:
		return operator.Explanation{}, &operator.ResponseError{Status: http.StatusNotFound, Message: "no account has this name; give the name, not the key"}
	}
	self := f.options.Self
	e := explainer{
		frontend: f, route: route, account: account,
		out: operator.Explanation{
			Query: q, VM: self.Name, Zone: string(self.Zone), Region: self.Region, Version: c.Version,
			Servers: []operator.ServerView{}, VMs: []operator.HolderView{},
		},
	}
	e.explain()
	return e.out, nil
}

// explainer builds one explanation.
type explainer struct {
	frontend  *Frontend
	route     catalog.Route
	account   catalog.Account
	requester database.Requester
	out       operator.Explanation
}

// explain follows the decisions in the order in which a session makes them. The first one that refuses
// the statement determines the outcome; the later ones are still explained.
func (e *explainer) explain() {
	f, r := e.frontend, e.route
	e.requester = database.Requester{Account: e.account.Name, Priority: r.Priority, Regions: r.Regions.Intersect(e.account.Regions)}
	e.out.Route = operator.RouteView{
		Guarantee: guaranteeNames[r.Guarantee], MaxStaleness: r.MaxStaleness, Priority: r.Priority, TargetLatency: r.TargetLatency,
		Timeout: session.Timeout(r), MaxWait: session.MaxWait(r), Group: r.Group, Regions: e.requester.Regions.Names(), Problem: r.Problem,
	}
	if r.Problem == "" {
		e.out.Route.Problem = e.account.Problem
	}
	if e.out.Route.Problem != "" {
		e.conclude(operator.OutcomeRefused, e.out.Route.Problem)
	}
	if !f.takes(session.Timeout(r)) {
		e.conclude(operator.OutcomeRefused, "the VM is stopping")
	}
	if e.account.Name != "" {
		v := f.limiter.view(e.account, e.route.Priority)
		e.out.Limit = &operator.LimitView{
			Rate: v.Rate, Burst: v.Burst, Tokens: v.Tokens, Credit: v.Credit, Share: v.Share, Demand: v.Demand, VMs: v.VMs,
			Isolated: v.Isolated, Admits: v.Admits, Probability: v.Probability,
		}
		if !v.Admits {
			e.conclude(operator.OutcomeRefused, "the account is over its rate")
		}
	}
	g := f.Group(r.Group)
	if g == nil {
		e.conclude(operator.OutcomeWaits, "the VM does not know the database group")
		return
	}
	e.explainGroup(g)
}

// conclude sets the outcome unless it is set.
func (e *explainer) conclude(outcome, reason string) {
	if e.out.Outcome == "" {
		e.out.Outcome, e.out.Reason = outcome, reason
	}
}

// explainGroup explains the choice of the server.
func (e *explainer) explainGroup(g *database.Group) {
	term, primary, proofAge := g.PrimaryStatus()
	e.out.Group = &operator.GroupView{Term: uint64(term), Primary: primary, ProofAge: proofAge, LeaseValid: g.Ready()}
	kind := e.out.Query.Kind
	begins := kind == operator.KindBegin || kind == operator.KindBeginRead
	if begins {
		e.out.Notes = append(e.out.Notes, noteBegin)
		if !e.requester.Regions.IsAll() {
			e.out.Notes = append(e.out.Notes, noteRegions)
		}
	}
	if session.PrimaryOnly(e.route, kind == operator.KindWrite || kind == operator.KindBegin) {
		e.explainPrimary(g)
		return
	}
	lowest, ok := g.Floor(e.frontend.options.Clock.Now(), e.route.MaxStaleness, floor.ReplicationPosition{})
	if !ok {
		e.out.Notes = append(e.out.Notes, noteFloor)
		e.explainPrimary(g)
		return
	}
	e.out.Group.Floor = lowest.String()
	if e.route.Guarantee == catalog.ReadYourWrites {
		e.out.Notes = append(e.out.Notes, noteOwnWrites)
	}
	e.explainReader(g, lowest)
}

// explainPrimary explains a statement that only the primary may run.
func (e *explainer) explainPrimary(g *database.Group) {
	c := g.ExplainPrimary(e.requester.Regions, false)
	if c.Err == nil {
		vms, err := e.explainVMs(c.Server, true)
		self := e.frontend.options.Self.Name
		switch {
		case err != nil:
			c.Err = err
		case vms.VM == "" || vms.VM == self:
			server := c.Server.ID
			// This VM needs a valid lease for its own connections.
			c = g.ExplainPrimary(e.requester.Regions, true)
			if err := e.explainQueue(g, server); c.Err == nil {
				c.Err = err
			}
		}
	}
	e.listServers(c, nil)
	e.concludeChoice(c)
}

// explainReader explains a read that replicas may run. Like a session, it continues with another server
// if one would refuse the read at once.
func (e *explainer) explainReader(g *database.Group, lowest floor.ReplicationPosition) {
	refusals := map[string]error{}
	tried := map[string]bool{}
	var last error
	for {
		c := g.ExplainReader(database.ReadRequest{Requester: e.requester, Floor: lowest, Tried: tried})
		if c.Err != nil {
			if last != nil {
				c.Err = last
			}
			e.listServers(c, refusals)
			e.concludeChoice(c)
			return
		}
		server := c.Server.ID
		vms, err := e.explainVMs(c.Server, false)
		if err == nil && (vms.VM == "" || vms.VM == e.frontend.options.Self.Name) {
			err = e.explainQueue(g, server)
		}
		if err == nil {
			e.listServers(c, refusals)
			e.concludeChoice(c)
			return
		}
		if !errors.Is(last, database.ErrPoolTimeout) {
			last = err
		}
		tried[server], refusals[server] = true, err
	}
}

// concludeChoice sets the outcome by the choice of the server.
func (e *explainer) concludeChoice(c database.Choice) {
	switch {
	case c.Err == nil:
		e.conclude(operator.OutcomeSent, "")
		e.out.Server = c.Server.ID
	case errors.Is(c.Err, database.ErrPoolTimeout), errors.Is(c.Err, database.ErrEvacuated), database.RegionErrorOf(c.Err) != nil:
		e.conclude(operator.OutcomeRefused, c.Err.Error())
	default:
		e.conclude(operator.OutcomeWaits, c.Err.Error())
	}
	if c.Err != nil {
		e.out.Via = ""
	}
}

// explainVMs lists the VMs that may hold the connection to a server, and returns the choice among
// them.
func (e *explainer) explainVMs(s database.Server, primary bool) (forward.Choice, error) {
	self := e.frontend.options.Self.Name
	c, err := e.frontend.forwarder.Explain(database.ConnRequest{
		Group: e.route.Group, Server: s, Requester: e.requester, Primary: primary, Wait: session.MaxWait(e.route),
	})
	e.out.VMs, e.out.Via, e.out.Queue = []operator.HolderView{}, c.VM, nil
	if c.VM == "" && err == nil {
		// This VM uses its own connections if it may open any.
		e.out.Via = self
	}
	for _, v := range c.Candidates {
		h := operator.HolderView{
			VM: v.VM.Name, Zone: string(v.VM.Zone), Region: v.VM.Region, Role: "holder", Chosen: v.VM.Name == c.VM, Considered: v.Considered,
			SuspectedFor: v.SuspectedFor, SkippedFor: v.SkippedFor,
		}
		if v.Reserve {
			h.Role = "reserve"
		}
		switch {
		case h.Chosen:
			h.Reason = reasonChosen
		case !v.Allowed:
			h.Reason = reasonVMRegion
		case !v.Considered:
			h.Reason = reasonNotConsidered
		case v.SuspectedFor > 0:
			h.Reason = reasonSuspected
		case v.SkippedFor > 0:
			h.Reason = reasonSkipped
		default:
			h.Reason = reasonLater
		}
		e.out.VMs = append(e.out.VMs, h)
	}
	return c, err
}

// explainQueue explains this VM's queue for a server, and returns the error with which a request is
// refused at once, or nil.
func (e *explainer) explainQueue(g *database.Group, server string) error {
	q, ok := g.ExplainQueue(server, e.requester, session.MaxWait(e.route))
	if !ok {
		return database.ErrUnknownServer
	}
	e.out.Queue = &operator.QueueView{Length: q.Length, ExpectedWait: q.ExpectedWait, Running: q.Running, Window: q.Window, Open: q.Open, MaxOpen: q.MaxOpen}
	if q.Err != nil {
		e.out.Queue.Refusal = q.Err.Error()
	}
	return q.Err
}

// listServers lists the candidates of a choice. refusals holds the errors of those that were
// chosen before and would refuse the statement at once.
func (e *explainer) listServers(c database.Choice, refusals map[string]error) {
	for _, s := range c.Candidates {
		v := operator.ServerView{
			Server: s.Server.ID, Zone: string(s.Server.Zone), Region: s.Server.Region, Primary: s.Primary, Leaving: s.Server.Leaving,
			Chosen: s.Chosen && c.Err == nil, Reason: s.Reason, Latency: s.Latency, InFlight: s.InFlight, Slots: s.Server.Slots,
			Applied: s.Applied.String(), AppliedAge: -1,
		}
		if !s.Applied.IsZero() {
			v.AppliedAge = s.AppliedAge
		}
		if err := refusals[s.Server.ID]; err != nil {
			v.Reason = "passed over: " + err.Error()
		} else if s.Chosen && c.Err != nil {
			v.Reason = c.Err.Error()
		}
		if s.Cost != nil {
			v.Cost = &operator.CostView{Total: s.Cost.Total(), Latency: s.Cost.Latency, Distance: s.Cost.Distance, Role: s.Cost.Role, Failure: s.Cost.Failure}
		}
		e.out.Servers = append(e.out.Servers, v)
	}
}
