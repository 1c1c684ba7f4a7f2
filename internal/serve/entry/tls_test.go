package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// selfSigned returns a self-signed certificate for the loopback address and a
// pool that trusts it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, pool
}

// TestTLS connects with pgx over TLS and verifies the certificate.
func TestTLS(t *testing.T) {
	certificate, pool := selfSigned(t)
	b := newTestEntry(t, func(o *Options) { o.TLS = &tls.Config{Certificates: []tls.Certificate{certificate}} })
	c, err := pgx.ParseConfig("postgres://nobody@" + b.address + "/orders?sslmode=verify-full")
	if err != nil {
		t.Fatal(err)
	}
	c.TLSConfig.RootCAs = pool
	c.RuntimeParams["sycamoredoor.route"] = "list"
	conn, err := pgx.ConnectConfig(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(t.Context()) //nolint:errcheck // the test harness ends it too
	if _, encrypted := conn.PgConn().Conn().(*tls.Conn); !encrypted {
		t.Error("the connection is not encrypted")
	}
	if _, err := conn.Exec(t.Context(), "SELECT 1"); err != nil {
		t.Fatal(err)
	}
}
