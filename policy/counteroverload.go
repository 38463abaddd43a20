package policy

// What is left out while calls fail. Each is a share or a count that holds for any deployment.
const (
	counterFailureGain = 0.05 // weight of the newest call in the share of calls that fail
	shedFactor         = 4.0  // so many times that share of calls are left out: a crowded counter gets air
	maxShedShare       = 0.9
)

// shedCounterCall leaves a call out, the more often the more of late have failed. Each of many gateways
// learns for itself that a quota is used up, and a client that was refused for it comes again elsewhere, so
// most calls of a crowd are for repeats, and get nothing. Those go first, and the lowest level before others.
func (e *Engine) shedCounterCall(c *customer) bool {
	req, out := c.waiting[0], min(shedFactor*e.counter.failureRate, maxShedShare)
	if !c.quota.smallGatewaySet { // of few gateways, this one knows what is used up
		all, below := 0.0, 0.0
		for l, rate := range e.queue.arrivalRates {
			if all += rate; l < req.level {
				below += rate
			}
		}
		from, part := 0.0, e.retries.clientShare
		if !req.IsRetry {
			from, part = e.retries.clientShare, 1-e.retries.clientShare
		}
		if all > 0 {
			from, part = from+part*below/all, part*e.queue.arrivalRates[req.level]/all
		}
		out = min((out-from)/max(part, counterFailureGain/2), maxShedShare)
	}
	if e.rng.Float64() >= out {
		return false
	}
	c.backoff.delayOnce(e.now)
	return true
}
