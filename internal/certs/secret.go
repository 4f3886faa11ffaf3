package certs

import (
	"fmt"
	"strings"

	"github.com/monsoonworks/monsoonworks/internal/limitio"
)

// minSecretBytes is the minimum length of the shared secret. A shorter one could be
// guessed.
const minSecretBytes = 16

// maxPEMBytes limits a file with a secret or with certificates.
const maxPEMBytes = 1 << 20

// LoadSecret reads the deployment's shared secret from a file, without leading and
// trailing white space. For an empty path it returns no secret.
func LoadSecret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := limitio.ReadFile(path, maxPEMBytes)
	if err != nil {
		return nil, fmt.Errorf("shared secret: %w", err)
	}
	secret := []byte(strings.TrimSpace(string(text)))
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("shared secret: %s contains fewer than %d bytes", path, minSecretBytes)
	}
	return secret, nil
}
