// Package wait has waits that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
