// Package certs holds the certificates of a process: it reads them from files,
// reads them again when they change, and makes the TLS configurations of the
// listeners.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// certCheckInterval is the least time between two looks at certificate files.
const certCheckInterval = 5 * time.Second

// Files holds a certificate that is read again when its file changes, so
// that a renewal needs no stop. A file that cannot be read keeps the last one in
// use.
type Files struct {
	settings settings.TLS

	mu       sync.Mutex
	cert     *tls.Certificate
	modified time.Time
	checked  time.Time
}

// Load reads the certificate that the settings name. It fails if a file cannot
// be read.
func Load(s settings.TLS) (*Files, error) {
	f := &Files{settings: s}
	if err := f.load(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Files) load() error {
	info, err := os.Stat(f.settings.CertFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	if f.cert != nil && info.ModTime().Equal(f.modified) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(f.settings.CertFile, f.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	f.cert, f.modified = &cert, info.ModTime()
	return nil
}

func (f *Files) current() *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= certCheckInterval {
		f.checked = now
		_ = f.load()
	}
	return f.cert
}

// Server returns the configuration of a listener for callers.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.current(), nil },
	}
}

// Mutual returns the configuration of both sides of the inner protocol: each
// side's certificate must be signed by the deployment's authority. Processes
// meet by IP number, so names in certificates are not compared; the hello names
// the peer.
func (f *Files) Mutual() (*tls.Config, error) {
	pem, err := os.ReadFile(f.settings.CAFile)
	if err != nil {
		return nil, fmt.Errorf("certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certificate authority: %s holds no certificate", f.settings.CAFile)
	}
	config := f.Server()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = roots
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.current(), nil }
	// The standard check compares names; verifyChain does the rest of it.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, roots) }
	return config, nil
}

// Peers returns the configuration of both sides of the inner protocol, nil
// without certificates.
func Peers(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	files, err := Load(t)
	if err != nil {
		return nil, err
	}
	return files.Mutual()
}

// verifyChain checks that the peer's certificate is signed by one of the roots.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
