package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/certs"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// authority signs certificates for a test.
type authority struct {
	c    *qt.C
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	a := &authority{c: c, dir: c.TB.(*testing.T).TempDir(), key: key}
	a.cert, err = x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) {
	// Certificate renewals replace files by renaming.
	path := filepath.Join(a.dir, name)
	a.c.Assert(os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
	a.c.Assert(os.Rename(path+".new", path), qt.IsNil)
}

// issue writes the certificate and the key of a process and returns its TLS settings.
func (a *authority) issue(name string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	a.write(name+".pem", "CERTIFICATE", der)
	return settings.TLS{
		CertFile: filepath.Join(a.dir, name+".pem"), KeyFile: filepath.Join(a.dir, name+".key"), CAFile: filepath.Join(a.dir, "ca.pem"),
	}
}

// dialAsRouter opens a session as a router and returns the serial number of the peer's
// certificate, 0 without TLS.
func dialAsRouter(c *qt.C, address string, t settings.TLS) (int64, error) {
	config, err := certs.PeerConfig(t)
	c.Assert(err, qt.IsNil)
	serial := int64(0)
	if config != nil {
		verify := config.VerifyConnection
		config.VerifyConnection = func(state tls.ConnectionState) error {
			serial = state.PeerCertificates[0].SerialNumber.Int64()
			return verify(state)
		}
	}
	ctx, cancel := context.WithTimeout(c.Context(), 5*time.Second)
	defer cancel()
	session, err := wire.Dial(ctx, address, wire.Options{TLS: config, Hello: wire.Hello{Role: wire.RoleRouter, Name: "test-router"}}, wire.Services{})
	if err == nil {
		session.Close()
	}
	return serial, err
}

// Guards against sessions with peers whose certificate is not signed by the deployment's
// authority, and against a renewed certificate that is not used before a restart.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	trusted, untrusted := newAuthority(c), newAuthority(c)
	cluster := startCluster(c, func(s *settings.Settings) {
		s.Inner.SecretFile = ""
		s.Inner.TLS = trusted.issue(s.Name, 7)
	})
	waitForSuccess(c, cluster, "hello", http.Header{})
	agent := cluster.Settings("quimper-model-1")
	router := cluster.Settings("quimper-router-1")
	for _, address := range []string{agent.Inner.Advertise, router.Inner.Advertise} {
		serial, err := dialAsRouter(c, address, trusted.issue("peer", 8))
		c.Assert(err, qt.IsNil)
		c.Assert(serial, qt.Equals, int64(7))
		_, err = dialAsRouter(c, address, untrusted.issue("untrusted", 9))
		c.Assert(err, qt.IsNotNil) // the client rejects the process's certificate
		untrustedWithOurCA := untrusted.issue("untrusted", 9)
		untrustedWithOurCA.CAFile = filepath.Join(trusted.dir, "ca.pem")
		_, err = dialAsRouter(c, address, untrustedWithOurCA)
		c.Assert(err, qt.IsNotNil) // the process rejects the client's certificate
		_, err = dialAsRouter(c, address, settings.TLS{})
		c.Assert(err, qt.IsNotNil) // no TLS
	}

	fleet, err := ctl.OpenFleet(c.Context(), agent.HostList.URL, "", trusted.issue("tool", 10))
	c.Assert(err, qt.IsNil)
	status := ctl.ReadStatus(c.Context(), fleet, memstore.New(memstore.Options{}))
	c.Assert(status.Unreachable, qt.HasLen, 0)

	trusted.issue(agent.Name, 11)
	renewed := func() bool {
		serial, err := dialAsRouter(c, agent.Inner.Advertise, trusted.issue("peer", 8))
		return err == nil && serial == 11
	}
	for deadline := time.Now().Add(30 * time.Second); !renewed(); time.Sleep(100 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("renewed certificate not in use after 30 s"))
	}
	c.Assert(sendRequest(c, cluster, "hello again", http.Header{}), qt.Equals, http.StatusOK)
}
