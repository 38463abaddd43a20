package gateway

import "amberlb/policy"

// applyEndpointList applies a full list of backends, or changes to the list, to the transport and the engine. The
// transport is updated first: the engine may start attempts when it gets the list, and the attempts must not reach a
// draining backend.
func (l *eventLoop) applyEndpointList(list EndpointList, kind policy.ListKind) {
	event := policy.EndpointsUpdated{Kind: kind}
	listed := map[policy.BackendID]bool{}
	for _, entry := range list.Entries {
		backend, ok := l.convertEntry(entry)
		if !ok {
			continue
		}
		listed[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		l.updateTransport(entry, backend)
	}
	if kind != policy.DeltaList {
		l.removeUnlisted(listed)
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onEndpointList()
	}
}

// convertEntry converts an entry to the engine's representation. It returns false if the entry has to be ignored. An
// invalid entry for a backend in use is not ignored: the backend may be draining, so it is treated as draining.
func (l *eventLoop) convertEntry(entry EndpointEntry) (backend policy.Backend, ok bool) {
	backend, err := entry.toBackend(l.deployment)
	if err != nil {
		l.log.Warn("discovery: invalid endpoint entry", "error", err)
		backend = policy.Backend{ID: backendID(entry.ID), State: policy.Draining}
		return backend, l.backendNames[backend.ID] == entry.ID
	}
	// The engine's id is a hash of the instance's id, so two instances can collide.
	if name, known := l.backendNames[backend.ID]; known && name != entry.ID {
		l.log.Warn("discovery: two instance ids have the same hash; the second is ignored", "first", name, "second", entry.ID)
		return backend, false
	}
	return backend, true
}

// updateTransport applies an entry to the transport, which has endpoints for ready backends only.
func (l *eventLoop) updateTransport(entry EndpointEntry, backend policy.Backend) {
	if backend.State != policy.Ready {
		l.removeBackend(backend.ID)
		return
	}
	l.backendNames[backend.ID] = entry.ID
	l.transport.updateEndpoint(backend.ID, entry.HostPort, backend.StartedAt)
}

// removeUnlisted removes the backends that a full list doesn't contain.
func (l *eventLoop) removeUnlisted(listed map[policy.BackendID]bool) {
	for id := range l.backendNames {
		if !listed[id] {
			l.removeBackend(id)
		}
	}
}

// removeBackend removes a backend from the transport, so that no new attempt is sent to the backend.
func (l *eventLoop) removeBackend(id policy.BackendID) {
	delete(l.backendNames, id)
	l.transport.removeEndpoint(id)
}
