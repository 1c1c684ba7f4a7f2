// Package settings reads the YAML file that tells one process where it is and
// whom it speaks to.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// BackendCredentials holds the proxy's own credentials at backend servers.
type BackendCredentials struct {
	// User is the proxy's own name at backend servers.
	User string `yaml:"user" validate:"required"`
	// Password is the proxy's own password; empty when the servers ask for none.
	Password string `yaml:"password"`
}

// InnerTLS names the keys of the inner protocol between VMs.
type InnerTLS struct {
	// Authority is the certificate of the authority that signs every VM's.
	Authority Source `yaml:"authority"`
	// Certificate is this VM's own; its common name is the VM's name and its DNS
	// name vm.sycamoredoor.internal.
	Certificate Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key Source `yaml:"key"`
}

// Callers bounds what callers may take.
type Callers struct {
	// MaxConnections is the number of connections.
	MaxConnections int `yaml:"max" default:"5000" validate:"min=1,max=60000" unit:"connections"`
	// MaxMessageSize is the largest message.
	MaxMessageSize int `yaml:"message" default:"16777216" validate:"min=1024,max=1073741824" unit:"bytes"`
	// StartupTimeout is the longest time to prove a key and be let in.
	StartupTimeout clock.Millis `yaml:"startup" default:"10000" validate:"min=100,max=600000" unit:"ms"`
	// IdleInTransactionTimeout is the longest pause within a transaction.
	IdleInTransactionTimeout clock.Millis `yaml:"silence" default:"60000" validate:"min=100,max=86400000" unit:"ms"`
	// WriteTimeout is the longest time to accept an answer.
	WriteTimeout clock.Millis `yaml:"write" default:"30000" validate:"min=100,max=600000" unit:"ms"`
	// Certificate, with the key, turns TLS on.
	Certificate *Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key *Source `yaml:"key"`
}

// Operators says how operators reach the VM.
type Operators struct {
	// Bootstrap holds a token of at least 32 characters that may edit every
	// section as long as the configuration names no operator.
	Bootstrap *Source `yaml:"bootstrap"`
	// Certificate, with the key, turns TLS on.
	Certificate *Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key *Source `yaml:"key"`
}

// Log says how log lines look.
type Log struct {
	// Level is the least important level that is written.
	Level string `yaml:"level" default:"info" validate:"oneof=debug info warn error"`
	// JSON writes each line as one JSON object.
	JSON bool `yaml:"json"`
}

// Trace says where spans go.
type Trace struct {
	// To is where spans are sent.
	To string `yaml:"to" default:"none" validate:"oneof=none stdout otlp"`
	// URL is the collector's; needed for otlp.
	URL string `yaml:"url" validate:"required_if=To otlp"`
	// SampleRatio is the part of requests that are traced when the caller did not decide.
	SampleRatio float64 `yaml:"share" default:"0.01" validate:"min=0,max=1" unit:"of requests"`
}

// Link is this VM's part of the link to each other region.
type Link struct {
	// Rate is in bytes a second; 0 does not pace.
	Rate int64 `yaml:"rate" default:"0" validate:"min=0" unit:"bytes a second"`
	// Burst is what may enter at once after a pause, in bytes.
	Burst int64 `yaml:"burst" default:"16384" validate:"min=1500" unit:"bytes"`
}

// Settings is the whole file.
type Settings struct {
	// Name is unique among the VMs and the same as on the platform's list.
	Name string `yaml:"name" validate:"required"`
	// Zone is the availability zone of the VM.
	Zone member.Zone `yaml:"zone" validate:"required"`
	// Region joins the zones that are near each other.
	Region string `yaml:"region" validate:"required"`
	// ListenAddress is the address for callers.
	ListenAddress string `yaml:"listen" validate:"required,ipport"`
	// InnerAddress is the UDP address for the other VMs.
	InnerAddress string `yaml:"inner" validate:"required,ipport"`
	// OperatorAddress is the address for operators.
	OperatorAddress string `yaml:"operator" validate:"required,ipport"`
	// PlatformURL is the URL of the platform's table, objects and list of VMs.
	PlatformURL string `yaml:"platform" validate:"required,url"`
	// Peers holds addresses of other VMs for the inner protocol; a VM that starts
	// while the platform is down takes the configuration from them.
	Peers []string `yaml:"peers" validate:"dive,ipport"`
	// Backend holds the proxy's own credentials at backend servers.
	Backend BackendCredentials `yaml:"backend"`
	// InnerTLS are the certificates of the inner protocol.
	InnerTLS InnerTLS `yaml:"keys"`
	// Callers bounds what callers may take.
	Callers Callers `yaml:"callers"`
	// Operators says how operators reach the VM.
	Operators Operators `yaml:"operators"`
	// Log says how log lines look.
	Log Log `yaml:"log"`
	// Trace says where spans go.
	Trace Trace `yaml:"trace"`
	// Link is this VM's part of the link to each other region.
	Link Link `yaml:"link"`
}

// Default returns the settings before a file is read.
func Default() Settings {
	var s Settings
	if err := strict.SetDefaults(&s); err != nil {
		panic(err)
	}
	return s
}

// Read reads a settings file.
func Read(file string) (Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	t, err := strict.Parse(file, source)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	if err := t.Decode(&s); err != nil {
		return Settings{}, err
	}
	if (s.Callers.Certificate == nil) != (s.Callers.Key == nil) {
		return s, t.ErrorAt("callers", "a certificate and its key must be written together")
	}
	if (s.Operators.Certificate == nil) != (s.Operators.Key == nil) {
		return s, t.ErrorAt("operators", "a certificate and its key must be written together")
	}
	return s, nil
}
