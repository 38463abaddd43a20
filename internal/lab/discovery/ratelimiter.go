package discovery

import (
	"context"
	"time"
)

// maxCatchUp is how late a turn may come and still not delay those after it: the
// system's timers are that coarse.
const maxCatchUp = 10 * time.Millisecond

// rateLimiter gives turns at a bounded rate, first come first served. Who leaves gives up
// the place in the line and costs no turn.
type rateLimiter struct {
	interval time.Duration
	tokens   chan struct{}
}

func newRateLimiter(perSecond float64) *rateLimiter {
	return &rateLimiter{interval: time.Duration(float64(time.Second) / perSecond), tokens: make(chan struct{})}
}

// run gives turns until ctx ends.
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
		case l.tokens <- struct{}{}: // waiting callers get it in their order
		}
		if earliest := time.Now().Add(-maxCatchUp); next.Before(earliest) {
			next = earliest
		}
		next = next.Add(l.interval)
	}
}

// wait waits for one. It returns false if ctx ends first.
func (l *rateLimiter) wait(ctx context.Context) bool {
	select {
	case <-l.tokens:
		return true
	case <-ctx.Done():
		return false
	}
}
