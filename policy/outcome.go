package policy

// recordOutcome updates the statistics from the end of an attempt: the backend's failure rate and latency,
// the mean latency over all backends, and the concurrency limit.
func (e *Engine) recordOutcome(req *request, a *attempt, outcome Outcome) {
	elapsed := e.now - a.sentAt
	switch outcome {
	case Served:
		a.backend.recordSuccess(e.now)
		e.expireAbandoned(a.backend, a.sentAt)
		a.backend.recordLatency(elapsed)
		e.latency.record(elapsed)
		e.adjustLimit(elapsed / req.class.LatencyObjective)
	case Failed, ConnectionReset, ConnectFailed:
		a.backend.recordFailure(e.now)
	case Rejected:
		a.backend.recordFailure(e.now)
		e.adjustLimit(1)
	case TimedOut, Cancelled:
		if elapsed > e.latency.slowThreshold() { // a shorter wait doesn't show that the backend is slow
			a.backend.recordLatency(max(elapsed, a.backend.latency))
			if outcome == TimedOut {
				e.adjustLimit(1)
			}
		}
	}
}
