package policy

// pollRetryInterval is the seconds until discovery is polled again after it failed.
const pollRetryInterval = 1.0

// endpointsUpdated takes in changes of the endpoint list. What is not ready gets nothing from now on.
func (e *Engine) endpointsUpdated(event EndpointsUpdated) {
	if event.Kind == ListFailed {
		// Polled again at once by all gateways, discovery would stay down.
		e.setTimer(pollRetryInterval, timerToken{kind: pollEndpointsTimer})
		return
	}
	if event.Kind != Delta {
		e.backends.markAllRemoved()
	}
	for _, entry := range event.Entries {
		e.applyEntry(entry)
	}
	if e.limiter.limit == 0 && len(e.backends.ordered) > 0 {
		e.limiter.limit = initialLimitPerBackend * e.backendsPerGateway()
	}
}

// applyEntry takes in one entry of the endpoint list. An entry that names an earlier start than the one known
// is late in that, and counts in the rest.
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

// resetForNewProcess forgets what was learnt of a backend's former process, and begins its slow start with a
// random part of a token. Of many gateways, each may send a backend in slow start one request in many
// seconds. Were all to save up for it from nothing, it would idle while it is needed most, and then get them
// all at once.
func (e *Engine) resetForNewProcess(b *backend) {
	b.latency = 0
	b.failureRate = 0
	b.slowStartTokens = e.rng.Float64()
	b.slowStartTokensAt = e.now
}
