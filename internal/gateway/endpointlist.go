package gateway

import "amberlb/policy"

// applyEndpointList takes in a list of backends, or changes to it. The transport follows it before the engine does,
// so that nothing is sent to a backend that drains.
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
	if kind != policy.Delta {
		l.removeUnlisted(listed)
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onEndpointList()
	}
}

// convertEntry returns the backend that an entry describes, and false where the entry is to be passed over. An entry
// that can't be read, for a backend in use, may say that it drains, and is taken to.
func (l *eventLoop) convertEntry(entry EndpointEntry) (backend policy.Backend, ok bool) {
	backend, err := entry.toBackend(l.deployment)
	if err != nil {
		l.log.Warn("discovery: an entry can't be read", "error", err)
		backend = policy.Backend{ID: backendID(entry.ID), State: policy.Draining}
		return backend, l.backendNames[backend.ID] == entry.ID
	}
	// The engine's id is a hash of the instance's.
	if name, known := l.backendNames[backend.ID]; known && name != entry.ID {
		l.log.Warn("discovery: two instances have one id; the second is left out", "first", name, "second", entry.ID)
		return backend, false
	}
	return backend, true
}

// updateTransport has the transport follow an entry of the list: only ready backends get connections.
func (l *eventLoop) updateTransport(entry EndpointEntry, backend policy.Backend) {
	if backend.State != policy.Ready {
		l.removeBackend(backend.ID)
		return
	}
	l.backendNames[backend.ID] = entry.ID
	l.transport.updateEndpoint(backend.ID, entry.HostPort, backend.StartedAt)
}

// removeUnlisted removes the backends that are not in a full list.
func (l *eventLoop) removeUnlisted(listed map[policy.BackendID]bool) {
	for id := range l.backendNames {
		if !listed[id] {
			l.removeBackend(id)
		}
	}
}

// removeBackend forgets a backend and ends all new sending to it.
func (l *eventLoop) removeBackend(id policy.BackendID) {
	delete(l.backendNames, id)
	l.transport.removeEndpoint(id)
}
