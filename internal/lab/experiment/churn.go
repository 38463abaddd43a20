package experiment

import (
	"context"
	"sync"
	"time"

	"amberlb/internal/gateway"
)

const (
	churnInterval = 100 * time.Millisecond // time between two updates of the endpoint list
	drainGrace    = 2 * time.Second        // time from the start of a backend's draining to its removal from the list
)

// Lifecycle states of an entry in the endpoint list.
const (
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// spareBackends returns the number of backends that churn may add to the endpoint list during a phase.
func (e *Experiment) spareBackends() int {
	return int(e.Churn.ReplacementsPerSecond * e.phaseTimeout().Seconds())
}

// startChurn starts a goroutine that replaces backends in the endpoint list. The returned function stops the goroutine
// and waits until it has ended.
func (s *standins) startChurn(ctx context.Context, replacementsPerSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var churning sync.WaitGroup
	churning.Go(func() { s.replaceBackends(ctx, replacementsPerSecond) })
	return func() {
		cancel()
		churning.Wait()
	}
}

// replaceBackends replaces backends at the given rate until ctx ends. It stops replacing when no spare backends remain.
// A replaced backend is listed as draining first, and is removed from the list after drainGrace.
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

// replaceOldest replaces the oldest listed backend with a spare backend, and sets the start time of the spare backend
// to now. It returns the changed entries of both backends. The old backend is draining.
func (s *standins) replaceOldest(now time.Time) (old, next gateway.EndpointEntry) {
	old = s.listedBackends[0]
	old.Lifecycle = lifecycleDraining
	next = s.spareBackends[0]
	next.StartedAtMs = now.UnixMilli()
	s.listedBackends = append(s.listedBackends[1:], next)
	s.spareBackends = s.spareBackends[1:]
	return old, next
}

// drainingBackend is a backend that was replaced and is draining.
type drainingBackend struct {
	since time.Time
	entry gateway.EndpointEntry
}

// drainQueue holds the draining backends in the order in which they began to drain.
type drainQueue []drainingBackend

// popRemoved dequeues the backends that have drained for drainGrace, and returns the entries that remove them from the
// endpoint list.
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
