package settings

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

// Source names a text that does not belong into the settings, such as a PEM
// certificate or a private key.
type Source struct {
	// File is the path of a file that holds the text.
	File string `yaml:"file" validate:"required_without=Env,excluded_with=Env"`
	// Env is the environment variable that holds the text.
	Env string `yaml:"env" validate:"required_without=File"`
}

// Load reads the text.
func (s Source) Load() ([]byte, error) {
	if s.Env != "" {
		text := os.Getenv(s.Env)
		if text == "" {
			return nil, errors.Errorf("environment variable %s is empty", s.Env)
		}
		return []byte(text), nil
	}
	return os.ReadFile(s.File)
}

// Load reads the keys of the inner protocol.
func (t InnerTLS) Load() (keys.Material, error) {
	var m keys.Material
	var err error
	if m.Authority, err = t.Authority.Load(); err != nil {
		return m, errors.Wrap(err, "authority")
	}
	m.Certificate, m.Key, err = LoadKeyPair(t.Certificate, t.Key)
	return m, err
}

// Files lists the files that hold the keys.
func (t InnerTLS) Files() []string { return Files(t.Authority, t.Certificate, t.Key) }

// LoadKeyPair reads a certificate and its key.
func LoadKeyPair(certificate, key Source) (c, k []byte, err error) {
	if c, err = certificate.Load(); err != nil {
		return nil, nil, errors.Wrap(err, "certificate")
	}
	if k, err = key.Load(); err != nil {
		return nil, nil, errors.Wrap(err, "key")
	}
	return c, k, nil
}

// minTokenLength is the least length of the bootstrap token in characters.
const minTokenLength = 32

// BootstrapToken reads the bootstrap token, or returns an empty one when none is named.
func (o Operators) BootstrapToken() (string, error) {
	if o.Bootstrap == nil {
		return "", nil
	}
	text, err := o.Bootstrap.Load()
	if err != nil {
		return "", errors.Wrap(err, "operators.bootstrap")
	}
	token := strings.TrimSpace(string(text))
	if len(token) < minTokenLength {
		return "", errors.Errorf("operators.bootstrap: a token needs at least %d characters", minTokenLength)
	}
	return token, nil
}

// Files lists the files among sources.
func Files(sources ...Source) []string {
	var out []string
	for _, s := range sources {
		if s.File != "" {
			out = append(out, s.File)
		}
	}
	return out
}
