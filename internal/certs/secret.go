package certs

import (
	"fmt"
	"os"
	"strings"
)

// minSecretBytes keeps the shared secret from being guessed.
const minSecretBytes = 16

// Secret reads the deployment's shared secret from a file, without white space
// around it. An empty path gives no secret.
func Secret(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("shared secret: %w", err)
	}
	secret := []byte(strings.TrimSpace(string(text)))
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("shared secret: %s holds fewer than %d bytes", path, minSecretBytes)
	}
	return secret, nil
}
