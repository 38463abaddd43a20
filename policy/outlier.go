package policy

// Parameters of the ejection of outliers. A backend is ejected when too many of its recent attempts failed.
// It then gets only trials: single requests, at growing intervals, that show whether it works again.
const (
	failureGain         = 0.25 // weight of the newest outcome in the failure rate
	ejectionFailureRate = 0.4  // failure rate at which a backend is ejected
	minTrialInterval    = 0.5  // seconds until the first trial; the interval doubles with each trial
	maxTrialInterval    = 4.0  // seconds; upper limit of the interval
	healthDecayTime     = 5.0  // seconds; time constant of the decay of failure rate and latency
)

// ejected reports whether the backend gets only trials.
func (b *backend) ejected() bool { return b.failureRate >= ejectionFailureRate }

// recordSuccess records a served attempt. It can end the ejection of the backend, and with it the trials.
func (b *backend) recordSuccess(now float64) {
	b.lastSuccessAt = now
	b.consecutiveTimeouts = 0
	b.failureRate -= failureGain * b.failureRate
	if !b.ejected() {
		b.trialInterval = 0
	}
}

// recordFailure records an attempt that failed or that is overdue, whatever the cause. If that ejects the
// backend, its first trial is due after minTrialInterval.
func (b *backend) recordFailure(now float64) {
	wasEjected := b.ejected()
	b.failureRate += failureGain * (1 - b.failureRate)
	if b.ejected() && !wasEjected {
		b.trialInterval = minTrialInterval
		b.nextTrialAt = now + b.trialInterval
	}
}

// trialDue reports whether an ejected backend may get a request of the class as a trial. Requests that must
// not be executed twice are used for a trial only after a longer wait.
func (b *backend) trialDue(now float64, class *Class) bool {
	due := b.nextTrialAt
	if class.Idempotency != Idempotent {
		due += maxTrialInterval
	}
	return now >= due
}

// startTrial schedules the trial after the one that begins now, with twice the interval.
func (b *backend) startTrial(now float64) {
	b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
	b.nextTrialAt = now + b.trialInterval
}

// decay moves the backend's failure rate towards 0 and its latency towards the mean of all backends, by a
// share of the difference. A backend that is avoided because of a single failure or a slow response gets no
// attempts that could improve its statistics, so without decay the others would take over its work
// permanently. An ejected backend does not decay; it has its trials.
func (b *backend) decay(share, meanLatency float64) {
	if b.ejected() {
		return
	}
	b.failureRate -= share * b.failureRate
	if b.latency > 0 {
		b.latency += share * (meanLatency - b.latency)
	}
}
