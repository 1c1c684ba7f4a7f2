// Package settings reads the YAML file that tells one process where it is and
// whom it speaks to.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/base/clock"
	"github.com/sycamoredoor/sycamoredoor/internal/core/member"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/strict"
)

// Backend holds the proxy's own credentials at backend servers.
type Backend struct {
	User     string `yaml:"user" validate:"required"`
	Password string `yaml:"password"`
}

// PEM names a PEM text, by file or by environment variable.
type PEM struct {
	File string `yaml:"file" validate:"required_without=Env,excluded_with=Env"`
	Env  string `yaml:"env" validate:"required_without=File"`
}

// TLS names the keys of one side.
type TLS struct {
	Authority   PEM `yaml:"authority"`
	Certificate PEM `yaml:"certificate"`
	Key         PEM `yaml:"key"`
}

// Callers bounds what callers may take.
type Callers struct {
	// Max is the number of connections.
	Max int `yaml:"max" validate:"min=1,max=60000"`
	// Message is the largest message in bytes.
	Message int `yaml:"message" validate:"min=1024,max=1073741824"`
	// Startup is the time to be let in, in milliseconds.
	Startup clock.Millis `yaml:"startup" validate:"min=100"`
	// Silence is the longest pause within a transaction, in milliseconds.
	Silence clock.Millis `yaml:"silence" validate:"min=100"`
	// Write is the longest time to accept an answer, in milliseconds.
	Write clock.Millis `yaml:"write" validate:"min=100"`
	// Certificate and Key turn TLS on.
	Certificate *PEM `yaml:"certificate"`
	Key         *PEM `yaml:"key"`
}

// Log says how log lines look.
type Log struct {
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	JSON  bool   `yaml:"json"`
}

// Trace says where spans go.
type Trace struct {
	// To is none, stdout or otlp.
	To string `yaml:"to" validate:"oneof=none stdout otlp"`
	// URL is the collector's, for otlp.
	URL string `yaml:"url" validate:"required_if=To otlp"`
	// Share is the part of requests that are traced when the caller did not decide.
	Share float64 `yaml:"share" validate:"min=0,max=1"`
}

// Settings is the whole file.
type Settings struct {
	Name     string      `yaml:"name" validate:"required"`
	Zone     member.Zone `yaml:"zone" validate:"required"`
	Region   string      `yaml:"region" validate:"required"`
	Listen   string      `yaml:"listen" validate:"required,hostname_port"`
	Inner    string      `yaml:"inner" validate:"required,hostname_port"`
	Operator string      `yaml:"operator" validate:"required,hostname_port"`
	Platform string      `yaml:"platform" validate:"required,url"`
	Backend  Backend     `yaml:"backend"`
	Keys     TLS         `yaml:"keys"`
	Callers  Callers     `yaml:"callers"`
	Log      Log         `yaml:"log"`
	Trace    Trace       `yaml:"trace"`
}

// Default returns the settings before a file is read.
func Default() Settings {
	return Settings{
		Callers: Callers{Max: 5000, Message: 16 << 20, Startup: 10 * clock.Second, Silence: 60 * clock.Second, Write: 30 * clock.Second},
		Log:     Log{Level: "info"},
		Trace:   Trace{To: "none", Share: 0.01},
	}
}

// Read reads a settings file.
func Read(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s := Default()
	return s, strict.Decode(file, text, &s)
}

// Load reads the PEM text.
func (p PEM) Load() ([]byte, error) {
	if p.Env != "" {
		text := os.Getenv(p.Env)
		if text == "" {
			return nil, errors.Errorf("environment variable %s is empty", p.Env)
		}
		return []byte(text), nil
	}
	return os.ReadFile(p.File)
}

// Load reads the keys of the inner protocol.
func (t TLS) Load() (keys.Material, error) {
	var m keys.Material
	var err error
	for _, part := range []struct {
		from PEM
		to   *[]byte
	}{{t.Authority, &m.Authority}, {t.Certificate, &m.Certificate}, {t.Key, &m.Key}} {
		if *part.to, err = part.from.Load(); err != nil {
			return m, errors.Wrap(err, "keys")
		}
	}
	return m, nil
}
