package policy

// Admission by quota is the first step of a request. The request's units are spent from the customer's lease,
// or from this gateway's local tokens where the counter grants no lease.

// maxQuotaWaitShare is the largest share of a request's time that it may wait for an exhausted bucket to
// refill.
const maxQuotaWaitShare = 0.4

// admissionDecision is the decision on the first waiting request of a customer.
type admissionDecision int

const (
	admitNow             admissionDecision = iota // its units have been spent
	deferRequest                                  // it and those behind it wait for capacity, units or a reply
	needsLease                                    // call the counter for a lease, then decide again
	rejectForQuota                                // its customer has no units left
	rejectForConcurrency                          // its customer has no concurrency at this gateway
)

// admit admits a customer's waiting requests in order, as far as the quota allows. It rejects requests for
// which waiting is of no use, and stops at the first request that has to wait.
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
			e.rejectOrFail(req, ReasonQuota)
		case rejectForConcurrency:
			e.rejectOrFail(req, ReasonConcurrency)
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

// decideAdmission decides on the first waiting request. If it returns admitNow, it has spent the request's
// units.
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
// limit. The request waits if the gateway has a part at all, since an attempt may end in time.
//
// The limit is divided among the gateways, not leased from the counter: a pending call would look to the
// other gateways like concurrency in use, and the calls would overload the counter. A client that is rejected
// by a gateway whose part is 0 retries at another gateway.
func (c *customer) decideAtConcurrencyLimit() admissionDecision {
	if c.quota.localConcurrency > 0 {
		return deferRequest
	}
	return rejectForConcurrency
}

// decideByUnits decides on a request whose customer has a quota of units. If it admits the request, it has
// spent the units.
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
	case !e.settings.HasCounter || c.backoff.active(e.now):
		return e.decideWithoutCounter(c, req)
	}
	return needsLease
}

// decideWhileExhausted decides on a request while the shared bucket has too few units. Where the plan allows
// requests over quota, local tokens admit it at the lowest level, since as far as this gateway knows it is
// over quota.
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

// decideWithoutCounter decides on a request while the counter cannot be called. Local tokens admit it. If
// there are too few, a request of a small gateway set waits if the backoff ends in time, since an overloaded
// counter may have capacity by then.
func (e *Engine) decideWithoutCounter(c *customer, req *request) admissionDecision {
	if c.takeLocalTokens(e.now, req.Units) {
		c.unreportedUnits += req.Units
		return admitNow
	}
	if e.settings.HasCounter && c.quota.smallGatewaySet && c.backoff.until+e.latency.mean < req.answerBy {
		return deferRequest
	}
	return rejectForQuota
}

// refillsSoon reports whether a request should wait for the exhausted shared bucket to refill. retryAfter is
// the number of seconds after which a rejected client retries.
//
// The wait must be shorter than retryAfter, after which the client would send the request again anyway, and
// shorter than maxQuotaWaitShare of the request's time. Waiting helps where the bucket is exhausted only for
// a moment: the customer is within its quota, and other gateways hold units that they have prefetched. It
// does not help where the demand at this gateway alone exceeds the whole rate, nor in a fixed window, which
// stays exhausted until it ends.
func (c *customer) refillsSoon(req *request, retryAfter float64) bool {
	return c.quota.deferredReporting && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(retryAfter, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// refund returns the units of a request that was admitted but never sent. Under upfront leasing they go back
// to the lease. Under deferred reporting they go to the local tokens, and the next call subtracts them from
// the total: a lease lasts long, and meanwhile the units would be missing at the other gateways.
func (c *customer) refund(units float64) {
	if !c.quota.deferredReporting {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.localTokens.add(units, c.quota.localBurst)
}
