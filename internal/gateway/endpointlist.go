package gateway

import "amberlb/policy"

// applyEndpointList takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *eventLoop) applyEndpointList(listing EndpointList, kind policy.ListKind) {
	event := policy.EndpointsUpdated{Kind: kind}
	listed := map[policy.BackendID]bool{}
	for _, instance := range listing.Entries {
		backend, err := instance.toBackend(l.deployment)
		if err != nil {
			l.log.Warn("discovery: an entry can't be read", "error", err)
			// What can't be read of a backend in use may be that it drains.
			backend = policy.Backend{ID: backendID(instance.ID), State: policy.Draining}
			if l.instanceNames[backend.ID] != instance.ID {
				continue
			}
		}
		if name, known := l.instanceNames[backend.ID]; known && name != instance.ID {
			l.log.Warn("discovery: two instances have one id; the second is left out", "first", name, "second", instance.ID)
			continue
		}
		listed[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		if backend.State == policy.Ready {
			l.instanceNames[backend.ID] = instance.ID
			l.transport.updateEndpoint(backend.ID, instance.HostPort, backend.StartedAt)
		} else {
			delete(l.instanceNames, backend.ID)
			l.transport.removeEndpoint(backend.ID)
		}
	}
	if kind != policy.Delta {
		for id := range l.instanceNames {
			if !listed[id] {
				delete(l.instanceNames, id)
				l.transport.removeEndpoint(id)
			}
		}
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onListing()
	}
}
