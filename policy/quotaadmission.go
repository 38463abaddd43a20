package policy

// Admission by quota is the first step in handling a request. The request's units are spent from the
// customer's lease or from this gateway's local tokens for the customer.

// maxQuotaWaitShare is the share of the time between a request's sending and its deadline during which the
// request may wait for an exhausted bucket to refill.
const maxQuotaWaitShare = 0.4

// admissionDecision is the decision on the first waiting request of a customer.
type admissionDecision int

const (
	admitNow             admissionDecision = iota // the request is admitted, and its units have been spent
	deferRequest                                  // the request waits for capacity, units or a reply
	needsLease                                    // call the counter for a lease, then decide again
	rejectForQuota                                // the customer has too few units
	rejectForConcurrency                          // this gateway's part of the concurrency limit is 0
)

// admit decides on a customer's waiting requests in order. It admits or rejects them, and stops at the first
// request that has to go on waiting.
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

// decideAtConcurrencyLimit decides on a request that would exceed localConcurrency, this gateway's part of
// the customer's concurrency limit. If the part is above 0, the request waits, since an attempt in flight may
// end in time. If the part is 0, the request is rejected, and its client retries at another gateway.
//
// The limit is divided among the gateways and not leased from the counter. While a call for a lease is
// pending, its concurrency would be missing at the other gateways, and the calls would overload the counter.
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

// decideWhileExhausted decides on a request while the shared bucket has too few units. The request waits if
// the bucket refills soon. Else the request counts as over quota: local tokens admit it at the lowest level
// if the plan allows requests over quota.
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

// decideWithoutCounter decides on a request while the counter cannot be called. Local tokens admit the
// request if there are enough of them. Else the request waits if the customer's gateway set is small and the
// backoff ends in time, since an overloaded counter may have capacity by then.
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
// the number of seconds after which the client of a rejected request retries.
//
// The bucket must refill within retryAfter seconds after the request was sent, since the client would
// otherwise retry before the end of the wait, and within maxQuotaWaitShare of the time until the request's
// deadline. Waiting helps if the bucket is exhausted only for a moment because other gateways have prefetched
// its units. It does not help if the demand at this gateway alone exceeds the customer's whole rate. Under
// upfront leasing no request waits for a refill; a fixed window stays exhausted until it ends.
func (c *customer) refillsSoon(req *request, retryAfter float64) bool {
	return c.quota.deferredReporting && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(retryAfter, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// refund returns the units of a request that was admitted but never sent. Under upfront leasing, the units go
// back to the lease. Under deferred reporting, they go to the local tokens, and the next call subtracts them
// from the total. In a lease under deferred reporting, which lasts long, the units would be missing at the
// other gateways until the lease expires.
func (c *customer) refund(units float64) {
	if !c.quota.deferredReporting {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.localTokens.add(units, c.quota.localBurst)
}
