package capacity

import (
	"fmt"
	"strings"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/document"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/cost"
)

// databaseCounts are the numbers of databases in the measured documents. A document
// has as many client accounts as databases and twice as many routes.
var databaseCounts = []int{10, 100, Databases}

// DocumentCost is the cost of a configuration document at one VM.
type DocumentCost struct {
	Databases int `json:"databases"`
	// LargestSection is the size of the largest section and Size that of all sections
	// together, in bytes.
	LargestSection int `json:"section"`
	Size           int `json:"whole"`
	// ParseTime is the CPU time of parsing, in milliseconds.
	ParseTime float64 `json:"parse"`
	// Memory is the size of the parsed document in bytes.
	Memory int64 `json:"memory"`
}

func measureDocuments() ([]DocumentCost, error) {
	var out []DocumentCost
	for _, n := range databaseCounts {
		d, err := measureDocument(n)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return out, nil
}

func measureDocument(n int) (DocumentCost, error) {
	texts, err := documentTexts(n)
	if err != nil {
		return DocumentCost{}, err
	}
	out := DocumentCost{Databases: n}
	for _, text := range texts {
		out.Size += len(text)
		out.LargestSection = max(out.LargestSection, len(text))
	}
	baselineMemory, startCPU := cost.MemoryInUse(), cpuTime()
	d, err := document.Parse(1, texts)
	if err != nil {
		return DocumentCost{}, err
	}
	out.ParseTime = float64(cpuTime()-startCPU) / float64(time.Millisecond)
	out.Memory = cost.MemoryInUse() - baselineMemory
	_ = d.Databases() // keeps d in memory until it is measured
	return out, nil
}

// documentTexts returns the sections of a document with n databases of three servers
// each, by section name.
func documentTexts(n int) (map[string]string, error) {
	keyVerifier, err := verifier.New("key", make([]byte, verifier.SaltSize))
	if err != nil {
		return nil, err
	}
	var databases, accounts, routes strings.Builder
	databases.WriteString("databases:\n")
	accounts.WriteString("accounts:\n")
	routes.WriteString("routes:\n")
	for i := range n {
		fmt.Fprintf(&databases, "  - name: orders%d\n    servers:\n", i)
		for k := range 3 {
			fmt.Fprintf(&databases, "      - {name: orders%d-%d, address: \"10.%d.%d.%d:5432\", zone: zone%d, region: region%d, slots: 3, connections: 20}\n", i, k+1, k+1, i/250, i%250+1, (i+k)%Zones+1, (i+k)%2+1)
		}
		fmt.Fprintf(&accounts, "  - name: account%d\n    rate: 510\n    burst: 510\n    weight: 1\n    keys:\n      - {id: k1, verifier: %q}\n", i, keyVerifier)
		fmt.Fprintf(&routes, "  - {name: box%d, database: orders%d, kind: write}\n  - {name: list%d, database: orders%d, kind: read}\n", i, i, i, i)
	}
	return map[string]string{
		document.SectionDatabases: databases.String(),
		document.SectionAccounts:  accounts.String(),
		document.SectionRoutes:    routes.String(),
	}, nil
}
