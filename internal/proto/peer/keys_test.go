package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/sycamoredoor/sycamoredoor/internal/proto/inner"
	"github.com/sycamoredoor/sycamoredoor/internal/setup/keys"
	"github.com/sycamoredoor/sycamoredoor/internal/trial/scripted"
)

// authority signs certificates with any DNS name.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{}
	a.cert = a.sign(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// sign returns a signed certificate made from the template c, valid for an hour. All
// certificates of an authority carry its own key. The first call creates this key and
// signs the certificate of the authority itself.
func (a *authority) sign(t *testing.T, c *x509.Certificate) *x509.Certificate {
	t.Helper()
	var err error
	parent := a.cert
	if a.key == nil {
		parent = c
		if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
			t.Fatal(err)
		}
	}
	c.SerialNumber, c.NotBefore, c.NotAfter = big.NewInt(1), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	out, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// newKeyring returns a keyring with a certificate of this authority for a DNS name. The
// keyring accepts the certificates of the trusted authority.
func (a *authority) newKeyring(t *testing.T, trusted *authority, dns string) *keys.Keyring {
	t.Helper()
	r, err := keys.NewKeyring(a.material(t, trusted, dns))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// material returns the authority, certificate and key of such a keyring.
func (a *authority) material(t *testing.T, trusted *authority, dns string) keys.Material {
	t.Helper()
	c := a.sign(t, &x509.Certificate{
		Subject: pkix.Name{CommonName: "vm"}, DNSNames: []string{dns}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	private, err := x509.MarshalECPrivateKey(a.key)
	if err != nil {
		t.Fatal(err)
	}
	return keys.Material{
		Authority:   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: trusted.cert.Raw}),
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}),
	}
}

// TestRefusesWrongKeys checks that both ends refuse a certificate of another authority
// or for another name, that the accepting end refuses a VM without a certificate, and
// that the dialing end gets the error from Open, before it sends anything.
func TestRefusesWrongKeys(t *testing.T) {
	var cases []struct {
		Name, Dialer, Acceptor string
		Served                 bool
	}
	scripted.Read(t, "testdata/tls.yaml", &cases)
	authorityA, authorityB := newAuthority(t), newAuthority(t)
	keyrings := map[string]*keys.Keyring{
		"right": authorityA.newKeyring(t, authorityA, keys.ServerName), "other": authorityB.newKeyring(t, authorityA, keys.ServerName),
		"wrongname": authorityA.newKeyring(t, authorityA, "other.internal"), "none": authorityA.newKeyring(t, authorityA, keys.ServerName),
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			acceptor := serve(t, keyrings[c.Acceptor], Options{}, echo)
			dialer := serve(t, keyrings[c.Dialer], Options{}, echo)
			if c.Dialer == "none" {
				removeClientCertificate(dialer)
			}
			err := echoOnce(t, dialer, acceptor.Address())
			var unreachable *UnreachableError
			if err != nil && !errors.As(err, &unreachable) {
				t.Errorf("not refused at Open: %v", err)
			}
			if diff := cmp.Diff(c.Served, err == nil); diff != "" {
				t.Errorf("served (-want +got):\n%s\n%v", diff, err)
			}
		})
	}
}

func removeClientCertificate(t *Transport) {
	client := t.clientTLSFunc
	t.clientTLSFunc = func() *tls.Config {
		c := client()
		c.Certificates = nil
		return c
	}
}

// TestReloadsKeys replaces the keys of a running VM: new connections in both
// directions use the new keys, and a connection that is open stays open.
func TestReloadsKeys(t *testing.T) {
	oldAuthority, replacementAuthority := newAuthority(t), newAuthority(t)
	keyring := oldAuthority.newKeyring(t, oldAuthority, keys.ServerName)
	reloadedVM := serve(t, keyring, Options{}, echo)
	oldVM := serve(t, oldAuthority.newKeyring(t, oldAuthority, keys.ServerName), Options{}, echo)
	newVM := serve(t, replacementAuthority.newKeyring(t, replacementAuthority, keys.ServerName), Options{}, echo)
	x, err := reloadedVM.Open(t.Context(), oldVM.Address(), Label{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if err := keyring.Load(replacementAuthority.material(t, replacementAuthority, keys.ServerName)); err != nil {
		t.Fatal(err)
	}
	if err := exchangeOnce(x, inner.Frame{Kind: inner.KindData, Body: []byte("open")}); err != nil {
		t.Errorf("using the open connection: %v", err)
	}
	if err := echoOnce(t, reloadedVM, newVM.Address()); err != nil {
		t.Errorf("dialing with the new keys: %v", err)
	}
	if err := echoOnce(t, newVM, reloadedVM.Address()); err != nil {
		t.Errorf("accepting with the new keys: %v", err)
	}
	if err := echoOnce(t, oldVM, reloadedVM.Address()); err == nil {
		t.Error("a VM with the old keys was accepted")
	}
}
