package settings

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/limitio"
)

// Any settings file must be accepted or refused with an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte("role: relay\nname: r\n"))
	f.Add([]byte("role: gate\ngate:\n  memory_mb: -1\n  retry_share: .nan\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Parse(raw); err == nil && s.Role == "" {
			t.Fatalf("settings without a role: %+v", s)
		}
	})
}

// A settings file of any size must not be read into memory as a whole.
func TestLargeFileRefused(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "large.yaml")
	c.Assert(os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600), qt.IsNil)
	_, err := Load(path)
	c.Assert(err, qt.ErrorIs, limitio.ErrTooLarge)
}
