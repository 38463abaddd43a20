package policy

// Membership: the list of backends as discovery tells it.

// pollRetryInterval is how many seconds pass until discovery is asked again after it failed.
const pollRetryInterval = 1.0

// endpointsUpdated takes in changes of the list. What is not ready gets nothing from now on.
func (e *Engine) endpointsUpdated(event EndpointsUpdated) {
	if event.Kind == ListFailed {
		// Polled again at once by all gateways, discovery would stay down.
		e.setTimer(pollRetryInterval, timerToken{kind: pollEndpointsTimer})
		return
	}
	if event.Kind != Delta {
		for _, b := range e.backends.ordered {
			b.State = Removed
		}
	}
	for _, entry := range event.Entries {
		fresh := e.backends.byID[entry.ID] == nil
		b := e.findOrAddBackend(entry)
		if fresh || entry.StartedAt > b.StartedAt {
			b.latency, b.failureRate = 0, 0 // a new process
			// Of many gateways, each may send a cold backend one request in many seconds. Were all to
			// save up for it from nothing, it would idle while it is needed most, and then get them all at once.
			b.slowStartTokens, b.slowStartTokensAt = e.rng.Float64(), e.now
		} else {
			entry.StartedAt = b.StartedAt
		}
		b.Backend = entry
	}
	if e.limiter.limit == 0 && len(e.backends.ordered) > 0 {
		e.limiter.limit = initialLimitPerBackend * e.backendsPerGateway()
	}
}
