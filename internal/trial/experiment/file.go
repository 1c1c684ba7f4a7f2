// Package experiment runs an installation on stand-ins under the load and the
// faults that a YAML file describes, checks every answer and measures the service.
package experiment

import (
	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// Zone is an availability zone and its region.
type Zone struct {
	Name   member.Zone `yaml:"name" validate:"required"`
	Region string      `yaml:"region" validate:"required"`
}

// Servers sizes the backend servers. Each database has three.
type Servers struct {
	// Slots is the number of statements that a server runs at once, Connections the
	// number of connections that it accepts.
	Slots       int `yaml:"slots" validate:"min=1,max=1000" unit:"statements"`
	Connections int `yaml:"connections" validate:"min=2,max=10000" unit:"connections"`
	// ConnectTime is how long opening a connection takes, in milliseconds.
	ConnectTime clock.Millis `yaml:"connect" validate:"min=0,max=10000" unit:"ms"`
	// ApplyDelay is the time from a record's append at the primary to its application at
	// a replica, in milliseconds.
	ApplyDelay clock.Millis `yaml:"lag" validate:"min=0,max=60000" unit:"ms"`
	// StatementTime is how long a statement occupies its slot, in microseconds.
	StatementTime int64 `yaml:"work" validate:"min=0,max=10000000" unit:"µs"`
}

// Window is a part of the run in which an account's load is multiplied.
type Window struct {
	// FromPercent and UntilPercent are its start and end in percent of the length.
	FromPercent  int64 `yaml:"from" validate:"min=0,max=100" unit:"%"`
	UntilPercent int64 `yaml:"until" validate:"min=1,max=100" unit:"%"`
	// Factor multiplies the account's offered rate.
	Factor float64 `yaml:"factor" validate:"gt=0,max=100"`
}

// Account is a client account with its limits and its load.
type Account struct {
	Name     string `yaml:"name" validate:"required,excludes=/"`
	Database string `yaml:"database" validate:"required"`
	// Rate, Burst and Weight are the account's limits in the configuration.
	Rate   float64 `yaml:"rate" validate:"gt=0,max=100000" unit:"statements per second"`
	Burst  float64 `yaml:"burst" validate:"min=1,max=100000" unit:"statements"`
	Weight int     `yaml:"weight" default:"1" validate:"min=1,max=1000"`
	// OfferedRate is the rate of requests outside the windows.
	OfferedRate float64 `yaml:"wanted" validate:"gt=0,max=10000" unit:"statements per second"`
	// ReadShare is the share of reads among the requests. About a fifth of the others
	// are charges, which carry an idempotency key and must run once.
	ReadShare float64 `yaml:"reads" validate:"min=0,max=1"`
	// Sessions is the number of named sessions. Each sends its requests to random VMs.
	Sessions int      `yaml:"sessions" validate:"min=1,max=1000" unit:"sessions"`
	Windows  []Window `yaml:"windows" validate:"dive"`
}

// Fault is a fault or change that the run injects.
type Fault struct {
	// AtPercent is the time of the fault in percent of the length.
	AtPercent int64 `yaml:"at" validate:"min=0,max=100" unit:"%"`
	// Kind selects the fault; run.injectFault implements each.
	Kind string `yaml:"kind" validate:"required,oneof=isolate down storedown storelossy stop kill replace withdraw edit"`
	// Database is required for isolate and down.
	Database string `yaml:"database" validate:"required_if=Kind isolate,required_if=Kind down"`
	// VM is required for stop, kill and replace.
	VM string `yaml:"vm" validate:"required_if=Kind stop,required_if=Kind kill,required_if=Kind replace"`
	// Duration is how long storedown lasts, and how long isolate and down last after
	// another server became the primary, in milliseconds.
	Duration clock.Millis `yaml:"for" default:"500" validate:"min=1,max=600000" unit:"ms"`
	// LostAnswers is the number of answers to writes that storelossy drops.
	LostAnswers int `yaml:"answers" default:"10" validate:"min=1,max=10000" unit:"answers"`
}

// Spec describes an experiment.
type Spec struct {
	Seed uint64 `yaml:"seed"`
	// Length is how long the load runs, ShortLength how long with --short, in milliseconds.
	Length      clock.Millis `yaml:"length" validate:"min=1000,max=3600000" unit:"ms"`
	ShortLength clock.Millis `yaml:"short" validate:"min=1000,max=3600000" unit:"ms"`
	// MinReplicaShare is the smallest share of the reads that replicas must serve.
	MinReplicaShare float64 `yaml:"replicas" default:"0.9" validate:"min=0,max=1"`
	Zones           []Zone  `yaml:"zones" validate:"min=3,max=20,dive"`
	// VMsPerZone is the number of VMs in each zone.
	VMsPerZone int       `yaml:"vms" validate:"min=1,max=20" unit:"VMs"`
	Databases  []string  `yaml:"databases" validate:"min=1,max=20,dive,required"`
	Servers    Servers   `yaml:"servers"`
	Accounts   []Account `yaml:"accounts" validate:"min=1,max=100,dive"`
	Faults     []Fault   `yaml:"faults" validate:"max=100,dive"`
}

// Parse parses the description of an experiment; name is the file name for errors.
// It returns a *strict.Error if the source is not valid.
func Parse(name string, source []byte) (Spec, error) {
	var s Spec
	t, err := strict.Parse(name, source)
	if err != nil {
		return s, err
	}
	if err := t.Decode(&s); err != nil {
		return s, err
	}
	return s, s.check(t)
}
