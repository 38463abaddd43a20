package policy

// Ejection of outliers, by the share of recent attempts that failed.
const (
	failureGain         = 0.25 // weight of the newest outcome in the failure rate
	ejectionFailureRate = 0.4  // failure rate at which a backend is ejected: it gets trials only
	minTrialInterval    = 0.5  // seconds between trials of an ejected backend; doubles
	maxTrialInterval    = 4.0  // seconds
	healthDecayTime     = 5.0  // seconds over which what was learnt of a backend in use decays
)

// ejected reports whether the backend gets trials only.
func (b *backend) ejected() bool { return b.failureRate >= ejectionFailureRate }

// recordSuccess takes in a served attempt. A backend that is no longer ejected by it needs no trials.
func (b *backend) recordSuccess(now float64) {
	b.lastSuccessAt = now
	b.consecutiveTimeouts = 0
	b.failureRate -= failureGain * b.failureRate
	if !b.ejected() {
		b.trialInterval = 0
	}
}

// recordFailure takes in a failure or a silence, whatever its cause. A backend that it ejects waits for its
// first trial.
func (b *backend) recordFailure(now float64) {
	wasEjected := b.ejected()
	b.failureRate += failureGain * (1 - b.failureRate)
	if b.ejected() && !wasEjected {
		b.trialInterval = minTrialInterval
		b.nextTrialAt = now + b.trialInterval
	}
}

// trialDue reports whether an ejected backend may get a request of the class as a trial. One that may not run
// twice goes there only after a longer pause.
func (b *backend) trialDue(now float64, class *Class) bool {
	due := b.nextTrialAt
	if class.Idempotency != Idempotent {
		due += maxTrialInterval
	}
	return now >= due
}

// startTrial has the backend wait for its next trial, twice as long as for this one.
func (b *backend) startTrial(now float64) {
	b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
	b.nextTrialAt = now + b.trialInterval
}

// decay moves what was learnt of a backend by a share towards that of an average one. A backend that is
// passed over for a single failure or a slow answer gets nothing that could put that right, and the others
// would bear its work for good. An ejected one has its trials.
func (b *backend) decay(share, meanLatency float64) {
	if b.ejected() {
		return
	}
	b.failureRate -= share * b.failureRate
	if b.latency > 0 {
		b.latency += share * (meanLatency - b.latency)
	}
}
