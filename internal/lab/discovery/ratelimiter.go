package discovery

import (
	"context"
	"time"
)

// maxCatchUp limits how late a permit may be granted without delaying the later permits. The system's timers are
// imprecise. Without maxCatchUp, late timers would lower the rate.
const maxCatchUp = 10 * time.Millisecond

// rateLimiter grants permits at a limited rate, in the order of the calls of wait. A call
// of wait whose context ends uses no permit.
type rateLimiter struct {
	interval time.Duration // time between two permits
	permits  chan struct{} // unbuffered, so that each permit goes to the call of wait that has waited longest
}

func newRateLimiter(perSecond float64) *rateLimiter {
	return &rateLimiter{
		interval: time.Duration(float64(time.Second) / perSecond),
		permits:  make(chan struct{}),
	}
}

// run grants permits until ctx ends. If no call of wait is pending, one permit is kept for the next call.
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

// wait waits for a permit. It returns ctx's error if ctx ends first.
func (l *rateLimiter) wait(ctx context.Context) error {
	select {
	case <-l.permits:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
