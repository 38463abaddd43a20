// Package ctxtime waits for a while that the end of a context cuts short.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration. It returns false if ctx ends before.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
