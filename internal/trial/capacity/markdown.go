package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// The lines of a page that enclose the tables.
const (
	MarkerBegin = "<!-- measured: begin -->"
	MarkerEnd   = "<!-- measured: end -->"
)

// MissingMarkerError reports that a page lacks one of the markers that enclose the
// tables.
type MissingMarkerError struct{ Marker string }

// Error implements error.
func (e *MissingMarkerError) Error() string { return "the page has no line " + e.Marker }

// ReplaceTables returns the page with the part between the markers replaced by text, which
// must end in a newline. Its error is a *MissingMarkerError.
func ReplaceTables(page, text string) (string, error) {
	before, rest, found := strings.Cut(page, MarkerBegin)
	if !found {
		return "", &MissingMarkerError{Marker: MarkerBegin}
	}
	_, after, found := strings.Cut(rest, MarkerEnd)
	if !found {
		return "", &MissingMarkerError{Marker: MarkerEnd}
	}
	return before + MarkerBegin + "\n" + text + MarkerEnd + after, nil
}

// Markdown returns the tables as Markdown.
func (r Report) Markdown() string {
	var b strings.Builder
	r.writeControl(&b)
	r.writeFits(&b)
	r.writeConnections(&b)
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
		fmt.Fprintf(b, "| %d | %s | %d | %.1f | %.1f | %.0f | %.3f | %.0f |\n", c.VMs, c.Role, c.Count, c.Links, c.Messages, c.Bytes, c.CPU, c.Memory/1024)
	}
}

// ControlFit is a fit of the cost of a role at the sizes of controlVMCounts, and the
// measurement at full size to compare with.
type ControlFit struct {
	Role string
	// MessagesPerLink is messages per second for one link, at the largest size that is
	// fitted.
	MessagesPerLink float64
	// Bytes, the size of one message, and Memory, that of one VM's state, are lines over
	// the number of VMs.
	Bytes, Memory Line
	// CPU is in percent of one core. For a root it is the cost of one message per second,
	// as a line over the number of VMs. For a leaf or relay it is the cost of one VM, as a
	// line over its messages per second; they run the same code, so they share the line.
	CPU Line
	// Measured is the measurement at full size. The estimate uses its links, which come
	// from the relay tree.
	Measured ControlCost
}

// Estimate returns the cost at full size according to the fit. It sets only Messages,
// Bytes, CPU and Memory.
func (f ControlFit) Estimate() ControlCost {
	messages := f.MessagesPerLink * f.Measured.Links
	cpu := f.CPU.At(messages)
	if f.Role == RoleRoot {
		cpu = messages * f.CPU.At(VMs)
	}
	return ControlCost{Messages: messages, Bytes: messages * f.Bytes.At(VMs), CPU: cpu, Memory: f.Memory.At(VMs)}
}

// ControlFits returns the fit of each role.
func (r Report) ControlFits() []ControlFit {
	var out []ControlFit
	for _, role := range roles {
		f := ControlFit{Role: role}
		var x, bytes, rootCPU, memory []float64
		for _, c := range r.Control {
			switch {
			case c.Role != role:
			case slices.Contains(controlVMCounts, c.VMs):
				x, memory = append(x, float64(c.VMs)), append(memory, c.Memory)
				bytes, rootCPU = append(bytes, c.Bytes/c.Messages), append(rootCPU, c.CPU/c.Messages)
				f.MessagesPerLink = c.Messages / c.Links
			default:
				f.Measured = c
			}
		}
		f.Bytes, f.CPU, f.Memory = FitLine(x, bytes), r.nonRootCPU(), FitLine(x, memory)
		if role == RoleRoot {
			f.CPU = FitLine(x, rootCPU)
		}
		out = append(out, f)
	}
	return out
}

// nonRootCPU returns the line of CPU over messages per second for leaves and relays.
func (r Report) nonRootCPU() Line {
	var x, y []float64
	for _, c := range r.Control {
		if c.Role != RoleRoot && slices.Contains(controlVMCounts, c.VMs) {
			x, y = append(x, c.Messages), append(y, c.CPU)
		}
	}
	return FitLine(x, y)
}

func (r Report) writeFits(b *strings.Builder) {
	fmt.Fprintf(b, "\n### Control of one node at %d nodes\n\n", VMs)
	fmt.Fprintf(b, "Worked out from the sizes up to %d: messages for a link, and lines over the number of nodes for the bytes of a message, the memory of a node and the processor time of a root's message. Leaves and relays run the same code, so that their processor time is one line over the messages of a node. The links are those of the tree. The column \"run\" is a run with that many nodes.\n\n", controlVMCounts[len(controlVMCounts)-1])
	b.WriteString("| role | quantity | slope for a node more | worked out | run | target | |\n|---|---|---|---|---|---|---|\n")
	for _, f := range r.ControlFits() {
		estimate, measured := f.Estimate(), f.Measured
		fmt.Fprintf(b, "| %s | messages/s | 0 (%.0f a link) | %.4g | %.4g | | |\n", f.Role, f.MessagesPerLink, estimate.Messages, measured.Messages)
		writeFit(b, f.Role, "bytes/s", fmt.Sprintf("%.3g a message", f.Bytes.Slope), estimate.Bytes, measured.Bytes, TargetBytesPerSecond)
		writeFit(b, f.Role, "% of a core", f.cpuSlope(), estimate.CPU, measured.CPU, TargetCPU)
		writeFit(b, f.Role, "memory, KB", fmt.Sprintf("%.3g", f.Memory.Slope/1024), estimate.Memory/1024, measured.Memory/1024, TargetMemory/1024)
	}
}

// cpuSlope returns the table cell that shows how CPU grows with each further VM. That is 0
// for leaves and relays, whose CPU is fitted to their messages alone.
func (f ControlFit) cpuSlope() string {
	if f.Role == RoleRoot {
		return fmt.Sprintf("%.2g a message", f.CPU.Slope)
	}
	return fmt.Sprintf("0 (%.2g a message/s)", f.CPU.Slope)
}

func writeFit(b *strings.Builder, role, quantity, slope string, estimate, measured, target float64) {
	verdict := "within"
	if max(estimate, measured) > target {
		verdict = "**misses**"
	}
	fmt.Fprintf(b, "| %s | %s | %s | %.4g | %.4g | %g | %s |\n", role, quantity, slope, estimate, measured, target, verdict)
}

func (r Report) writeWatchers(b *strings.Builder) {
	b.WriteString("\n### Holders and observers at rest\n\nThe part of the stand-ins that answer them is included.\n\n| groups | kind | of them | % of a core, all | memory, KB, all |\n|---|---|---|---|---|\n")
	for _, w := range r.Watchers {
		for _, p := range w.Points {
			fmt.Fprintf(b, "| %d | %s | %d | %.1f | %.0f |\n", p.Groups, w.Kind, p.Watchers, p.CPU, p.Memory/1024)
		}
	}
	perVM := float64(Servers) / VMs
	fmt.Fprintf(b, "\nA node has %.1f of the %d holders, and as many observers: one on each VM that holds a server of the group.\n", perVM, Servers)
	b.WriteString("\n| kind | for | questions/s | bytes/s | % of a core | memory, KB |\n|---|---|---|---|---|---|\n")
	for _, w := range r.Watchers {
		fmt.Fprintf(b, "| %s | one | %.1f | %.0f | %.2f | %.0f |\n", w.Kind, w.Queries, w.Bytes, w.CPU.Slope, w.Memory.Slope/1024)
		fmt.Fprintf(b, "| %s | a node | %.0f | %.0f | %.1f | %.0f |\n", w.Kind, perVM*w.Queries, perVM*w.Bytes, perVM*w.CPU.Slope, perVM*w.Memory.Slope/1024)
	}
	b.WriteString("\n| groups | kind | questions/s, all | bytes/s, all |\n|---|---|---|---|\n")
	for _, n := range []int{3, 30, 300, Databases} {
		for _, w := range r.Watchers {
			fmt.Fprintf(b, "| %d | %s | %.0f | %.0f |\n", n, w.Kind, float64(3*n)*w.Queries, float64(3*n)*w.Bytes)
		}
	}
}

func (r Report) writeConnections(b *strings.Builder) {
	c := r.Connections
	b.WriteString("\n### Connections between VMs\n\n| connections | % of a core, at rest | memory, KB |\n|---|---|---|\n")
	for _, p := range c.Points {
		fmt.Fprintf(b, "| %d | %.2f | %.0f |\n", p.Connections, p.CPU, p.Memory/1024)
	}
	fmt.Fprintf(b, "\nBoth ends of a connection take %.0f KB and %.4f %% of a core at rest. A datagram of %d bytes takes %.1f µs, both ends and their acknowledgements included.\n",
		c.Memory.Slope/1024, c.CPU.Slope, datagramSize, c.DatagramCPUTime)
	fmt.Fprintf(b, "A node that opens one to each of %d others, and takes one from each, has %.0f MB and %.1f %% of a core for them.\n", VMs-1, c.Memory.Slope*(VMs-1)/(1<<20), c.CPU.Slope*(VMs-1))
	for _, f := range r.ControlFits() {
		fmt.Fprintf(b, "Carrying the %.0f messages/s of a %s takes %.2f %% of a core (half a datagram for each message sent or received).\n", f.Measured.Messages, f.Role, f.Measured.Messages*c.DatagramCPUTime/2/1e6*100)
	}
}

// IdleCallerMemory returns the line of the process's memory in bytes over the number of
// idle callers.
func (r Report) IdleCallerMemory() Line {
	var x, y []float64
	for _, c := range r.Callers {
		x, y = append(x, float64(c.Callers)), append(y, float64(c.Memory))
	}
	return FitLine(x, y)
}

func (r Report) writeCallers(b *strings.Builder) {
	b.WriteString("\n### Callers and statements at an entry proxy\n\n| idle callers | memory of the process, KB |\n|---|---|\n")
	for _, c := range r.Callers {
		fmt.Fprintf(b, "| %d | %d |\n", c.Callers, c.Memory/1024)
	}
	idleMemory, perVM := r.IdleCallerMemory().Slope, float64(CallerConnections)/VMs
	fmt.Fprintf(b, "\nAn idle caller takes %.1f KB, its own socket included; %.0f of them on a node take %.0f MB.\n", idleMemory/1024, perVM, idleMemory*perVM/(1<<20))
	rate := float64(StatementsPerSecond) / VMs
	fmt.Fprintf(b, "\n| path | processor time of a statement, µs | added, µs | %% of a core for %.0f statements/s |\n|---|---|---|---|\n", rate)
	for _, p := range r.Statements {
		addedCPUTime := p.CPUTime - r.Statements[0].CPUTime
		fmt.Fprintf(b, "| %s | %.0f | %.0f | %.1f |\n", p.Path, p.CPUTime, addedCPUTime, addedCPUTime*rate/1e6*100)
	}
}

func (r Report) writeDocuments(b *strings.Builder) {
	b.WriteString("\n### The configuration document\n\n| databases, accounts | largest section, KB | document, KB | parse, ms | memory, KB |\n|---|---|---|---|---|\n")
	var last DocumentCost
	for _, d := range r.Documents {
		fmt.Fprintf(b, "| %d | %d | %d | %.1f | %d |\n", d.Databases, d.LargestSection/1024, d.Size/1024, d.ParseTime, d.Memory/1024)
		last = d
	}
	bytesPerDay := float64(ConfigurationChangesPerDay) * float64(last.LargestSection)
	fmt.Fprintf(b, "\nA change carries its section. %d changes a day of the largest one are %.0f MB a day for each reader, %.0f KB/s on average, and %.2f %% of a core to parse.\n",
		ConfigurationChangesPerDay, bytesPerDay/(1<<20), bytesPerDay/86400/1024, last.ParseTime*ConfigurationChangesPerDay/86400/1000*100)
}

func (r Report) writeStore(b *strings.Builder) {
	b.WriteString("\n### Requests at the store\n\n| VMs | requests/s |\n|---|---|\n")
	for _, p := range r.Store.Points {
		fmt.Fprintf(b, "| %d | %.0f |\n", p.VMs, p.RequestRate)
	}
	s := r.Store
	verdict := "within"
	if s.FullSizeRequestRate() > StoreReadsPerSecond {
		verdict = "**misses**"
	}
	fmt.Fprintf(b, "\nAt rest, in three zones: %.1f requests/s, and %.2f for each VM. In %d zones, %d VMs make %.0f requests/s against %d reads/s: %s.\n",
		s.RequestRateFit.Intercept, s.RequestRateFit.Slope, Zones, VMs, s.FullSizeRequestRate(), StoreReadsPerSecond, verdict)
	fmt.Fprintf(b, "An edit of one section at %d databases makes %d requests and leaves a record of %d bytes; %d a day are %.2f requests/s.\n",
		Databases, s.EditRequests, s.RecordSize, ConfigurationChangesPerDay, float64(s.EditRequests)*ConfigurationChangesPerDay/86400)
	// A replacement counts as two changes of the member set: one VM joins, another leaves.
	fmt.Fprintf(b, "A change of the member set makes %d requests and one object of %d KB; %d a day, passed on once to each VM with the record, are %.2f KB/s for a VM.\n",
		s.MemberSetRequests, s.MemberSetSize/1024, 2*VMReplacementsPerDay, float64(2*VMReplacementsPerDay*(s.MemberSetSize+s.RecordSize))/86400/1024)
}
