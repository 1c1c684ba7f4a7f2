// Package stand runs the stand-ins of the platform and of one database group
// for VMs that are processes of their own, and writes the files these need.
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

// What callers of the trial give.
const (
	Account  = "counter"
	Key      = "medlar-jelly"
	Database = "orders"
)

// Ports of one VM, counted from its first.
const (
	portsPerVM         = 3
	innerPortOffset    = 1
	operatorPortOffset = 2
)

const (
	// pollInterval is the pause between two looks at a VM.
	pollInterval = 200 * clock.Millis(1)
	pollTimeout  = clock.Second
	// maxFailedPolls is the number of failed looks after which a VM leaves the list.
	maxFailedPolls = 3
)

const routes = `routes:
  - {name: box, database: orders, kind: write}
  - {name: list, database: orders, kind: read}
`

// Options sizes the stand-ins.
type Options struct {
	// Folder gets the settings and keys of each VM and the owner's token.
	Folder string
	// FirstPort is the first of three ports for each VM.
	FirstPort int
	// VMs is the number of VMs.
	VMs int
}

// VM is what a process of a VM needs.
type VM struct {
	Name         string
	SettingsFile string
	// CallerAddress is IP:port, Operators a URL.
	CallerAddress string
	OperatorURL   string
}

// DSN returns the address for callers.
func (v VM) DSN() string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", Account, Key, v.CallerAddress, Database)
}

// Environment is what runs.
type Environment struct {
	System *system.System
	VMs    []VM
	// TokenFile is the file with the token of an operator who owns every section.
	TokenFile string
}

// places are taken in turn by VMs and backend servers.
var places = []system.Place{
	{Zone: "abbotsford", Region: "mainland"},
	{Zone: "chilliwack", Region: "mainland"},
	{Zone: "kelowna", Region: "okanagan"},
}

// Start starts the stand-ins, writes the files and follows the VMs until the
// context ends.
func Start(ctx context.Context, o Options) (*Environment, error) {
	token := verifier.NewToken()
	s := &Environment{TokenFile: filepath.Join(o.Folder, "owner.token")}
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.TokenFile, []byte(token+"\n"), 0o600); err != nil {
		return nil, err
	}
	var err error
	s.System, err = system.New(ctx, system.Options{
		Places: places, Databases: []string{Database}, ExternalVMs: true, RoutesSection: routes,
		Servers:          backend.Options{Slots: 3, Connections: 20, ConnectTime: 12, StatementTime: time.Millisecond, ApplyDelay: 30},
		Accounts:         []system.Account{{Name: Account, Key: Key, Rate: 1000, Burst: 100, Weight: 1}},
		OperatorsSection: fmt.Sprintf("operators:\n  - {name: owner, sections: [databases, accounts, routes, operators], verifier: %q}\n", verifier.HashToken(token)),
	})
	if err != nil {
		return nil, err
	}
	for i := range o.VMs {
		v, err := s.writeFiles(o, i)
		if err != nil {
			return nil, err
		}
		s.VMs = append(s.VMs, v)
		go s.pollStatus(ctx, v)
	}
	return s, nil
}

// writeFiles makes the files of one VM.
func (s *Environment) writeFiles(o Options, i int) (VM, error) {
	port := o.FirstPort + portsPerVM*i
	address := func(n int) string { return "127.0.0.1:" + strconv.Itoa(port+n) }
	v := VM{Name: fmt.Sprintf("vm%d", i+1), CallerAddress: address(0), OperatorURL: "http://" + address(operatorPortOffset)}
	folder := filepath.Join(o.Folder, v.Name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return v, err
	}
	m, err := s.System.IssueKeys(v.Name)
	if err != nil {
		return v, err
	}
	place := places[i%len(places)]
	v.SettingsFile = filepath.Join(folder, "settings.yaml")
	text := fmt.Sprintf("name: %s\nzone: %s\nregion: %s\nlisten: %s\ninner: %s\noperator: %s\nplatform: %s\nbackend: {user: proxy}\nkeys:\n"+
		"  authority: {file: %q}\n  certificate: {file: %q}\n  key: {file: %q}\n",
		v.Name, place.Zone, place.Region, v.CallerAddress, address(innerPortOffset), address(operatorPortOffset), s.System.Platform.URL(),
		filepath.Join(folder, "authority.pem"), filepath.Join(folder, "certificate.pem"), filepath.Join(folder, "key.pem"))
	for name, body := range map[string][]byte{"authority.pem": m.Authority, "certificate.pem": m.Certificate, "key.pem": m.Key, "settings.yaml": []byte(text)} {
		if err := os.WriteFile(filepath.Join(folder, name), body, 0o600); err != nil {
			return v, err
		}
	}
	return v, nil
}

// pollStatus puts a VM on the platform's list while its process answers.
func (s *Environment) pollStatus(ctx context.Context, v VM) {
	client := operator.NewClient(operator.Options{BaseURL: v.OperatorURL, Timeout: pollTimeout})
	failed := 0
	for clock.System().Sleep(ctx, pollInterval) == nil {
		status, err := client.Status(ctx)
		if err == nil && status.VM.Name == v.Name {
			failed = 0
			s.System.Platform.SetVM(status.VM)
			continue
		}
		if failed++; failed == maxFailedPolls {
			s.System.Platform.RemoveVM(v.Name)
		}
	}
}
