package policy

// pollRetryInterval is the number of seconds after which discovery is polled again if it has failed.
const pollRetryInterval = 1.0

// endpointsUpdated applies an update of the endpoint list. From now on, only backends that are ready get
// attempts.
func (e *Engine) endpointsUpdated(event EndpointsUpdated) {
	if event.Kind == ListFailed {
		// If all gateways polled again at once, discovery could not recover.
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

// applyEntry applies one entry of the endpoint list. A StartedAt earlier than the known one is outdated
// and ignored; the other fields of the entry are used.
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

// resetForNewProcess discards the statistics of a backend's previous process and begins its slow start with a
// random fraction of a token. With many gateways, each of them may send a backend in slow start only one
// request in many seconds. If every gateway began without tokens, the backend would be idle while it is
// needed most, and would then get a request from every gateway at once.
func (e *Engine) resetForNewProcess(b *backend) {
	b.latency = 0
	b.failureRate = 0
	b.slowStartTokens = e.rng.Float64()
	b.slowStartTokensAt = e.now
}
