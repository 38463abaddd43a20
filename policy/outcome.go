package policy

// recordOutcome updates the statistics from the end of an attempt: those of its backend, the mean latency
// over all backends, and the concurrency limit.
func (e *Engine) recordOutcome(req *request, a *attempt, outcome Outcome) {
	elapsed := e.now - a.sentAt
	if a.isCurrent() {
		e.recordAtBackend(a, outcome, elapsed)
	}
	switch outcome {
	case Served:
		e.latency.record(elapsed)
		e.adjustLimit(elapsed / req.class.LatencyObjective)
	case Rejected:
		e.adjustLimit(1)
	case TimedOut:
		if elapsed > e.latency.slowThreshold() {
			e.adjustLimit(1)
		}
	}
}

// recordAtBackend updates the failure rate and the latency of an attempt's backend.
func (e *Engine) recordAtBackend(a *attempt, outcome Outcome, elapsed float64) {
	switch outcome {
	case Served:
		a.backend.recordSuccess(e.now)
		e.expireAbandoned(a.backend, a.sentAt)
		a.backend.recordLatency(elapsed)
	case Failed, ConnectionReset, ConnectFailed, Rejected:
		a.backend.recordFailure(e.now)
	case TimedOut, Cancelled:
		if elapsed > e.latency.slowThreshold() { // a shorter wait doesn't show that the backend is slow
			a.backend.recordLatency(max(elapsed, a.backend.latency))
		}
	}
}
