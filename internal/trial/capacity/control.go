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
	// datagramOverhead is the bytes around one message: IPv4, UDP, the QUIC
	// header, tag and frame, and half of an acknowledgement in a packet of its own.
	datagramOverhead = 90
	// tickInterval is the pause between two looks at the time.
	tickInterval = 50 * clock.Millis(1)
	// settleTime passes before anything is counted.
	settleTime = 10 * clock.Second
	// countTime is how long messages and processor time are counted.
	countTime = 20 * clock.Second
	// storeInterval is the pause between two reads of the store by a root.
	storeInterval = 500 * clock.Millis(1)
)

// The roles of a node in the relay tree.
const (
	RoleLeaf  = "leaf"
	RoleRelay = "relay"
	RoleRoot  = "root"
)

var roles = []string{RoleLeaf, RoleRelay, RoleRoot}

// controlSizes is the numbers of nodes that the slopes are fitted to.
var controlSizes = []int{3, 9, 27, 81, 243}

// Control is what control costs one node of a role, on average over those nodes.
type Control struct {
	Nodes int    `json:"nodes"`
	Role  string `json:"role"`
	Count int    `json:"count"`
	// Links is the neighbours, a root counting twice for another root, since each
	// of the two sends beats.
	Links float64 `json:"links"`
	// Messages is sent and received messages a second, Bytes theirs with overhead.
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// Core is processor time in percent of one core.
	Core float64 `json:"core"`
	// Memory is bytes.
	Memory float64 `json:"memory"`
}

// installation is the nodes of an installation, whose messages arrive at once.
type installation struct {
	now   clock.Millis
	nodes map[string]heartbeat.State
	role  map[string]string
	names map[string][]string
	cost  map[string]*Control
	links map[string]float64
	used  map[string]time.Duration
}

// delivery is an encoded message on its way.
type delivery struct {
	to    string
	beat  bool
	frame inner.Frame
}

func measureControl() []Control {
	var out []Control
	for _, n := range append(append([]int{}, controlSizes...), Nodes) {
		out = append(out, newInstallation(n).measure(n)...)
	}
	return out
}

// newMembers returns a member set that shares no memory with another. The members
// of a zone stand together, as heartbeat.Bits expects.
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

func newInstallation(n int) *installation {
	s := &installation{nodes: map[string]heartbeat.State{}, role: map[string]string{}, names: map[string][]string{}, cost: map[string]*Control{}, links: map[string]float64{}, used: map[string]time.Duration{}}
	all := newMembers(n)
	tree := member.NewTree(all, nil)
	for _, v := range all {
		role := RoleLeaf
		switch {
		case tree.IsRoot(v.Name):
			role = RoleRoot
		case len(tree.Children(v.Name)) > 0:
			role = RoleRelay
		}
		s.role[v.Name] = role
		s.links[role] += links(tree, role, v.Name)
		s.names[role] = append(s.names[role], v.Name)
		node, _ := heartbeat.New(v, 0).WithMemberSet(heartbeat.MemberSet{Version: 1, Members: newMembers(n)}, 0)
		s.nodes[strings.Clone(v.Name)] = node
	}
	for _, role := range roles {
		s.cost[role] = &Control{Nodes: n, Role: role, Count: len(s.names[role])}
	}
	return s
}

// links returns the number of neighbours of a node, another root counted twice.
func links(tree member.Tree, role, name string) float64 {
	children := float64(len(tree.Children(name)))
	if role == RoleRoot {
		return children + 2*float64(len(tree.Roots())-1)
	}
	return children + 1
}

func (s *installation) measure(n int) []Control {
	s.run(settleTime)
	for _, role := range roles {
		*s.cost[role] = Control{Nodes: n, Role: role, Count: len(s.names[role])}
		s.used[role] = 0
	}
	s.run(countTime)
	var out []Control
	for _, role := range roles {
		c := *s.cost[role]
		if c.Count == 0 {
			continue
		}
		nodes, seconds := float64(c.Count), float64(countTime)/float64(clock.Second)
		c.Links = s.links[role] / nodes
		c.Messages /= nodes * seconds
		c.Bytes /= nodes * seconds
		c.Core = 100 * s.used[role].Seconds() / (nodes * seconds)
		c.Memory = s.forget(role) / nodes
		out = append(out, c)
	}
	return out
}

// forget drops the nodes of a role and returns the memory that they took.
func (s *installation) forget(role string) float64 {
	before := cost.Memory()
	for _, name := range s.names[role] {
		delete(s.nodes, name)
	}
	freed := before - cost.Memory()
	runtime.KeepAlive(s.nodes)
	return float64(freed)
}

func (s *installation) run(length clock.Millis) {
	for until := s.now + length; s.now < until; {
		s.now += tickInterval
		s.step()
	}
}

// step lets one interval pass for the nodes of each role in turn and delivers
// messages until none is left.
func (s *installation) step() {
	var flying []delivery
	for _, role := range roles {
		flying = append(flying, s.timed(role, func() []delivery { return s.tick(role) })...)
	}
	for len(flying) > 0 {
		var answers []delivery
		for _, role := range roles {
			answers = append(answers, s.timed(role, func() []delivery { return s.deliver(role, flying) })...)
		}
		flying = answers
	}
}

// timed counts the processor time of f for a role.
func (s *installation) timed(role string, f func() []delivery) []delivery {
	if len(s.names[role]) == 0 {
		return nil
	}
	before := processor()
	out := f()
	s.used[role] += processor() - before
	return out
}

func (s *installation) tick(role string) []delivery {
	var out []delivery
	for _, name := range s.names[role] {
		node, messages := s.nodes[name].Tick(s.now)
		if role == RoleRoot && s.now%storeInterval == 0 {
			node = node.WithStoreRead(1, s.now)
		}
		s.nodes[name] = node
		out = s.send(out, role, messages)
	}
	return out
}

func (s *installation) send(out []delivery, role string, messages []heartbeat.Message) []delivery {
	for _, m := range messages {
		l := delivery{to: m.To, beat: m.Beat != nil}
		if l.beat {
			l.frame = inner.Encode(inner.KindBeat, *m.Beat)
		} else {
			l.frame = inner.Encode(inner.KindBeatAnswer, *m.Answer)
		}
		s.count(role, l)
		out = append(out, l)
	}
	return out
}

func (s *installation) count(role string, l delivery) {
	s.cost[role].Messages++
	s.cost[role].Bytes += float64(len(inner.Pack(l.frame)) + datagramOverhead)
}

// deliver hands the nodes of a role their messages and returns the answers.
func (s *installation) deliver(role string, flying []delivery) []delivery {
	var out []delivery
	for _, l := range flying {
		if s.role[l.to] != role {
			continue
		}
		s.count(role, l)
		out = s.send(out, role, s.receive(l))
	}
	return out
}

func (s *installation) receive(l delivery) []heartbeat.Message {
	if !l.beat {
		var a heartbeat.Answer
		if inner.Decode(l.frame, &a) == nil {
			s.nodes[l.to] = s.nodes[l.to].OnAnswer(a, s.now)
		}
		return nil
	}
	var b heartbeat.Beat
	if inner.Decode(l.frame, &b) != nil {
		return nil
	}
	node, messages := s.nodes[l.to].OnBeat(b, s.now)
	s.nodes[l.to] = node
	return messages
}
