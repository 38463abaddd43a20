package discovery

import (
	"context"
	"time"
)

// maxCatchUp is how late a turn may come without delaying those after it: the
// system's timers are that coarse.
const maxCatchUp = 10 * time.Millisecond

// rateLimiter grants turns at a limited rate, in the order of the calls of wait. A call
// whose context ends leaves the queue and uses no turn.
type rateLimiter struct {
	interval time.Duration // between two turns
	permits  chan struct{} // unbuffered, so that a turn goes to the call that has waited longest
}

func newRateLimiter(perSecond float64) *rateLimiter {
	return &rateLimiter{
		interval: time.Duration(float64(time.Second) / perSecond),
		permits:  make(chan struct{}),
	}
}

// run grants turns until ctx ends. A turn that no call waits for is kept for the next one.
func (l *rateLimiter) run(ctx context.Context) {
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		select {
		case <-ctx.Done():
			return
		case l.permits <- struct{}{}:
		}
		earliest := time.Now().Add(-maxCatchUp)
		if next.Before(earliest) {
			next = earliest
		}
		next = next.Add(l.interval)
	}
}

// wait waits for a turn. The error is ctx's, if it ends first.
func (l *rateLimiter) wait(ctx context.Context) error {
	select {
	case <-l.permits:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
