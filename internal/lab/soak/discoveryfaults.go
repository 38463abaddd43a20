package soak

import (
	"context"

	"amberlb/internal/gateway"
)

// Lifecycle values of an entry in the list of backends.
const (
	lifecycleReady    = "Ready"
	lifecycleDraining = "Terminating"
	lifecycleRemoved  = "Gone"
)

// runDrains carries out the planned drains: each backend is listed as draining, removed from the list, and added again.
func (r *runner) runDrains(ctx context.Context) {
	for _, drain := range r.plan.Drains {
		if !r.sleepUntil(ctx, drain.DrainAt) {
			return
		}
		r.setLifecycle(drain.Backend, lifecycleDraining)
		if !r.sleepUntil(ctx, drain.RemovedAt) {
			return
		}
		r.setLifecycle(drain.Backend, lifecycleRemoved)
		if !r.sleepUntil(ctx, drain.ReadyAt) {
			return
		}
		r.setLifecycle(drain.Backend, lifecycleReady)
	}
}

// setLifecycle changes the lifecycle of a backend in the list, and records the change.
func (r *runner) setLifecycle(backend int, lifecycle string) {
	entry := r.standins.entries[backend]
	entry.Lifecycle = lifecycle
	r.standins.discovery.ApplyDelta([]gateway.EndpointEntry{entry})
	r.mu.Lock()
	defer r.mu.Unlock()
	change := ListChange{Backend: entry.ID, At: r.clock.Now(), Ready: lifecycle == lifecycleReady}
	r.listChanges = append(r.listChanges, change)
}

// runOutages carries out the planned outages of discovery.
func (r *runner) runOutages(ctx context.Context) {
	for _, outage := range r.plan.Outages {
		if !r.sleepUntil(ctx, outage.From) {
			return
		}
		r.standins.discoveryProxy.SetBlackhole(true)
		r.sleepUntil(ctx, outage.To)
		r.standins.discoveryProxy.SetBlackhole(false)
	}
}
