// Package settings reads the YAML settings file of one VM: its zone and region, its
// addresses, its credentials and the addresses of the platform and of its peers.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// BackendCredentials are the proxy's own credentials at backend servers.
type BackendCredentials struct {
	// User is the proxy's user name at backend servers.
	User string `yaml:"user" validate:"required"`
	// Password is the proxy's password at backend servers; empty if they ask for none.
	Password string `yaml:"password"`
}

// InnerTLS names the sources of the certificates and the private key for the inner
// protocol between VMs.
type InnerTLS struct {
	// Authority is the certificate of the authority that signs the certificates of all VMs.
	Authority Source `yaml:"authority"`
	// Certificate is this VM's certificate. Its common name is the VM's name and its
	// DNS name is vm.sycamoredoor.internal.
	Certificate Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key Source `yaml:"key"`
}

// Callers sets limits for callers, and TLS for their connections.
type Callers struct {
	// MaxConnections is the largest number of callers' connections at once.
	MaxConnections int `yaml:"max" default:"5000" validate:"min=1,max=60000" unit:"connections"`
	// MaxMessageSize is the size of the largest message that a caller may send.
	MaxMessageSize int `yaml:"message" default:"16777216" validate:"min=1024,max=1073741824" unit:"bytes"`
	// StartupTimeout bounds the time from connecting to the end of authentication.
	StartupTimeout clock.Millis `yaml:"startup" default:"10000" validate:"min=100,max=600000" unit:"ms"`
	// IdleInTransactionTimeout is the longest time that a caller may send nothing within a transaction.
	IdleInTransactionTimeout clock.Millis `yaml:"silence" default:"60000" validate:"min=100,max=86400000" unit:"ms"`
	// WriteTimeout is the longest time that a caller may take to accept an answer.
	WriteTimeout clock.Millis `yaml:"write" default:"30000" validate:"min=100,max=600000" unit:"ms"`
	// Certificate, with the key, turns TLS on.
	Certificate *Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key *Source `yaml:"key"`
}

// Operators sets the bootstrap token, and TLS for operators' connections.
type Operators struct {
	// Bootstrap is a token of at least 32 characters that may edit every section as
	// long as the configuration names no operator.
	Bootstrap *Source `yaml:"bootstrap"`
	// Certificate, with the key, turns TLS on.
	Certificate *Source `yaml:"certificate"`
	// Key is the private key of the certificate.
	Key *Source `yaml:"key"`
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level" default:"info" validate:"oneof=debug info warn error"`
	// JSON writes each line as one JSON object.
	JSON bool `yaml:"json"`
}

// Trace configures the tracing of requests.
type Trace struct {
	// To is the exporter of spans.
	To string `yaml:"to" default:"none" validate:"oneof=none stdout otlp"`
	// URL is the address of the collector; needed for otlp.
	URL string `yaml:"url" validate:"required_if=To otlp"`
	// SampleRatio is the fraction of requests that are traced if the caller sends no traceparent.
	SampleRatio float64 `yaml:"share" default:"0.01" validate:"min=0,max=1" unit:"of requests"`
}

// Link configures the token bucket for this VM's share of the link to each other region.
type Link struct {
	// Rate is the number of bytes per second that the VM sends over the link; 0 sets no bound.
	Rate int64 `yaml:"rate" default:"0" validate:"min=0" unit:"bytes a second"`
	// Burst is the number of bytes that may be sent at once after a pause.
	Burst int64 `yaml:"burst" default:"16384" validate:"min=1500" unit:"bytes"`
}

// Settings is the content of a settings file.
type Settings struct {
	// Name is the name of the VM, unique and the same as on the platform's list of VMs.
	Name string `yaml:"name" validate:"required"`
	// Zone is the availability zone of the VM.
	Zone member.Zone `yaml:"zone" validate:"required"`
	// Region is the region of the zone. Zones of one region are near each other.
	Region string `yaml:"region" validate:"required"`
	// ListenAddress is the address for callers.
	ListenAddress string `yaml:"listen" validate:"required,ipport"`
	// InnerAddress is the UDP address for the inner protocol with other VMs.
	InnerAddress string `yaml:"inner" validate:"required,ipport"`
	// OperatorAddress is the address for operators.
	OperatorAddress string `yaml:"operator" validate:"required,ipport"`
	// PlatformURL is the URL of the platform's table, objects and list of VMs.
	PlatformURL string `yaml:"platform" validate:"required,url"`
	// Peers are addresses of other VMs for the inner protocol. A VM that starts while
	// the platform is down gets the configuration from them.
	Peers []string `yaml:"peers" validate:"dive,ipport"`
	// Backend holds the proxy's credentials at backend servers.
	Backend BackendCredentials `yaml:"backend"`
	// InnerTLS holds the certificates and the private key for the inner protocol.
	InnerTLS InnerTLS `yaml:"keys"`
	// Callers sets limits for callers, and TLS for their connections.
	Callers Callers `yaml:"callers"`
	// Operators sets the bootstrap token, and TLS for operators' connections.
	Operators Operators `yaml:"operators"`
	// Log configures the log.
	Log Log `yaml:"log"`
	// Trace configures the tracing of requests.
	Trace Trace `yaml:"trace"`
	// Link sizes this VM's share of the link to each other region.
	Link Link `yaml:"link"`
}

// Default returns settings in which every key that has a default value has it, and every
// other key is empty.
func Default() Settings {
	var s Settings
	if err := strict.SetDefaults(&s); err != nil {
		panic(err)
	}
	return s
}

// Read reads and checks a settings file. It returns a *strict.Error for a mistake in
// the file.
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
