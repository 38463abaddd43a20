package policy

// handleCounterReply applies the outcome of a call, and then decides again on the customer's waiting
// requests.
//
// A call without a reply grants nothing. The counter may have added its amount; if so, the next total
// includes it. A call with a malformed reply grants nothing either, but its amount was added, and the next
// call takes it back.
func (e *Engine) handleCounterReply(event CounterReply) {
	call, ok := e.takePendingCall(event.Name)
	if !ok {
		return
	}
	c := call.customer
	e.counter.recordReply()
	if event.Outcome == TimedOut && call.window == c.window.number {
		e.counter.rememberUnanswered(call)
	}
	switch event.Outcome {
	case Served:
		if c.needsTotal(call) {
			c.backoff.reset()
			e.applyTotal(c, call, event.Total)
		}
	case Failed, ConnectionReset:
		e.handleMalformedReply(c, call, event.Outcome)
	default:
		e.handleCounterOverload(c, call, event.Outcome)
	}
	e.admit(c)
}

// handleMalformedReply handles a reply that cannot be read, or a connection that broke. Neither is a sign of
// overload: to treat them as overload would shed calls that the counter can handle, and reject requests of
// customers within their quotas. So the counter may be called again at once, unless failures repeat.
func (e *Engine) handleMalformedReply(c *customer, call counterCall, outcome Outcome) {
	if outcome == Failed {
		c.reclaimLease(call)
	}
	c.backoff.delayIfRepeated(e.now)
}

// handleCounterOverload handles a call that was rejected or had no reply.
//
// A rejected call has changed nothing. The next call repeats its report, since units that it was to return
// would be missing at all gateways. A call that timed out may have been added, and its report is not
// repeated. A call that fails in any way but a rejection releases the fallback of the local tokens.
func (e *Engine) handleCounterOverload(c *customer, call counterCall, outcome Outcome) {
	if outcome != TimedOut {
		c.requeueReport(call)
	}
	if outcome != Rejected {
		c.localTokens.releaseFallback()
	}
	e.counter.recordOverload()
	c.backoff.delayNext(e.now)
}

// handleLateCounterReply applies the outcome of a call that had timed out before.
//
// A counter that is slow for a moment still adds the amount, and units that are added and not granted are
// missing at all gateways. So a late total grants the same units as one in time, and ends the backoff. The
// backoff goes on where the counter is slow for every call or the network is silent. The total of a window
// that is over is ignored.
func (e *Engine) handleLateCounterReply(event LateCounterReply) {
	call, ok := e.counter.takeUnanswered(event.CallID)
	if !ok {
		return
	}
	c := call.customer
	if call.window != c.window.number || event.Outcome == TimedOut || event.Outcome == ConnectionReset {
		return
	}
	switch event.Outcome {
	case Served:
		if c.needsTotal(call) {
			c.backoff.end(e.now)
			e.applyTotal(c, call, event.Total)
		}
	case Failed:
		c.reclaimLease(call)
	default:
		c.requeueReport(call)
	}
	e.admit(c)
}

// needsTotal reports whether the total that a call returns is used: under deferred reporting always, under
// upfront leasing if the call requested a lease.
func (c *customer) needsTotal(call counterCall) bool {
	return call.leaseUnits > 0 || c.quota.deferredReporting
}

// applyTotal grants the lease that a call requested, as far as the total that it returned allows, and
// corrects the total at the counter.
func (e *Engine) applyTotal(c *customer, call counterCall, total float64) {
	if c.quota.deferredReporting {
		e.reconcileDeferred(c, call, total)
	} else {
		e.reconcileUpfront(c, call, total)
	}
}

// reclaimLease makes the next call take back the units that a call added to the total and that were not
// granted. Under deferred reporting this includes the call's adjustment; the next call adds the overflow
// again. In the refilling windows of upfront leasing the adjustment stays: the first call of a window must
// not find a smaller total than it reported. A fixed window has no overflow.
func (c *customer) reclaimLease(call counterCall) {
	if call.leaseUnits > 0 && call.window == c.window.number {
		c.unreportedUnits -= call.leaseUnits
		if c.quota.deferredReporting {
			c.unreportedUnits -= call.adjustment
		}
	}
}

// requeueReport makes the next call report the units of a call that was not added.
func (c *customer) requeueReport(call counterCall) {
	if c.quota.deferredReporting {
		// Spent units count in any window, while overflow and corrections concern only their own.
		c.unreportedUnits += call.spent
		if call.window == c.window.number {
			c.unreportedUnits += min(call.adjustment, 0)
		}
		return
	}
	if call.window == c.window.number && call.name == c.window.name {
		c.unreportedUnits += call.spent
		if call.leaseUnits == 0 {
			c.unreportedUnits += call.adjustment
		}
	}
}
