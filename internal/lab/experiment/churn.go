package experiment

import (
	"context"
	"sync"
	"time"

	"amberlb/internal/gateway"
)

const (
	churnInterval = 100 * time.Millisecond // between two batches of changes of the list
	drainGrace    = 2 * time.Second        // from when a backend drains until it is removed from the list
)

// Lifecycles of an entry in the list of backends.
const (
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// spareBackends is the number of backends that churn may need in a phase beside those that are listed.
func (e *Experiment) spareBackends() int {
	return int(e.Churn.ReplacementsPerSecond * e.phaseTimeout().Seconds())
}

// startChurn replaces backends in the list until stop is called, which waits for the end.
func (s *standins) startChurn(ctx context.Context, replacementsPerSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var churning sync.WaitGroup
	churning.Go(func() { s.replaceBackends(ctx, replacementsPerSecond) })
	return func() {
		cancel()
		churning.Wait()
	}
}

// replaceBackends replaces so many backends a second until ctx ends or no spare ones remain. A backend that is replaced
// drains first, and is removed from the list after the grace of drains.
func (s *standins) replaceBackends(ctx context.Context, replacementsPerSecond float64) {
	if replacementsPerSecond <= 0 {
		return
	}
	ticker := time.NewTicker(churnInterval)
	defer ticker.Stop()
	start := time.Now()
	replaced := 0
	var draining drainQueue
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			delta := draining.popRemoved(now)
			due := int(now.Sub(start).Seconds() * replacementsPerSecond)
			for ; replaced < due && len(s.spareBackends) > 0; replaced++ {
				old, next := s.replaceOldest(now)
				delta = append(delta, old, next)
				draining = append(draining, drainingBackend{since: now, entry: old})
			}
			if len(delta) > 0 {
				s.discovery.ApplyDelta(delta)
			}
		}
	}
}

// replaceOldest takes the oldest backend out of the listed ones and puts a spare one in its place, which has just
// started. It returns the entries of both: the old one drains.
func (s *standins) replaceOldest(now time.Time) (old, next gateway.EndpointEntry) {
	old = s.listedBackends[0]
	old.Lifecycle = lifecycleDraining
	next = s.spareBackends[0]
	next.StartedAtMs = now.UnixMilli()
	s.listedBackends = append(s.listedBackends[1:], next)
	s.spareBackends = s.spareBackends[1:]
	return old, next
}

// drainingBackend is a backend that drains.
type drainingBackend struct {
	since time.Time
	entry gateway.EndpointEntry
}

// drainQueue holds the backends that drain, the longest first.
type drainQueue []drainingBackend

// popRemoved takes out the backends whose grace is over and returns their entries, by which they are removed from the
// list.
func (q *drainQueue) popRemoved(now time.Time) []gateway.EndpointEntry {
	var removed []gateway.EndpointEntry
	for len(*q) > 0 && now.Sub((*q)[0].since) >= drainGrace {
		entry := (*q)[0].entry
		entry.Lifecycle = lifecycleRemoved
		removed = append(removed, entry)
		*q = (*q)[1:]
	}
	return removed
}
