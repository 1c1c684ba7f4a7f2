// Package keys holds the TLS certificates and private keys of the VMs, which can be
// reloaded without a restart.
package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ServerName is the DNS name in every VM's certificate. The name of the VM is the
// common name.
const ServerName = "vm.sycamoredoor.internal"

// ALPNProtocol is the ALPN protocol name of the inner protocol.
const ALPNProtocol = "sycamoredoor/1"

// Material holds one VM's certificates and private key as PEM.
type Material struct {
	// Authority is the certificate of the authority that signs every VM's certificate.
	Authority []byte
	// Certificate and Key are the VM's own certificate and its private key.
	Certificate []byte
	Key         []byte
}

// loadedKeys are parsed keys. The pool holds the authority's certificate.
type loadedKeys struct {
	pool        *x509.CertPool
	certificate tls.Certificate
}

// Keyring holds the certificates and the private key in force for the inner protocol.
// Load must have succeeded once before ClientConfig is called or a handshake begins.
type Keyring struct{ current atomic.Pointer[loadedKeys] }

// NewKeyring returns a keyring with the given keys.
func NewKeyring(m Material) (*Keyring, error) {
	r := &Keyring{}
	return r, r.Load(m)
}

// Load replaces the keys. On an error the previous keys stay in force.
func (r *Keyring) Load(m Material) error {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authority) {
		return errors.New("no certificate in the authority's PEM")
	}
	c, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	r.current.Store(&loadedKeys{pool: pool, certificate: c})
	return nil
}

// ServerConfig returns the TLS configuration for accepting connections of other VMs.
// Each handshake uses the keys in force at that time.
func (r *Keyring) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := r.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.pool,
				NextProtos:   []string{ALPNProtocol},
			}, nil
		},
		NextProtos: []string{ALPNProtocol},
	}
}

// ClientConfig returns the TLS configuration for connecting to another VM. It holds
// the keys in force now, so it must be requested again for each connection.
func (r *Keyring) ClientConfig() *tls.Config {
	l := r.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.pool,
		ServerName:   ServerName,
		NextProtos:   []string{ALPNProtocol},
	}
}

// Authority is a certificate authority that issues certificates for VMs.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	pem         []byte
}

// The validity period of certificates. It covers every time that a VM's clock may
// show, since those clocks may jump. A certificate stops being accepted only when its
// authority is replaced.
var (
	validFrom  = time.Unix(0, 0)
	validUntil = time.Date(2200, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// Equal reports whether two authorities have the same certificate.
func (a *Authority) Equal(b *Authority) bool { return a.certificate.Equal(b.certificate) }

// ResetKey returns the key with which each process of a VM derives the tokens of stateless resets
// (RFC 9000, 10.3), so that one can end the connections to an earlier one.
func (a *Authority) ResetKey(vm string) ([32]byte, error) {
	key, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return [32]byte{}, fmt.Errorf("key of the authority: %w", err)
	}
	h := hmac.New(sha256.New, key)
	h.Write([]byte(vm))
	return [32]byte(h.Sum(nil)), nil
}

// MarshalPEM returns the authority's certificate and private key as two PEM blocks.
func (a *Authority) MarshalPEM() ([]byte, error) {
	keyDER, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		return nil, fmt.Errorf("key of the authority: %w", err)
	}
	return append(bytes.Clone(a.pem), pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: keyDER})...), nil
}

// keyBlockType is the PEM block type of a private key.
const keyBlockType = "EC PRIVATE KEY"

// ParseAuthority parses the output of MarshalPEM.
func ParseAuthority(text []byte) (*Authority, error) {
	certificateBlock, rest := pem.Decode(text)
	if certificateBlock == nil {
		return nil, errors.New("the authority has no certificate")
	}
	keyBlock, _ := pem.Decode(rest)
	if keyBlock == nil || keyBlock.Type != keyBlockType {
		return nil, errors.New("the authority has no key")
	}
	c, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return &Authority{key: key, certificate: c, pem: pem.EncodeToMemory(certificateBlock)}, nil
}

// NewAuthority creates an authority with a new key and a self-signed certificate. The
// authority exists only in memory; MarshalPEM makes a copy that can be stored.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sycamoredoor authority"},
		NotBefore: validFrom, NotAfter: validUntil,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	c, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, certificate: c, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER})}, nil
}

// Issue creates a private key for one VM and a certificate signed by the authority. The
// certificate has the VM's name as its common name and is valid for ServerName and for
// 127.0.0.1.
func (a *Authority) Issue(vm string) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return Material{}, err
	}
	t := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: vm}, DNSNames: []string{ServerName},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   validFrom, NotAfter: validUntil,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, t, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Material{}, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Material{}, fmt.Errorf("key of %s: %w", vm, err)
	}
	return Material{
		Authority:   a.pem,
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificateDER}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: keyBlockType, Bytes: keyDER}),
	}, nil
}
