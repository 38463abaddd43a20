package policy

// Parameters of the ejection of outliers. A backend is ejected when too many of its recent attempts failed.
// An ejected backend gets only trials: single requests, at growing intervals, that show whether it works
// again. If most candidates for an attempt are ejected, pick ignores the ejection.
const (
	failureGain         = 0.25 // weight of the newest outcome in the failure rate
	ejectionFailureRate = 0.4  // failure rate at which a backend is ejected
	minTrialInterval    = 0.5  // seconds from ejection to first trial; the interval doubles with each trial
	maxTrialInterval    = 4.0  // seconds; longest interval between trials
	healthDecayTime     = 5.0  // seconds; time constant of the decay of failure rate and latency
)

// ejected reports whether the backend is ejected because of its failure rate.
func (b *backend) ejected() bool { return b.failureRate >= ejectionFailureRate }

// recordSuccess records a served attempt. It can end the ejection of the backend.
func (b *backend) recordSuccess(now float64) {
	b.lastSuccessAt = now
	b.consecutiveTimeouts = 0
	b.failureRate -= failureGain * b.failureRate
	if !b.ejected() {
		b.trialInterval = 0
	}
}

// recordFailure records an attempt that failed, was rejected or is overdue. If the failure leads to the
// ejection of the backend, the first trial is due after minTrialInterval.
func (b *backend) recordFailure(now float64) {
	wasEjected := b.ejected()
	b.failureRate += failureGain * (1 - b.failureRate)
	if b.ejected() && !wasEjected {
		b.trialInterval = minTrialInterval
		b.nextTrialAt = now + b.trialInterval
	}
}

// trialDue reports whether an ejected backend may get a request of the class as a trial. Requests of a class
// that is not Idempotent are used as a trial only if the trial is overdue by at least maxTrialInterval.
func (b *backend) trialDue(now float64, class *Class) bool {
	due := b.nextTrialAt
	if class.Idempotency != Idempotent {
		due += maxTrialInterval
	}
	return now >= due
}

// startTrial doubles the interval between trials, up to maxTrialInterval, and schedules the next trial. It is
// called when a trial begins.
func (b *backend) startTrial(now float64) {
	b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
	b.nextTrialAt = now + b.trialInterval
}

// decay moves the backend's failure rate towards 0 and its latency towards meanLatency, the mean of all
// backends. The parameter share is the part of the difference by which it moves each value. A backend that is
// avoided because of a single failure or a slow response gets no attempts that could improve its statistics,
// so without decay the other backends would take over its work permanently. The statistics of an ejected
// backend do not decay, since trials update them.
func (b *backend) decay(share, meanLatency float64) {
	if b.ejected() {
		return
	}
	b.failureRate -= share * b.failureRate
	if b.latency > 0 {
		b.latency += share * (meanLatency - b.latency)
	}
}
