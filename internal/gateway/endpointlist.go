package gateway

import "amberlb/policy"

// applyEndpointList takes in a list of backends, or changes to it. The transport follows it before the module hears of it,
// so that nothing is sent to a backend that drains.
func (l *eventLoop) applyEndpointList(listing EndpointList, kind policy.ListKind) {
	event := policy.EndpointsUpdated{Kind: kind}
	listed := map[policy.BackendID]bool{}
	for _, instance := range listing.Entries {
		backend, ok := l.readInstance(instance)
		if !ok {
			continue
		}
		listed[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		l.updateTransport(instance, backend)
	}
	if kind != policy.Delta {
		l.removeUnlisted(listed)
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onListing()
	}
}

// readInstance returns the backend that an entry describes, and false where the entry is to be passed over. An entry
// that can't be read, for a backend in use, may say that it drains, and is taken to.
func (l *eventLoop) readInstance(instance EndpointEntry) (backend policy.Backend, ok bool) {
	backend, err := instance.toBackend(l.deployment)
	if err != nil {
		l.log.Warn("discovery: an entry can't be read", "error", err)
		backend = policy.Backend{ID: backendID(instance.ID), State: policy.Draining}
		return backend, l.instanceNames[backend.ID] == instance.ID
	}
	// The module's id is a hash of the instance's.
	if name, known := l.instanceNames[backend.ID]; known && name != instance.ID {
		l.log.Warn("discovery: two instances have one id; the second is left out", "first", name, "second", instance.ID)
		return backend, false
	}
	return backend, true
}

// updateTransport has the transport follow an entry of a listing: only ready backends get connections.
func (l *eventLoop) updateTransport(instance EndpointEntry, backend policy.Backend) {
	if backend.State != policy.Ready {
		l.removeInstance(backend.ID)
		return
	}
	l.instanceNames[backend.ID] = instance.ID
	l.transport.updateEndpoint(backend.ID, instance.HostPort, backend.StartedAt)
}

// removeUnlisted removes the backends that are not in a full list.
func (l *eventLoop) removeUnlisted(listed map[policy.BackendID]bool) {
	for id := range l.instanceNames {
		if !listed[id] {
			l.removeInstance(id)
		}
	}
}

// removeInstance forgets a backend and ends all new sending to it.
func (l *eventLoop) removeInstance(id policy.BackendID) {
	delete(l.instanceNames, id)
	l.transport.removeEndpoint(id)
}
