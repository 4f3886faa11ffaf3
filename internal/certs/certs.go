// Package certs loads the certificates and the shared secret of a process from files,
// reloads the process's own certificate when its file changes, and builds the TLS
// configurations of listeners and connections. The daemon and the operators' tool call it.
// It must not know the protocols.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/monsoonworks/monsoonworks/internal/limitio"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// checkInterval is the minimum time between two checks for a changed certificate file.
const checkInterval = 5 * time.Second

// Reloader holds a certificate and reloads it when its file changes, so that a renewal
// needs no restart. If the file cannot be read, the previous certificate stays in use.
// It is safe for concurrent use.
type Reloader struct {
	settings settings.TLS

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// Load reads the certificate that the settings name.
func Load(s settings.TLS) (*Reloader, error) {
	r := &Reloader{settings: s}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// reload reads the certificate if its file has changed. mu must be held, except in Load.
func (r *Reloader) reload() error {
	info, err := os.Stat(r.settings.CertFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	if r.cert != nil && info.ModTime().Equal(r.modTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(r.settings.CertFile, r.settings.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	r.cert, r.modTime = &cert, info.ModTime()
	return nil
}

// current returns the certificate, and first checks for a changed file if the last check is
// at least checkInterval ago.
func (r *Reloader) current() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.lastCheck) >= checkInterval {
		r.lastCheck = now
		_ = r.reload() // after an error the previous certificate stays in use
	}
	return r.cert
}

// ServerConfig returns the TLS configuration of a listener for callers.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current(), nil },
	}
}

// MutualConfig returns the TLS configuration of both sides of a connection between
// processes of the deployment. Each side's certificate must be signed by the deployment's
// certificate authority, whose own certificate is not reloaded. Processes connect by IP
// address, so names in certificates are not checked; the hello message names the peer.
func (r *Reloader) MutualConfig() (*tls.Config, error) {
	pem, err := limitio.ReadFile(r.settings.CAFile, maxPEMBytes)
	if err != nil {
		return nil, fmt.Errorf("certificate authority: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("certificate authority: %s contains no certificate", r.settings.CAFile)
	}
	config := r.ServerConfig()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = roots
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return r.current(), nil }
	// The standard verification checks names. It is disabled, and verifyChain does the
	// rest of it.
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, roots) }
	return config, nil
}

// PeerConfig returns the configuration of Reloader.MutualConfig for the certificates that the
// settings name, nil if they name none.
func PeerConfig(t settings.TLS) (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	reloader, err := Load(t)
	if err != nil {
		return nil, err
	}
	return reloader.MutualConfig()
}

// verifyChain checks that the peer's certificate chain leads to one of the roots.
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
