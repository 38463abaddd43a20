// Package ctxtime has a sleep that ends early when a context ends.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for duration and returns true. If ctx ends first, it returns false at once.
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
