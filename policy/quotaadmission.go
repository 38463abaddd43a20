package policy

// Admission by quota is the first step of a request. A request is paid for by the customer's lease from the
// counter, or by this gateway's local tokens where the counter grants nothing.

// maxQuotaWaitShare is the part of its time that a request may wait until an exhausted store has units again.
const maxQuotaWaitShare = 0.4

// admissionDecision is what becomes of the first waiting request of a customer.
type admissionDecision int

const (
	admitNow             admissionDecision = iota // its units are paid
	deferRequest                                  // it and those behind it wait for capacity, units or a reply
	needsLease                                    // the counter is to be called, and the decision made again
	rejectForQuota                                // its customer has no units left
	rejectForConcurrency                          // its customer has no concurrency at this gateway
)

// admit admits a customer's waiting requests, as far as its quota allows, and rejects those that need not
// wait.
func (e *Engine) admit(c *customer) {
	for len(c.waiting) > 0 {
		req := c.waiting[0]
		switch e.decideAdmission(c, req) {
		case admitNow:
			e.admitFirst(c)
		case deferRequest:
			return
		case needsLease:
			e.requestLease(c)
		case rejectForQuota:
			e.answerWithout(req, ReasonQuota)
		case rejectForConcurrency:
			e.answerWithout(req, ReasonConcurrency)
		}
	}
}

// admitFirst moves the first waiting request to the queue of its level.
func (e *Engine) admitFirst(c *customer) {
	req := c.waiting[0]
	c.waiting = c.waiting[1:]
	c.openAttempts++
	req.admitted = true
	e.enqueue(req)
	e.dispatch()
}

// decideAdmission decides on the first waiting request. Where it is admitted, its units have been spent.
func (e *Engine) decideAdmission(c *customer, req *request) admissionDecision {
	if c.quota.concurrencyLimit > 0 && c.openAttempts >= c.quota.localConcurrency {
		return c.decideAtConcurrencyLimit()
	}
	if c.quota.rate > 0 {
		return e.decideByUnits(c, req)
	}
	return admitNow
}

// decideAtConcurrencyLimit decides on a request that would exceed this gateway's part of the concurrency
// limit. One attempt may end before the request's time is over.
//
// Were concurrency leased, the calls of each gateway would look to the others like concurrency in use, and
// overload the counter. So each gateway has its own part, and a client that is rejected where that is 0 comes
// to another.
func (c *customer) decideAtConcurrencyLimit() admissionDecision {
	if c.quota.localConcurrency > 0 {
		return deferRequest
	}
	return rejectForConcurrency
}

// decideByUnits decides on a request whose customer has a quota of units, and spends what admits it.
func (e *Engine) decideByUnits(c *customer, req *request) admissionDecision {
	c.enterWindow(e.now)
	switch {
	case c.lease.take(req.Units):
		if !c.quota.deferredReporting {
			c.chargeLocalTokens(e.now, req.Units)
		}
		return admitNow
	case c.quota.deferredReporting && c.takeLocalTokens(e.now, req.Units):
		c.unreportedUnits += req.Units
		e.reportIfDue(c)
		return admitNow
	case c.calls.pendingLeaseRequests > 0:
		return deferRequest
	case e.now < c.exhaustedUntil:
		return e.decideWhileExhausted(c, req)
	case !e.settings.Counter || c.backoff.active(e.now):
		return e.decideWithoutCounter(c, req)
	}
	return needsLease
}

// decideWhileExhausted decides on a request whose customer's store has too few units. Local tokens may admit
// it at the lowest level: as far as is known here, it is beyond the quota.
func (e *Engine) decideWhileExhausted(c *customer, req *request) admissionDecision {
	if c.refillsSoon(req, e.settings.MaxRetryAfter) {
		return deferRequest
	}
	if c.quota.admitsOverQuota && c.takeLocalTokens(e.now, req.Units) {
		req.level = 0
		return admitNow
	}
	return rejectForQuota
}

// decideWithoutCounter decides on a request while the counter is not called: local tokens admit it. Where
// there are too few, it waits if the pause ends in time, since an overloaded counter may have capacity by
// then.
func (e *Engine) decideWithoutCounter(c *customer, req *request) admissionDecision {
	if c.takeLocalTokens(e.now, req.Units) {
		c.unreportedUnits += req.Units
		return admitNow
	}
	if e.settings.Counter && c.quota.smallGatewaySet && c.backoff.until+e.latency.mean < req.answerBy {
		return deferRequest
	}
	return rejectForQuota
}

// refillsSoon reports whether a request may wait until an exhausted store has units again. retryAfter is how
// long its client would stay away after a rejection, in seconds.
//
// The wait is not longer than that, for a rejection would bring the request again, and no large part of its
// time. A store is exhausted for a moment where other gateways hold what they leased ahead, though the
// customer is inside its quota. It is not so where all of the rate would be too little for what comes here,
// nor in a short window that is used up.
func (c *customer) refillsSoon(req *request, retryAfter float64) bool {
	return c.quota.deferredReporting && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(retryAfter, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// refund returns the units of a request that was admitted and never sent. Of a reported store they go to the
// local tokens, and the next call takes them out of the total: a lease lasts long, and they would be missing
// at the other gateways meanwhile.
func (c *customer) refund(units float64) {
	if !c.quota.deferredReporting {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.local.add(units, c.quota.localBurst)
}
