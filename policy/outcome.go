package policy

import "math"

// recordOutcome learns from an outcome: the backend's health and pace, and the bound.
func (e *Engine) recordOutcome(req *request, a *attempt, event AttemptEnded) {
	b := a.backend
	took := e.now - a.sentAt
	switch event.Outcome {
	case Served:
		b.lastSuccessAt, b.consecutiveTimeouts = e.now, 0
		e.expireAbandoned(b, a.sentAt)
		b.failureRate -= failureGain * b.failureRate
		if !b.ejected() {
			b.trialInterval = 0
		}
		b.recordLatency(took)
		if e.latency.mean == 0 {
			e.latency.mean, e.latency.deviation = took, took/2
		}
		e.latency.deviation += 0.02 * (math.Abs(took-e.latency.mean) - e.latency.deviation)
		e.latency.mean += 0.02 * (took - e.latency.mean)
		e.adjustLimit(took / req.class.LatencyObjective)
	case Failed, ConnectionReset, ConnectFailed:
		e.recordFailure(b)
	case Rejected:
		e.recordFailure(b)
		e.adjustLimit(1)
	case TimedOut, Cancelled:
		if took > e.slowAfter() {
			if b.recordLatency(max(took, b.latency)); event.Outcome == TimedOut {
				e.adjustLimit(1)
			}
		}
	}
}
