package policy

// Health: what is learnt of a backend from the attempts that it got.

// Health of a backend.
const (
	failureGain         = 0.25 // weight of the newest outcome in the failure share
	ejectionFailureRate = 0.4  // failure share at which a backend gets trials only
	minTrialInterval    = 0.5  // seconds between trials of an ejected backend; doubles
	maxTrialInterval    = 4.0
	healthDecayTime     = 5.0 // seconds over which what was learnt of a backend in use fades
)

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
