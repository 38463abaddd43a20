package gateway

import "amberlb/policy"

// applyEndpointList applies a full list of backends, or changes to the list, to the transport and the engine. The
// transport is updated first: the engine may start attempts when it gets the list, and the attempts must not reach a
// draining backend.
func (l *eventLoop) applyEndpointList(list EndpointList, kind policy.ListKind) {
	entries := l.convertEntries(list)
	if kind != policy.DeltaList {
		l.removeUnlisted(entries)
	}
	event := policy.EndpointsUpdated{Kind: kind}
	for _, entry := range entries {
		if entry.backend.State == policy.Ready {
			event.Entries = append(event.Entries, l.claimAddress(entry.address, &entry.backend)...)
		}
		event.Entries = append(event.Entries, entry.backend)
		l.updateTransport(entry)
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onEndpointList()
	}
}

// listedBackend is an entry of an endpoint list in the engine's representation, with what the transport needs.
type listedBackend struct {
	name    string // instance id in discovery
	address string
	backend policy.Backend
}

// convertEntries converts the entries of a list that need not be ignored.
func (l *eventLoop) convertEntries(list EndpointList) []listedBackend {
	entries := make([]listedBackend, 0, len(list.Entries))
	for _, entry := range list.Entries {
		if backend, ok := l.convertEntry(entry); ok {
			entries = append(entries, listedBackend{entry.ID, entry.HostPort, backend})
		}
	}
	return entries
}

// convertEntry converts an entry to the engine's representation. It returns false if the entry has to be ignored. An
// invalid entry for a backend in use is not ignored: the backend may be draining, so it is treated as draining.
func (l *eventLoop) convertEntry(entry EndpointEntry) (backend policy.Backend, ok bool) {
	backend, err := entry.toBackend(l.deployment)
	if err != nil {
		l.log.Warn("discovery: invalid endpoint entry", "error", err)
		backend = policy.Backend{ID: backendID(entry.ID), State: policy.Draining}
		return backend, l.readyBackends[backend.ID].name == entry.ID
	}
	// The engine's id is a hash of the instance's id, so two instances can collide.
	if known, ready := l.readyBackends[backend.ID]; ready && known.name != entry.ID {
		l.log.Warn("discovery: two instance ids have the same hash; the second is ignored", "first", known.name, "second", entry.ID)
		return backend, false
	}
	return backend, true
}

// claimAddress gives a ready backend its address. An address belongs to the process that started there last. If another
// ready backend has the address, its process has gone, although discovery has not told so yet, or told the changes in
// another order: attempts at that backend would reach the new process. The other backend is then treated as draining, and
// claimAddress returns its entry for the engine. If the other process started later, the backend itself is treated as
// draining.
func (l *eventLoop) claimAddress(address string, backend *policy.Backend) []policy.Backend {
	ownerID := l.addressOwners[address]
	owner, ready := l.readyBackends[ownerID]
	if !ready || owner.address != address || ownerID == backend.ID {
		return nil
	}
	if backend.StartedAt < owner.backend.StartedAt || l.superseded[backend.ID] == address {
		l.superseded[backend.ID] = address
		backend.State = policy.Draining
		return nil
	}
	l.log.Warn("discovery: a new backend has the address of another one, which counts as draining", "address", address,
		"old", owner.name)
	l.superseded[ownerID] = address
	l.removeBackend(ownerID)
	owner.backend.State = policy.Draining
	return []policy.Backend{owner.backend}
}

// updateTransport applies an entry to the transport, which has endpoints for ready backends only.
func (l *eventLoop) updateTransport(entry listedBackend) {
	id := entry.backend.ID
	if entry.backend.State != policy.Ready {
		l.removeBackend(id)
		if entry.backend.State == policy.Removed {
			delete(l.superseded, id)
		}
		return
	}
	l.releaseAddress(id)
	l.readyBackends[id] = entry
	l.addressOwners[entry.address] = id
	delete(l.superseded, id)
	l.transport.updateEndpoint(id, entry.address, entry.backend.StartedAt)
}

// removeUnlisted removes the backends that a full list doesn't contain.
func (l *eventLoop) removeUnlisted(entries []listedBackend) {
	listed := make(map[policy.BackendID]bool, len(entries))
	for _, entry := range entries {
		listed[entry.backend.ID] = true
	}
	for id := range l.readyBackends {
		if !listed[id] {
			l.removeBackend(id)
		}
	}
	for id := range l.superseded {
		if !listed[id] {
			delete(l.superseded, id)
		}
	}
}

// removeBackend removes a backend from the transport, so that no new attempt is sent to the backend.
func (l *eventLoop) removeBackend(id policy.BackendID) {
	l.releaseAddress(id)
	delete(l.readyBackends, id)
	l.transport.removeEndpoint(id)
}

// releaseAddress makes the address of a backend free, unless another backend has it now.
func (l *eventLoop) releaseAddress(id policy.BackendID) {
	if address := l.readyBackends[id].address; l.addressOwners[address] == id {
		delete(l.addressOwners, address)
	}
}
