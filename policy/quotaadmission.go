package policy

// The quota of a customer over all its gateways: leases from the counter, the gateway's own share for when
// the counter grants nothing, and places for attempts out at once. admit is the first step of a request;
// engine.go has the others.

// What a request may wait for units.
const (
	maxQuotaWaitShare = 0.4 // part of its time that a request may wait for the end of a dry spell
)

// admit lets a customer's waiting requests go as far as its leases reach.
func (e *Engine) admit(c *customer) {
	limited := c.quota.rate > 0
	for len(c.waiting) > 0 {
		req := c.waiting[0]
		if c.quota.concurrencyLimit > 0 && c.openAttempts >= c.quota.localConcurrency {
			if c.quota.localConcurrency > 0 {
				return // a place may come free before its time is over
			}
			// Were places leased, each gateway's asks would look to the others like places that are
			// taken, and crowd the counter. So each has its own, and a client comes to another gateway.
			e.answerWithout(req, ReasonConcurrency)
			continue
		}
		if limited {
			c.enterWindow(e.now)
			switch {
			case c.lease.take(req.Units):
				if !c.quota.reportedStore {
					c.chargeLocalTokens(e.now, req.Units)
				}
			case c.quota.reportedStore && c.takeLocalTokens(e.now, req.Units):
				c.unreportedUnits += req.Units
				e.reportSpent(c)
			case c.calls.pendingLeases > 0:
				return
			case e.now < c.exhaustedUntil:
				if c.refillsSoon(req, e.settings.MaxRetryAfter) {
					return // held
				}
				if !c.quota.admitsOverQuota || !c.takeLocalTokens(e.now, req.Units) {
					e.answerWithout(req, ReasonQuota)
					continue
				}
				req.level = 0 // beyond the quota, as far as is known here
			case !e.settings.Counter || c.backoff.active(e.now):
				if !c.takeLocalTokens(e.now, req.Units) {
					if e.settings.Counter && c.quota.smallGatewaySet &&
						c.backoff.until+e.latency.mean < req.answerBy {
						return // held: a crowded counter may have room in a moment
					}
					e.answerWithout(req, ReasonQuota)
					continue
				}
				c.unreportedUnits += req.Units
			default:
				e.requestLease(c)
				continue
			}
		}
		c.waiting = c.waiting[1:]
		c.openAttempts++
		req.admitted = true
		e.enqueue(req)
		e.dispatch()
	}
}

// refillsSoon tells whether a request may wait for the end of a dry spell, given how long its client would
// stay away after a refusal: not longer, for a refusal would bring it again, and no large part of its time.
// A gateway is dry for a moment where others hold what they leased ahead, though the customer is inside its
// quota; not so where all of the rate wouldn't do for what comes here, or in a short window that is used
// up.
func (c *customer) refillsSoon(req *request, away float64) bool {
	return c.quota.reportedStore && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(away, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// refund takes back what a request had paid that was never sent. Where own shares are reported it goes to
// these, and the next call takes it out of the total: a lease lasts long, and all would miss it meanwhile.
func (c *customer) refund(units float64) {
	if !c.quota.reportedStore {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.local.tokens = min(c.local.tokens+units, c.quota.localBurst)
}
