package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// The lines of a page between which the tables stand.
const (
	MarkerBegin = "<!-- measured: begin -->"
	MarkerEnd   = "<!-- measured: end -->"
)

// PageError means that a page has no place for the tables.
type PageError struct{ Marker string }

// Error implements error.
func (e *PageError) Error() string { return "the page has no line " + e.Marker }

// Replace returns the page with the text between the markers.
func Replace(page, text string) (string, error) {
	head, rest, found := strings.Cut(page, MarkerBegin)
	if !found {
		return "", &PageError{Marker: MarkerBegin}
	}
	_, tail, found := strings.Cut(rest, MarkerEnd)
	if !found {
		return "", &PageError{Marker: MarkerEnd}
	}
	return head + MarkerBegin + "\n" + text + MarkerEnd + tail, nil
}

// Markdown returns the tables.
func (r Report) Markdown() string {
	var b strings.Builder
	r.writeControl(&b)
	r.writeFits(&b)
	r.writeLink(&b)
	r.writeWatchers(&b)
	r.writeCallers(&b)
	r.writeDocuments(&b)
	r.writeStore(&b)
	return b.String()
}

func (r Report) writeControl(b *strings.Builder) {
	b.WriteString("\n### Control of one node, by its role in the relay tree\n\n")
	b.WriteString("| nodes | role | of them | links | messages/s | bytes/s | % of a core | memory, KB |\n|---|---|---|---|---|---|---|---|\n")
	for _, c := range r.Control {
		fmt.Fprintf(b, "| %d | %s | %d | %.1f | %.1f | %.0f | %.3f | %.0f |\n", c.Nodes, c.Role, c.Count, c.Links, c.Messages, c.Bytes, c.Core, c.Memory/1024)
	}
}

// ControlFit is what the sizes below the largest say of a role.
type ControlFit struct {
	Role string
	// Rate is messages a second for a link.
	Rate float64
	// Bytes is for one message and Memory for a node, by the number of nodes.
	Bytes, Memory Line
	// Core is for one message by the number of nodes at a root. Leaves and relays
	// run the same code, so theirs is one line for a node by its messages.
	Core Line
	// Counted is the measurement at the largest size, whose links come from the tree.
	Counted Control
}

// Worked returns the cost at the largest size as the fit has it.
func (f ControlFit) Worked() Control {
	messages := f.Rate * f.Counted.Links
	core := f.Core.At(messages)
	if f.Role == RoleRoot {
		core = messages * f.Core.At(Nodes)
	}
	return Control{Messages: messages, Bytes: messages * f.Bytes.At(Nodes), Core: core, Memory: f.Memory.At(Nodes)}
}

// Fits returns the lines of control for each role.
func (r Report) Fits() []ControlFit {
	var out []ControlFit
	for _, role := range roles {
		f := ControlFit{Role: role}
		var x, size, root, memory []float64
		for _, c := range r.Control {
			switch {
			case c.Role != role:
			case slices.Contains(controlSizes, c.Nodes):
				x, memory = append(x, float64(c.Nodes)), append(memory, c.Memory)
				size, root = append(size, c.Bytes/c.Messages), append(root, c.Core/c.Messages)
				f.Rate = c.Messages / c.Links
			default:
				f.Counted = c
			}
		}
		f.Bytes, f.Core, f.Memory = Fit(x, size), r.belowRoots(), Fit(x, memory)
		if role == RoleRoot {
			f.Core = Fit(x, root)
		}
		out = append(out, f)
	}
	return out
}

// belowRoots returns the line of processor time over messages for the nodes that
// are no roots.
func (r Report) belowRoots() Line {
	var x, y []float64
	for _, c := range r.Control {
		if c.Role != RoleRoot && slices.Contains(controlSizes, c.Nodes) {
			x, y = append(x, c.Messages), append(y, c.Core)
		}
	}
	return Fit(x, y)
}

func (r Report) writeFits(b *strings.Builder) {
	fmt.Fprintf(b, "\n### Control of one node at %d nodes\n\n", Nodes)
	fmt.Fprintf(b, "Worked out from the sizes up to %d: messages for a link, and lines over the number of nodes for the bytes of a message, the memory of a node and the processor time of a root's message. Leaves and relays run the same code, so that their processor time is one line over the messages of a node. The links are those of the tree. The column \"run\" is a run with that many nodes.\n\n", controlSizes[len(controlSizes)-1])
	b.WriteString("| role | quantity | slope for a node more | worked out | run | target | |\n|---|---|---|---|---|---|---|\n")
	for _, f := range r.Fits() {
		w, c := f.Worked(), f.Counted
		fmt.Fprintf(b, "| %s | messages/s | 0 (%.0f a link) | %.4g | %.4g | | |\n", f.Role, f.Rate, w.Messages, c.Messages)
		writeFit(b, f.Role, "bytes/s", fmt.Sprintf("%.3g a message", f.Bytes.Slope), w.Bytes, c.Bytes, TargetBytes)
		writeFit(b, f.Role, "% of a core", f.coreSlope(), w.Core, c.Core, TargetCore)
		writeFit(b, f.Role, "memory, KB", fmt.Sprintf("%.3g", f.Memory.Slope/1024), w.Memory/1024, c.Memory/1024, TargetMemory/1024)
	}
}

func (f ControlFit) coreSlope() string {
	if f.Role == RoleRoot {
		return fmt.Sprintf("%.2g a message", f.Core.Slope)
	}
	return fmt.Sprintf("0 (%.2g a message/s)", f.Core.Slope)
}

func writeFit(b *strings.Builder, role, quantity, slope string, worked, run, target float64) {
	verdict := "within"
	if max(worked, run) > target {
		verdict = "**misses**"
	}
	fmt.Fprintf(b, "| %s | %s | %s | %.4g | %.4g | %g | %s |\n", role, quantity, slope, worked, run, target, verdict)
}

func (r Report) writeWatchers(b *strings.Builder) {
	b.WriteString("\n### Holders and observers at rest\n\nThe part of the stand-ins that answer them is included.\n\n| groups | kind | of them | % of a core, all | memory, KB, all |\n|---|---|---|---|---|\n")
	for _, w := range r.Watchers {
		for _, p := range w.Points {
			fmt.Fprintf(b, "| %d | %s | %d | %.1f | %.0f |\n", p.Groups, w.Kind, p.Watchers, p.Core, p.Memory/1024)
		}
	}
	each := float64(Servers) / Nodes
	fmt.Fprintf(b, "\nA node has %.1f of the %d holders, and as many observers: one on each VM that holds a server of the group.\n", each, Servers)
	b.WriteString("\n| kind | for | questions/s | bytes/s | % of a core | memory, KB |\n|---|---|---|---|---|---|\n")
	for _, w := range r.Watchers {
		fmt.Fprintf(b, "| %s | one | %.1f | %.0f | %.2f | %.0f |\n", w.Kind, w.Queries, w.Bytes, w.Core.Slope, w.Memory.Slope/1024)
		fmt.Fprintf(b, "| %s | a node | %.0f | %.0f | %.1f | %.0f |\n", w.Kind, each*w.Queries, each*w.Bytes, each*w.Core.Slope, each*w.Memory.Slope/1024)
	}
	b.WriteString("\n| groups | kind | questions/s, all | bytes/s, all |\n|---|---|---|---|\n")
	for _, n := range []int{3, 30, 300, Databases} {
		for _, w := range r.Watchers {
			fmt.Fprintf(b, "| %d | %s | %.0f | %.0f |\n", n, w.Kind, float64(3*n)*w.Queries, float64(3*n)*w.Bytes)
		}
	}
}

func (r Report) writeLink(b *strings.Builder) {
	l := r.Link
	b.WriteString("\n### Connections between VMs\n\n| connections | % of a core, at rest | memory, KB |\n|---|---|---|\n")
	for _, p := range l.Points {
		fmt.Fprintf(b, "| %d | %.2f | %.0f |\n", p.Connections, p.Core, p.Memory/1024)
	}
	fmt.Fprintf(b, "\nBoth ends of a connection take %.0f KB and %.4f %% of a core at rest. A datagram of %d bytes takes %.1f µs, both ends and their acknowledgements included.\n",
		l.Memory.Slope/1024, l.Core.Slope, datagramSize, l.Datagram)
	fmt.Fprintf(b, "A node that opens one to each of %d others, and takes one from each, has %.0f MB and %.1f %% of a core for them.\n", Nodes-1, l.Memory.Slope*(Nodes-1)/(1<<20), l.Core.Slope*(Nodes-1))
	for _, f := range r.Fits() {
		fmt.Fprintf(b, "Carrying the %.0f messages/s of a %s takes %.2f %% of a core (half a datagram for each message sent or received).\n", f.Counted.Messages, f.Role, f.Counted.Messages*l.Datagram/2/1e6*100)
	}
}

// IdleCaller returns the line of memory over the number of idle callers.
func (r Report) IdleCaller() Line {
	var x, y []float64
	for _, c := range r.Callers {
		x, y = append(x, float64(c.Count)), append(y, float64(c.Memory))
	}
	return Fit(x, y)
}

func (r Report) writeCallers(b *strings.Builder) {
	b.WriteString("\n### Callers and statements at an entry proxy\n\n| idle callers | memory of the process, KB |\n|---|---|\n")
	for _, c := range r.Callers {
		fmt.Fprintf(b, "| %d | %d |\n", c.Count, c.Memory/1024)
	}
	idle, each := r.IdleCaller().Slope, float64(Connections)/Nodes
	fmt.Fprintf(b, "\nAn idle caller takes %.1f KB, its own socket included; %.0f of them on a node take %.0f MB.\n", idle/1024, each, idle*each/(1<<20))
	rate := float64(Statements) / Nodes
	fmt.Fprintf(b, "\n| path | processor time of a statement, µs | added, µs | %% of a core for %.0f statements/s |\n|---|---|---|---|\n", rate)
	for _, p := range r.Paths {
		added := p.Core - r.Paths[0].Core
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.1f |\n", p.Path, p.Core, added, added*rate/1e6*100)
	}
}

func (r Report) writeDocuments(b *strings.Builder) {
	b.WriteString("\n### The configuration document\n\n| databases, accounts | largest section, KB | document, KB | parse, ms | memory, KB |\n|---|---|---|---|---|\n")
	var last Document
	for _, d := range r.Documents {
		fmt.Fprintf(b, "| %d | %d | %d | %.1f | %d |\n", d.Databases, d.Section/1024, d.Whole/1024, d.Parse, d.Memory/1024)
		last = d
	}
	day := float64(Changes) * float64(last.Section)
	fmt.Fprintf(b, "\nA change carries its section. %d changes a day of the largest one are %.0f MB a day for each reader, %.0f KB/s on average, and %.2f %% of a core to parse.\n",
		Changes, day/(1<<20), day/86400/1024, last.Parse*Changes/86400/1000*100)
}

func (r Report) writeStore(b *strings.Builder) {
	b.WriteString("\n### Requests at the store\n\n| VMs | requests/s |\n|---|---|\n")
	for _, p := range r.Store.Points {
		fmt.Fprintf(b, "| %d | %.0f |\n", p.VMs, p.Requests)
	}
	s := r.Store
	verdict := "within"
	if s.AtSize() > StoreReads {
		verdict = "**misses**"
	}
	fmt.Fprintf(b, "\nAt rest, in three zones: %.1f requests/s, and %.2f for each VM. In %d zones, %d VMs make %.0f requests/s against %d reads/s: %s.\n",
		s.Requests.Base, s.Requests.Slope, Zones, Nodes, s.AtSize(), StoreReads, verdict)
	fmt.Fprintf(b, "An edit of one section at %d databases makes %d requests and leaves a record of %d bytes; %d a day are %.2f requests/s.\n",
		Databases, s.Edit, s.Record, Changes, float64(s.Edit)*Changes/86400)
	fmt.Fprintf(b, "A change of the member set makes %d requests and one object of %d KB; %d a day, passed on once to each VM with the record, are %.2f KB/s for a VM.\n",
		s.Set, s.Members/1024, 2*Replaced, float64(2*Replaced*(s.Members+s.Record))/86400/1024)
}
