package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// writeCertificate writes a self-signed certificate with a serial number. The file's
// modification time is derived from the serial number, so that it always changes.
func writeCertificate(c *qt.C, t settings.TLS, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(t.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(t.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), qt.IsNil)
	at := time.Unix(1_000_000+serial, 0)
	c.Assert(os.Chtimes(t.CertFile, at, at), qt.IsNil)
}

// Guards against a renewed certificate that is not used, a file that is read for each
// connection, and a corrupt or missing file that replaces the certificate in use.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		dir := t.TempDir()
		files := settings.TLS{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
		_, err := Load(files)
		c.Assert(err, qt.ErrorMatches, "certificate: .*")
		writeCertificate(c, files, 1)
		r, err := Load(files)
		c.Assert(err, qt.IsNil)
		serial := func() int64 {
			cert, err := r.ServerConfig().GetCertificate(nil)
			c.Assert(err, qt.IsNil)
			parsed, err := x509.ParseCertificate(cert.Certificate[0])
			c.Assert(err, qt.IsNil)
			return parsed.SerialNumber.Int64()
		}
		c.Assert(serial(), qt.Equals, int64(1))
		writeCertificate(c, files, 2)
		c.Assert(serial(), qt.Equals, int64(1)) // the last check was less than checkInterval ago
		time.Sleep(checkInterval)
		c.Assert(serial(), qt.Equals, int64(2))
		c.Assert(os.WriteFile(files.CertFile, []byte("corrupt"), 0o600), qt.IsNil)
		time.Sleep(checkInterval)
		c.Assert(serial(), qt.Equals, int64(2))
		c.Assert(os.Remove(files.CertFile), qt.IsNil)
		time.Sleep(checkInterval)
		c.Assert(serial(), qt.Equals, int64(2))
		writeCertificate(c, files, 3)
		time.Sleep(checkInterval)
		c.Assert(serial(), qt.Equals, int64(3))
	})
}

// Guards against a secret that is short enough to be guessed.
func TestSecret(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "secret")
	c.Assert(os.WriteFile(path, []byte(" short \n"), 0o600), qt.IsNil)
	_, err := LoadSecret(path)
	c.Assert(err, qt.ErrorMatches, ".*fewer than 16 bytes")
	c.Assert(os.WriteFile(path, []byte(" 0123456789abcdef \n"), 0o600), qt.IsNil)
	secret, err := LoadSecret(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(secret), qt.Equals, "0123456789abcdef")
}
