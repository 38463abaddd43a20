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

// applyEntry applies one entry of the endpoint list. A StartedAt that is earlier than the known value is
// outdated and ignored. The other fields of the entry are used.
func (e *Engine) applyEntry(entry Backend) {
	isNew := e.backends.byID[entry.ID] == nil
	b := e.findOrAddBackend(entry)
	if isNew || entry.StartedAt > b.StartedAt {
		e.resetForNewProcess(b)
	} else {
		entry.StartedAt = b.StartedAt
	}
	b.Backend = entry
}

// resetForNewProcess discards the latency and the failure rate of a backend's previous process. It begins the
// slow start of the new process with a random fraction of a token. With many gateways, a single gateway may
// send a backend in slow start only one request in many seconds. If every gateway began without tokens, the
// backend would first be idle although it is needed, and would then get requests from all gateways
// simultaneously.
func (e *Engine) resetForNewProcess(b *backend) {
	b.latency = 0
	b.failureRate = 0
	b.slowStartTokens = e.rng.Float64()
	b.slowStartTokensAt = e.now
}
