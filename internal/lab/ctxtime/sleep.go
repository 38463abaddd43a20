// Package ctxtime waits for a while, or until a run is over.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits and tells whether ctx still stands.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
