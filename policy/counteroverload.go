package policy

// While calls to the counter fail, some are shed. Each value holds for any deployment.
const (
	counterFailureGain = 0.05 // weight of the newest call in the share of calls that fail
	shedFactor         = 4.0  // so many times that share of calls is shed, so that the counter recovers
	maxShedShare       = 0.9  // of the calls, however many fail
)

// recordReply counts a reply in the share of calls that fail, as one that is no sign of overload.
func (s *counterState) recordReply() { s.failureRate -= counterFailureGain * s.failureRate }

// recordOverload counts the reply that was recorded last as a failure.
func (s *counterState) recordOverload() { s.failureRate += counterFailureGain }

// shedCounterCall reports whether the call for a customer's first waiting request is shed, and delays the
// next one then. Calls are shed the more often the more of late have failed.
//
// Each of many gateways learns for itself that a quota is used up, and a client that was rejected for it
// retries at another, so most calls in an overload are for retries, and are granted nothing. Those are shed
// first, and the lowest level before others. Of few gateways, each knows what is used up.
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

// shedShareFor returns the share of calls to shed among those for requests like this one, where
// shedShare of all are to be shed: retries first, each in order of their levels.
func (e *Engine) shedShareFor(req *request, shedShare float64) float64 {
	// The calls for requests like this one are a part of all, from a share of all that is shed before them.
	shedBefore, callShare := 0.0, e.retries.clientShare
	if !req.IsRetry {
		shedBefore, callShare = e.retries.clientShare, 1-e.retries.clientShare
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
