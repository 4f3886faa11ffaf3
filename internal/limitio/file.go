// Package limitio reads files with a limit on their size.
package limitio

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// ErrTooLarge means that a file is larger than its limit.
var ErrTooLarge = errors.New("the file is too large")

// ReadFile reads a file of at most limit bytes. It fails with ErrTooLarge or an error of
// package os.
func ReadFile(path string, limit int64) (data []byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	data, err = io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: %s has more than %d bytes", ErrTooLarge, path, limit)
	}
	return data, nil
}
