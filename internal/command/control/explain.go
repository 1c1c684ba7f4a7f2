package control

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
)

// explainCommand asks a VM of sycamoredoor frontend where a statement would go now.
type explainCommand struct {
	Account string `long:"account" value-name:"NAME" description:"Name of the client account, not its key; without it the caller is anonymous"`
	Kind    string `long:"kind" default:"read" choice:"read" choice:"write" choice:"begin" choice:"begin read" description:"Kind of the statement"`
	Args    struct {
		Database string `positional-arg-name:"DATABASE" required:"yes"`
	} `positional-args:"yes"`
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	url := c.global.Address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	// The listener for metrics needs no token, and is sent none.
	client := operator.NewClient(operator.Options{BaseURL: url, Timeout: clock.Millis(c.global.Timeout)})
	e, err := client.Explain(context.Background(), operator.ExplainQuery{Database: c.Args.Database, Account: c.Account, Kind: c.Kind})
	if err != nil {
		return err
	}
	return c.global.printResult(e, func() { printExplanation(c.global.out, e) })
}

// printExplanation prints an explanation for people.
func printExplanation(out io.Writer, e operator.Explanation) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	account := "anonymous callers"
	if e.Query.Account != "" {
		account = "account " + e.Query.Account
	}
	printf("%s of database %s for %s at %s (zone %s, region %s, configuration %d)", e.Query.Kind, e.Query.Database, account, e.VM, e.Zone, e.Region, e.Version)
	switch {
	case e.Outcome == operator.OutcomeSent && e.Via == e.VM:
		printf("  sent to %s on a connection of this VM", e.Server)
	case e.Outcome == operator.OutcomeSent:
		printf("  sent to %s on a connection of %s", e.Server, e.Via)
	case e.Outcome == operator.OutcomeWaits:
		printf("  waits up to %d ms, then refused: %s", e.Route.MaxWait, e.Reason)
	default:
		printf("  refused: %s", e.Reason)
	}
	for _, n := range e.Notes {
		printf("  note: %s", n)
	}
	printf("")
	printRoute(printf, e)
	printLimit(printf, e)
	if g := e.Group; g != nil {
		proof := "without a proof"
		if g.ProofAge >= 0 {
			proof = fmt.Sprintf("proved %d ms ago", g.ProofAge)
		}
		if !g.LeaseValid {
			proof += ", not valid"
		}
		printf("group   %s, term %d, primary %s, %s", e.Route.Group, g.Term, orDash(g.Primary), proof)
		if g.Floor != "" {
			printf("floor   %s", g.Floor)
		}
	}
	if q := e.Queue; q != nil {
		printf("queue   %d waiting here, expected wait %.1f ms; %d running of a window of %d; %d connections of at most %d%s",
			q.Length, q.ExpectedWait, q.Running, q.Window, q.Open, q.MaxOpen, prefixed("; ", q.Refusal))
	}
	printServers(out, e.Servers)
	printHolders(out, e.VMs)
}

func printRoute(printf func(string, ...any), e operator.Explanation) {
	r := e.Route
	target, regions := "no target latency", "all regions"
	if r.TargetLatency > 0 {
		target = fmt.Sprintf("target latency %d ms", r.TargetLatency)
	}
	if r.Regions != nil {
		regions = "regions [" + strings.Join(r.Regions, " ") + "]"
	}
	printf("route   %s, staleness %d ms, priority %d, %s, timeout %d ms, wait up to %d ms, %s%s",
		r.Guarantee, r.MaxStaleness, r.Priority, target, r.Timeout, r.MaxWait, regions, prefixed("; ", r.Problem))
}

func printLimit(printf func(string, ...any), e operator.Explanation) {
	l := e.Limit
	if l == nil {
		printf("limit   none for anonymous callers")
		return
	}
	admits := "admitted now"
	if !l.Admits {
		admits = "not admitted now"
	}
	if l.Probability < 1 {
		admits += fmt.Sprintf(" (near the limit: one in %.1f is)", 1/max(l.Probability, 0.001))
	}
	if l.Isolated {
		admits += "; no other VM is heard"
	}
	printf("limit   rate %g/s, burst %g; about %.1f left for %d VMs; share of this VM %.3f, %.1f in this round; demand here %.1f/s; %s",
		l.Rate, l.Burst, l.Tokens, l.VMs, l.Share, l.Credit, l.Demand, admits)
}

// printServers prints the servers; costs are in milliseconds.
func printServers(out io.Writer, servers []operator.ServerView) {
	if len(servers) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nSERVER\tZONE\tREGION\tROLE\tLATENCY\tIN FLIGHT\tPOSITION\tCOST\tWHY")
	for _, s := range servers {
		role, position, cost := "replica", "unknown", "-"
		if s.Primary {
			role = "primary"
		}
		if s.Leaving {
			role += ", leaving"
		}
		if s.AppliedAge >= 0 {
			position = fmt.Sprintf("%s, %d ms ago", s.Applied, s.AppliedAge)
		}
		if c := s.Cost; c != nil {
			cost = fmt.Sprintf("%.1f = %.1f latency + %.0f distance + %.0f role + %.0f failure", c.Total, c.Latency, c.Distance, c.Role, c.Failure)
		}
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%.1f ms\t%d of %d\t%s\t%s\t%s\n",
			mark(s.Chosen), s.Server, s.Zone, s.Region, role, s.Latency, s.InFlight, s.Slots, position, cost, s.Reason)
	}
	_ = w.Flush()
}

// printHolders prints the VMs that may hold the connection.
func printHolders(out io.Writer, vms []operator.HolderView) {
	if len(vms) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nVM\tZONE\tREGION\tROLE\tWHY")
	for _, v := range vms {
		reason := v.Reason
		if v.SuspectedFor > 0 {
			reason += fmt.Sprintf("; suspected for %d ms more", v.SuspectedFor)
		}
		if v.SkippedFor > 0 {
			reason += fmt.Sprintf("; skipped for the server for %d ms more", v.SkippedFor)
		}
		_, _ = fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\t%s\n", mark(v.Chosen), v.VM, v.Zone, v.Region, v.Role, reason)
	}
	_ = w.Flush()
}

// mark returns the prefix of a row.
func mark(chosen bool) string {
	if chosen {
		return "* "
	}
	return "  "
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// prefixed returns the text after the prefix, or "" if it is empty.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}
