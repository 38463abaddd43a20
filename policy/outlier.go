package policy

import (
	"math"
	"slices"
)

// Health: what is learnt of a backend from the attempts that it got.

// Health of a backend.
const (
	failureGain         = 0.25 // weight of the newest outcome in the failure share
	ejectionFailureRate = 0.4  // failure share at which a backend gets trials only
	latencyGain         = 0.15 // weight of the newest latency
	maxLatencyFactor    = 8.0  // a backend counts as this many times slower at most
	minTrialInterval    = 0.5  // seconds between trials of an ejected backend; doubles
	maxTrialInterval    = 4.0
	healthDecayTime     = 5.0 // seconds over which what was learnt of a backend in use fades
	slowDeviations      = 4.0 // an attempt is late this many mean deviations past the mean
)

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

func (b *backend) recordLatency(took float64) {
	if b.latency == 0 {
		b.latency = took
	}
	b.latency += latencyGain * (took - b.latency)
}

// decay lets what was learnt of a backend fade. One that is passed over for a single failure or a slow
// answer gets nothing that could put that right, and the others bear its work for good. One that is left out
// has its trials.
func (b *backend) decay(share, meanLatency float64) {
	if b.ejected() {
		return
	}
	b.failureRate -= share * b.failureRate
	if b.latency > 0 {
		b.latency += share * (meanLatency - b.latency)
	}
}

func (b *backend) ejected() bool { return b.failureRate >= ejectionFailureRate }

// recordFailure counts a failure or a silence, whatever its cause.
func (e *Engine) recordFailure(b *backend) {
	was := b.ejected()
	b.failureRate += failureGain * (1 - b.failureRate)
	if b.ejected() && !was {
		b.trialInterval = minTrialInterval
		b.nextTrialAt = e.now + b.trialInterval
	}
}

// expireAbandoned ends the ghosts of s that were sent before a served attempt, since backends take work in
// order, and those that have outlived all patience.
func (e *Engine) expireAbandoned(b *backend, served float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(h abandonedAttempt) bool {
		over := h.sentAt < served || h.expiresAt < e.now
		if over {
			e.attemptFinished(b, h.level)
		}
		return over
	})
}

// latencyStats is the mean latency of served attempts at all backends and its mean deviation, in seconds.
type latencyStats struct {
	mean      float64 // 0: no attempt has been served yet
	deviation float64
}
