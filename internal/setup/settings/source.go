package settings

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
)

// Source names the file or the environment variable that holds a text, such as a
// certificate or private key in PEM, or a token. Such texts must not be part of the
// settings file.
type Source struct {
	// File is the path of the file that holds the text.
	File string `yaml:"file" validate:"required_without=Env,excluded_with=Env"`
	// Env is the name of the environment variable that holds the text.
	Env string `yaml:"env" validate:"required_without=File"`
}

// Load reads the text. An empty environment variable is an error.
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

// Load reads the certificates and the private key for the inner protocol.
func (t InnerTLS) Load() (keys.Material, error) {
	var m keys.Material
	var err error
	if m.Authority, err = t.Authority.Load(); err != nil {
		return m, errors.Wrap(err, "authority")
	}
	m.Certificate, m.Key, err = LoadKeyPair(t.Certificate, t.Key)
	return m, err
}

// Files returns the paths of the files that Load reads.
func (t InnerTLS) Files() []string { return Files(t.Authority, t.Certificate, t.Key) }

// LoadKeyPair reads a certificate and its private key, both as PEM. It does not check
// them.
func LoadKeyPair(certificate, key Source) (c, k []byte, err error) {
	if c, err = certificate.Load(); err != nil {
		return nil, nil, errors.Wrap(err, "certificate")
	}
	if k, err = key.Load(); err != nil {
		return nil, nil, errors.Wrap(err, "key")
	}
	return c, k, nil
}

// minTokenLength is the minimum length of the bootstrap token in characters; a shorter
// one could be guessed.
const minTokenLength = 32

// BootstrapToken reads the bootstrap token. It returns "" if the settings name none,
// and an error for a token that is too short.
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

// Files returns the paths of those sources that are files.
func Files(sources ...Source) []string {
	var out []string
	for _, s := range sources {
		if s.File != "" {
			out = append(out, s.File)
		}
	}
	return out
}
