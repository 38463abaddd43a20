package policy

// pollRetryInterval is the number of seconds from a failure of discovery to the next poll.
const pollRetryInterval = 1.0

// endpointsUpdated applies an update of the endpoint list. After the update, only backends that are ready get
// attempts.
func (e *Engine) endpointsUpdated(event EndpointsUpdated) {
	if event.Kind == ListFailed {
		// If all gateways polled again immediately, discovery could not recover.
		e.setTimer(pollRetryInterval, timerToken{kind: pollEndpointsTimer})
		return
	}
	if event.Kind != DeltaList {
		e.backends.markAllRemoved()
	}
	for _, entry := range event.Entries {
		e.applyEntry(entry)
	}
	if e.limiter.limit == 0 && len(e.backends.ordered) > 0 {
		e.limiter.limit = initialLimitPerBackend * e.backendsPerGateway()
	}
}

// applyEntry applies one entry of the endpoint list.
func (e *Engine) applyEntry(entry Backend) {
	isNew := e.backends.byID[entry.ID] == nil
	b := e.findOrAddBackend(entry)
	if isNew {
		b.StartedAt = 0 // no process of the backend is known
	}
	if isNew || b.isNewProcess(entry) {
		e.beginProcess(b, entry.StartedAt)
	} else {
		entry.StartedAt = b.StartedAt
	}
	b.Backend = entry
}
