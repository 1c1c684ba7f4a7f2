// Package stand runs stand-ins for the platform and for one database group, and writes the
// files of VMs that run against them as separate processes.
package stand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/proto/operator"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/verifier"
	"github.com/sycamoredoor/sycamoredoor/internal/standin/backend"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/system"
)

// The credentials and the database of the callers.
const (
	Account  = "counter"
	Key      = "medlar-jelly"
	Database = "orders"
)

// The ports of a VM, as offsets from its first, which is for callers.
const (
	portsPerVM         = 3
	innerPortOffset    = 1
	operatorPortOffset = 2
)

const (
	// pollInterval is the pause between two status requests to a VM.
	pollInterval = 200 * clock.Millis(1)
	pollTimeout  = clock.Second
	// maxFailedPolls is the number of status requests in a row that fail before a VM is
	// removed from the platform's list.
	maxFailedPolls = 3
)

const routesSection = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

// Options configures the stand-ins and the VMs' files.
type Options struct {
	// Folder is where the settings and keys of each VM and the owner's token are written.
	Folder string
	// FirstPort is the first loopback port; each VM gets the next three.
	FirstPort int
	// VMs is the number of VMs to write files for.
	VMs int
}

// VM holds the name, the settings file and the addresses of one VM.
type VM struct {
	Name         string
	SettingsFile string
	// CallerAddress is the IP:port for callers.
	CallerAddress string
	// OperatorURL is the base URL for operators.
	OperatorURL string
}

// DSN returns the connection string for callers.
func (v VM) DSN() string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", Account, Key, v.CallerAddress, Database)
}

// Environment holds the running stand-ins and the VMs that may be started against them.
type Environment struct {
	System *system.System
	VMs    []VM
	// TokenFile holds the token of an operator who owns every section.
	TokenFile string
}

// places are assigned in turn to the VMs and to the backend servers.
var places = []system.Place{
	{Zone: "abbotsford", Region: "mainland"},
	{Zone: "chilliwack", Region: "mainland"},
	{Zone: "kelowna", Region: "okanagan"},
}

// Start starts the stand-ins, writes the files and polls the status of the VMs. Stand-ins
// and polls that were started run until ctx ends, even after an error.
func Start(ctx context.Context, o Options) (*Environment, error) {
	token := verifier.NewToken()
	e := &Environment{TokenFile: filepath.Join(o.Folder, "owner.token")}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.TokenFile, []byte(token+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	e.System, err = system.New(ctx, system.Options{
		Places: places, Databases: []string{Database}, ExternalVMs: true, RoutesSection: routesSection,
		Servers:          backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, StatementTime: time.Millisecond, ApplyDelay: 30},
		Accounts:         []system.Account{{Name: Account, Key: Key, Rate: 1000, Burst: 100, Weight: 1}},
		OperatorsSection: fmt.Sprintf("operators:\n  - {name: owner, sections: [databases, accounts, routes, operators], verifier: %q}\n", verifier.HashToken(token)),
	})
	if err != nil {
		return nil, err
	}
	for i := range o.VMs {
		v, err := e.writeFiles(o, i)
		if err != nil {
			return nil, err
		}
		e.VMs = append(e.VMs, v)
		go e.pollStatus(ctx, v)
	}
	return e, nil
}

// writeFiles writes the settings and keys of VM i, counted from 0.
func (e *Environment) writeFiles(o Options, i int) (VM, error) {
	port := o.FirstPort + portsPerVM*i
	address := func(offset int) string { return "127.0.0.1:" + strconv.Itoa(port+offset) }
	v := VM{Name: fmt.Sprintf("vm%d", i+1), CallerAddress: address(0), OperatorURL: "http://" + address(operatorPortOffset)}
	folder := filepath.Join(o.Folder, v.Name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return v, err
	}
	material, err := e.System.IssueKeys(v.Name)
	if err != nil {
		return v, err
	}
	place := places[i%len(places)]
	v.SettingsFile = filepath.Join(folder, "settings.yaml")
	text := fmt.Sprintf("name: %s\nzone: %s\nregion: %s\nlisten: %s\ninner: %s\noperator: %s\nplatform: %s\nbackend: {user: proxy}\nkeys:\n"+
		"  authority: {file: %q}\n  certificate: {file: %q}\n  key: {file: %q}\n",
		v.Name, place.Zone, place.Region, v.CallerAddress, address(innerPortOffset), address(operatorPortOffset), e.System.Platform.URL(),
		filepath.Join(folder, "authority.pem"), filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem"))
	for name, body := range map[string][]byte{"authority.pem": material.Authority, "certificate.pem": material.Certificate, "key.pem": material.Key, "settings.yaml": []byte(text)} {
		if err := os.WriteFile(filepath.Join(folder, name), body, 0o600); err != nil {
			return v, err
		}
	}
	return v, nil
}

// pollStatus keeps a VM on the platform's list while its process answers.
func (e *Environment) pollStatus(ctx context.Context, v VM) {
	client := operator.NewClient(operator.Options{BaseURL: v.OperatorURL, Timeout: pollTimeout})
	failedPolls := 0
	for clock.System().Sleep(ctx, pollInterval) == nil {
		status, err := client.Status(ctx)
		if err == nil && status.VM.Name == v.Name {
			failedPolls = 0
			e.System.Platform.SetVM(status.VM)
			continue
		}
		if failedPolls++; failedPolls == maxFailedPolls {
			e.System.Platform.RemoveVM(v.Name)
		}
	}
}
