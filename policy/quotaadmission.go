package policy

// Admission by quota is the first step in handling a request. The request's units are spent from the
// customer's lease or from this gateway's local tokens for the customer.

// maxQuotaWaitShare is the share of the time from a request's SentAt to its answerBy during which the request
// may wait for an exhausted bucket to refill.
const maxQuotaWaitShare = 0.4

// admissionDecision is the decision on the first waiting request of a customer.
type admissionDecision int

const (
	admitNow             admissionDecision = iota // the request is admitted, and its units have been spent
	deferRequest                                  // the request waits for concurrency, units or a counter reply
	needsLease                                    // a lease must be requested before the decision
	rejectForQuota                                // the customer has too few units
	rejectForConcurrency                          // this gateway's part of the concurrency limit is 0
)

// admit decides on a customer's waiting requests in order. It admits, rejects or fails each request, and
// stops at the first request that has to go on waiting.
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
// units. A request that is presumed late gets no units while other requests of its customer lack them.
func (e *Engine) decideAdmission(c *customer, req *request) admissionDecision {
	if c.quota.concurrencyLimit > 0 && c.openAttempts >= c.quota.localConcurrency {
		return c.decideAtConcurrencyLimit()
	}
	if c.quota.rate <= 0 {
		return admitNow
	}
	if req.presumedLate && c.shortOfUnits(e.now) {
		return rejectForQuota
	}
	decision := e.decideByUnits(c, req)
	if decision == rejectForQuota {
		c.recordShortage(e.now)
	}
	return decision
}

// decideAtConcurrencyLimit decides on a request that would exceed localConcurrency, this gateway's part of
// the customer's concurrency limit. If the part is above 0, the request waits, since an attempt in flight may
// end in time. If the part is 0, the request is rejected, and its client retries at another gateway.
//
// The limit is divided among the gateways and not leased from the counter. While a call for a lease is
// pending, the concurrency to be leased would be missing at the other gateways. The calls would also overload
// the counter.
func (c *customer) decideAtConcurrencyLimit() admissionDecision {
	if c.quota.localConcurrency > 0 {
		return deferRequest
	}
	return rejectForConcurrency
}

// decideByUnits decides on a request whose customer has a quota of units. If it returns admitNow, it has
// spent the request's units.
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
// the bucket refills soon. Otherwise the request is over quota. Local tokens then admit it, at overQuotaLevel
// or below, if the plan allows requests over quota and there are at least as many tokens as the request has
// units. If not, the request is rejected.
func (e *Engine) decideWhileExhausted(c *customer, req *request) admissionDecision {
	if c.refillsSoon(req, e.settings.MaxRetryAfter) {
		return deferRequest
	}
	if c.quota.admitsOverQuota && c.takeLocalTokens(e.now, req.Units) {
		req.level = min(req.level, overQuotaLevel)
		return admitNow
	}
	return rejectForQuota
}

// decideWithoutCounter decides on a request while the counter cannot be called. Local tokens admit the
// request if there are at least as many tokens as the request has units. Otherwise the request waits or is
// rejected. It waits if there is a counter, the customer's gateway set is small, and the backoff ends more
// than the mean latency before the request has to be answered. An overloaded counter may have capacity after
// the backoff.
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
// The bucket must refill within retryAfter seconds after the request was sent, since a rejected client would
// retry by then. It must also refill within maxQuotaWaitShare of the time from the request's SentAt to its
// answerBy. Waiting helps if the bucket is exhausted only for a moment because other gateways have prefetched
// its units. Waiting does not help if the demand at this gateway alone exceeds the customer's whole rate.
// Under upfront leasing, no request waits for a refill. A fixed window, once exhausted, stays exhausted until
// it ends.
func (c *customer) refillsSoon(req *request, retryAfter float64) bool {
	return c.quota.deferredReporting && c.demand.sustainedRate < c.quota.rate &&
		c.exhaustedUntil < req.SentAt+min(retryAfter, maxQuotaWaitShare*(req.answerBy-req.SentAt))
}

// refund returns the units of a request that was admitted but never sent. Under upfront leasing, the units go
// back to the lease. Under deferred reporting, they go to the local tokens, and the next call subtracts them
// from the total. They do not go back to the lease: leases last long under deferred reporting, and the units
// of a lease are missing at the other gateways until the lease expires.
func (c *customer) refund(units float64) {
	if !c.quota.deferredReporting {
		c.lease.units += units
		return
	}
	c.unreportedUnits -= units
	c.localTokens.add(units, c.quota.localBurst)
}
