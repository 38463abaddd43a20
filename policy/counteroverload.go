package policy

// Some calls are shed while calls to the counter fail, so that an overloaded counter recovers. These values
// suit any deployment.
const (
	counterFailureGain = 0.05 // weight of the newest call in the failure rate
	shedFactor         = 4.0  // the share of calls to shed is this many times the failure rate
	maxShedShare       = 0.9  // of the calls, however high the failure rate
)

// recordReply counts the outcome of a call in the failure rate as no sign of overload.
func (s *counterState) recordReply() { s.failureRate -= counterFailureGain * s.failureRate }

// recordOverload changes the outcome that recordReply counted last to a failure.
func (s *counterState) recordOverload() { s.failureRate += counterFailureGain }

// shedCounterCall decides whether to shed the call for a customer's first waiting request, and reports it. A
// shed call delays the customer's next one. The higher the failure rate, the more calls are shed.
//
// In a large gateway set, each gateway finds out by a call of its own that a quota is exhausted, and a
// rejected client retries at another gateway. Most calls in an overload are therefore for retries and are
// granted nothing. They are shed first, and among retries and among first requests the lowest level is shed
// first. In a small set each gateway knows which quotas are exhausted, and all calls are shed alike.
func (e *Engine) shedCounterCall(c *customer) bool {
	shedShare := min(shedFactor*e.counter.failureRate, maxShedShare)
	if !c.quota.smallGatewaySet {
		shedShare = e.shedShareFor(c.waiting[0], shedShare)
	}
	if e.rng.Float64() >= shedShare {
		return false
	}
	c.backoff.delayOnce(e.now)
	return true
}

// shedShareFor returns the share to shed of the calls for requests like this one, if shedShare of all calls
// are shed: calls for retries before those for first requests, and lower levels before higher ones.
func (e *Engine) shedShareFor(req *request, shedShare float64) float64 {
	// shedBefore is the share of all calls that are shed before those for requests like this one, which are
	// callShare of all calls.
	shedBefore, callShare := 0.0, e.retries.clientRetryShare
	if !req.IsRetry {
		shedBefore, callShare = e.retries.clientRetryShare, 1-e.retries.clientRetryShare
	}
	totalRate, lowerRate := 0.0, 0.0
	for level, rate := range e.queue.arrivalRates {
		totalRate += rate
		if level < req.level {
			lowerRate += rate
		}
	}
	if totalRate > 0 {
		shedBefore += callShare * lowerRate / totalRate
		callShare = callShare * e.queue.arrivalRates[req.level] / totalRate
	}
	return min((shedShare-shedBefore)/max(callShare, counterFailureGain/2), maxShedShare)
}
