package keys

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Pair holds the certificate and private key in force at an address for callers or
// operators. Handshakes fail until Load has succeeded.
type Pair struct {
	current atomic.Pointer[tls.Certificate]
}

// NewPair returns a pair loaded from PEM.
func NewPair(certificate, key []byte) (*Pair, error) {
	p := &Pair{}
	return p, p.Load(certificate, key)
}

// Load replaces the pair. On an error the previous one stays in force.
func (p *Pair) Load(certificate, key []byte) error {
	c, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	p.current.Store(&c)
	return nil
}

// ServerConfig returns a TLS configuration that presents, at each handshake, the pair
// in force at that time.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current.Load(), nil },
	}
}
