package policy

// While calls to the counter fail through overload, a share of the calls is shed, so that the counter can
// recover.
const (
	counterFailureGain = 0.05 // weight of the newest call in the failure rate
	shedFactor         = 4.0  // share of the calls to shed, as a multiple of the failure rate
	maxShedShare       = 0.9  // largest share of the calls to shed
)

// recordReply lowers the failure rate when a call has ended. If the call failed through overload,
// recordOverload must be called next.
func (s *counterState) recordReply() { s.failureRate -= counterFailureGain * s.failureRate }

// recordOverload raises the failure rate for a call that failed through overload. recordReply must have been
// called for the same call before.
func (s *counterState) recordOverload() { s.failureRate += counterFailureGain }

// shedCounterCall decides at random whether to shed the call for a customer's first waiting request, and
// returns true if the call is shed. After a shed call, the customer's next call is delayed. The higher the
// failure rate, the more calls are shed.
//
// In a large gateway set, each gateway learns only from its own call that a quota is exhausted, and a
// rejected client retries at another gateway. Most calls in an overload are therefore for retries and are
// granted nothing. Calls for retries are shed first. Among the calls for retries, and among the calls for
// first requests, calls for the lowest level are shed first. In a small gateway set, each gateway knows which
// quotas are exhausted, and all calls are shed with the same probability.
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

// shedShareFor returns the share of calls to shed among the calls for requests of the same kind as req. The
// parameter shedShare is the share to shed among all calls. Requests are of the same kind if they have the
// same level and are all retries or all first requests. Calls for retries are shed before calls for first
// requests. Within retries and within first requests, calls for lower levels are shed before calls for higher
// levels.
func (e *Engine) shedShareFor(req *request, shedShare float64) float64 {
	// shedBefore is the share of all calls that are shed before calls for requests of this kind. callShare is
	// the share of calls for requests of this kind in all calls.
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
