// Package traffic counts the bytes sent between regions, by kind. The link between regions is slow and
// its traffic is billed, so operators need to know what causes it.
package traffic

import "github.com/VictoriaMetrics/metrics"

// Kind is the purpose of bytes sent between regions.
type Kind string

// The kinds. Both directions of an exchange are counted by the VM that begins it.
const (
	// GossipOwn, GossipZone and GossipSummary are messages about the sender, about the VMs of its
	// zone and about all VMs.
	GossipOwn     Kind = "gossip_vm"
	GossipZone    Kind = "gossip_zone"
	GossipSummary Kind = "gossip_all"
	// Roster is the hash of the list of VMs.
	Roster Kind = "roster"
	// Statements are statements forwarded to a holder, and Answers their answers with the frames
	// sent meanwhile.
	Statements Kind = "statements"
	Answers    Kind = "answers"
	// Fetches are the questions to other VMs and their answers: the configuration, the directory
	// of backend servers, the list of VMs.
	Fetches Kind = "fetches"
)

// AddBetweenRegions counts bytes of a kind. The headers of the transport are not included.
func AddBetweenRegions(k Kind, bytes int) {
	metrics.GetOrCreateCounter(`sycamoredoor_region_bytes_total{kind="` + string(k) + `"}`).Add(bytes)
}
