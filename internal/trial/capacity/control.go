package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/heartbeat"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

const (
	// datagramOverhead is the number of bytes sent in addition to a message: IPv4, UDP,
	// the QUIC header, tag and frame, and half of an acknowledgement in a packet of its
	// own.
	datagramOverhead = 90
	// tickInterval is the pause between two ticks of a VM's heartbeat state.
	tickInterval = 50 * clock.Millis(1)
	// settleTime is the simulated time that passes before the measurement.
	settleTime = 10 * clock.Second
	// countTime is the simulated time over which messages and CPU time are measured.
	countTime = 20 * clock.Second
	// storeInterval is the pause between two reads of the store by a root.
	storeInterval = 500 * clock.Millis(1)
)

// The roles of a VM in the relay tree.
const (
	RoleLeaf  = "leaf"
	RoleRelay = "relay"
	RoleRoot  = "root"
)

var roles = []string{RoleLeaf, RoleRelay, RoleRoot}

// controlVMCounts are the numbers of VMs that the lines of ControlFit are fitted to.
var controlVMCounts = []int{3, 9, 27, 81, 243}

// ControlCost is the cost of control traffic, which is heartbeats, for one VM of a role,
// on average over the VMs of that role.
type ControlCost struct {
	// VMs is the size of the installation, and Count the number of its VMs with the role.
	VMs   int    `json:"nodes"`
	Role  string `json:"role"`
	Count int    `json:"count"`
	// Links is the number of neighbours in the relay tree. Another root counts twice:
	// two roots send beats to each other, but a relay sends none to its children.
	Links float64 `json:"links"`
	// Messages and Bytes are per second, sent and received. Bytes includes
	// datagramOverhead.
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// CPU is in percent of one core.
	CPU float64 `json:"core"`
	// Memory is in bytes.
	Memory float64 `json:"memory"`
}

// simulation runs the heartbeat states of the VMs of an installation in simulated time.
// Messages arrive without delay.
type simulation struct {
	now         clock.Millis
	states      map[string]heartbeat.State
	roleByName  map[string]string
	namesByRole map[string][]string
	// The other maps hold totals over the VMs of a role; measure returns the averages.
	costByRole    map[string]*ControlCost
	linksByRole   map[string]float64
	cpuTimeByRole map[string]time.Duration
}

// delivery is an encoded message in flight; beat is false for an answer.
type delivery struct {
	to    string
	beat  bool
	frame inner.Frame
}

func measureControl() []ControlCost {
	var out []ControlCost
	for _, n := range append(append([]int{}, controlVMCounts...), VMs) {
		out = append(out, newSimulation(n).measure(n)...)
	}
	return out
}

// newMembers returns a member set that shares no memory with any other, so that the
// memory of each VM is measured in full. The members of a zone are adjacent, as
// heartbeat.Bitset expects.
func newMembers(n int) []member.VM {
	out := make([]member.VM, n)
	for i := range out {
		z := i * Zones / max(n, Zones)
		out[i] = member.VM{
			Name: fmt.Sprintf("vm%d", i+1), Zone: member.Zone(fmt.Sprintf("zone%d", z+1)), Region: fmt.Sprintf("region%d", z%2+1),
			Address: fmt.Sprintf("10.0.%d.%d:4433", i/250, i%250+1), Operator: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250+1),
		}
	}
	return out
}

func newSimulation(n int) *simulation {
	s := &simulation{states: map[string]heartbeat.State{}, roleByName: map[string]string{}, namesByRole: map[string][]string{}, costByRole: map[string]*ControlCost{}, linksByRole: map[string]float64{}, cpuTimeByRole: map[string]time.Duration{}}
	members := newMembers(n)
	tree := member.NewTree(members, nil)
	for _, v := range members {
		role := RoleLeaf
		switch {
		case tree.IsRoot(v.Name):
			role = RoleRoot
		case len(tree.Children(v.Name)) > 0:
			role = RoleRelay
		}
		s.roleByName[v.Name] = role
		s.linksByRole[role] += countLinks(tree, role, v.Name)
		s.namesByRole[role] = append(s.namesByRole[role], v.Name)
		state, _ := heartbeat.New(v, 0).WithMemberSet(heartbeat.MemberSet{Version: 1, Members: newMembers(n)}, 0)
		s.states[strings.Clone(v.Name)] = state
	}
	for _, role := range roles {
		s.costByRole[role] = &ControlCost{VMs: n, Role: role, Count: len(s.namesByRole[role])}
	}
	return s
}

// countLinks returns the number of links of a VM, as ControlCost.Links counts them.
func countLinks(tree member.Tree, role, name string) float64 {
	children := float64(len(tree.Children(name)))
	if role == RoleRoot {
		return children + 2*float64(len(tree.Roots())-1)
	}
	return children + 1
}

// measure runs the simulation and returns the cost of each role that has VMs. It removes
// the VMs, so it can be called only once.
func (s *simulation) measure(n int) []ControlCost {
	s.advance(settleTime)
	for _, role := range roles {
		*s.costByRole[role] = ControlCost{VMs: n, Role: role, Count: len(s.namesByRole[role])}
		s.cpuTimeByRole[role] = 0
	}
	s.advance(countTime)
	var out []ControlCost
	for _, role := range roles {
		c := *s.costByRole[role]
		if c.Count == 0 {
			continue
		}
		vms, seconds := float64(c.Count), float64(countTime)/float64(clock.Second)
		c.Links = s.linksByRole[role] / vms
		c.Messages /= vms * seconds
		c.Bytes /= vms * seconds
		c.CPU = 100 * s.cpuTimeByRole[role].Seconds() / (vms * seconds)
		c.Memory = s.removeRole(role) / vms
		out = append(out, c)
	}
	return out
}

// removeRole removes the VMs of a role and returns the bytes of memory that this freed.
func (s *simulation) removeRole(role string) float64 {
	before := cost.MemoryInUse()
	for _, name := range s.namesByRole[role] {
		delete(s.states, name)
	}
	freed := before - cost.MemoryInUse()
	runtime.KeepAlive(s.states) // the map and the other VMs must not be freed as well
	return float64(freed)
}

func (s *simulation) advance(duration clock.Millis) {
	for end := s.now + duration; s.now < end; {
		s.now += tickInterval
		s.step()
	}
}

// step ticks the VMs of each role in turn, then delivers messages until none is in
// flight.
func (s *simulation) step() {
	var inFlight []delivery
	for _, role := range roles {
		inFlight = append(inFlight, s.measureCPUTime(role, func() []delivery { return s.tickRole(role) })...)
	}
	for len(inFlight) > 0 {
		var next []delivery
		for _, role := range roles {
			next = append(next, s.measureCPUTime(role, func() []delivery { return s.deliver(role, inFlight) })...)
		}
		inFlight = next
	}
}

// measureCPUTime runs f and adds its CPU time to that of a role.
func (s *simulation) measureCPUTime(role string, f func() []delivery) []delivery {
	if len(s.namesByRole[role]) == 0 {
		return nil
	}
	before := cpuTime()
	out := f()
	s.cpuTimeByRole[role] += cpuTime() - before
	return out
}

// tickRole ticks the VMs of a role and returns the messages that they send.
func (s *simulation) tickRole(role string) []delivery {
	var out []delivery
	for _, name := range s.namesByRole[role] {
		state, messages := s.states[name].Tick(s.now)
		if role == RoleRoot && s.now%storeInterval == 0 {
			state = state.WithStoreRead(1, s.now)
		}
		s.states[name] = state
		out = s.send(out, role, messages)
	}
	return out
}

// send encodes and counts the messages of a VM of a role and appends them to out.
func (s *simulation) send(out []delivery, role string, messages []heartbeat.Message) []delivery {
	for _, m := range messages {
		d := delivery{to: m.To, beat: m.Beat != nil}
		if d.beat {
			d.frame = inner.Encode(inner.KindBeat, *m.Beat)
		} else {
			d.frame = inner.Encode(inner.KindBeatAnswer, *m.Answer)
		}
		s.countMessage(role, d)
		out = append(out, d)
	}
	return out
}

// countMessage counts a message that a VM of a role sends or receives.
func (s *simulation) countMessage(role string, d delivery) {
	s.costByRole[role].Messages++
	s.costByRole[role].Bytes += float64(len(inner.Pack(d.frame)) + datagramOverhead)
}

// deliver delivers the messages to VMs of a role and returns the answers.
func (s *simulation) deliver(role string, inFlight []delivery) []delivery {
	var out []delivery
	for _, d := range inFlight {
		if s.roleByName[d.to] != role {
			continue
		}
		s.countMessage(role, d)
		out = s.send(out, role, s.receive(d))
	}
	return out
}

func (s *simulation) receive(d delivery) []heartbeat.Message {
	if !d.beat {
		var a heartbeat.Answer
		if inner.Decode(d.frame, &a) == nil {
			s.states[d.to] = s.states[d.to].OnAnswer(a, s.now)
		}
		return nil
	}
	var b heartbeat.Beat
	if inner.Decode(d.frame, &b) != nil {
		return nil
	}
	state, messages := s.states[d.to].OnBeat(b, s.now)
	s.states[d.to] = state
	return messages
}
