package policy

// handleCounterReply applies the outcome of a call, and then decides again on the customer's waiting
// requests.
//
// A call without a reply grants nothing. The counter may have added the call's amount; if it has, the next
// total includes the amount. A call with a malformed reply grants nothing either. The counter has added the
// call's amount, and the next call takes back the units for the lease.
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

// handleMalformedReply handles a reply that cannot be read, or a connection that was reset. Neither is a sign
// of overload. Treating either as overload would shed calls that the counter can handle, and would reject
// requests of customers within their quotas. After a single malformed reply or reset, the counter may
// therefore be called again at once. After repeated failures, there is a backoff.
func (e *Engine) handleMalformedReply(c *customer, call counterCall, outcome Outcome) {
	if outcome == Failed {
		c.reclaimLease(call)
	}
	c.backoff.delayIfRepeated(e.now)
}

// handleCounterOverload handles a call that was rejected or had no reply.
//
// If the call timed out, the counter may have added the call's amount, and the report is not repeated. In any
// other case, the counter has not added the amount, and the next call repeats the report. Without the
// repeated report, units that the failed call should have returned would be missing at all gateways. The
// fallback of the local tokens is released unless the call was rejected.
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
// missing at all gateways. A total that arrives late is therefore applied as if it had arrived in time, and
// ends the backoff. The backoff goes on if no reply arrives. A reply for a window that is over is ignored.
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

// needsTotal reports whether the total that a call returned has to be applied. Under deferred reporting,
// every total is applied. Under upfront leasing, only the total that a lease request returned is applied.
func (c *customer) needsTotal(call counterCall) bool {
	return call.leaseUnits > 0 || c.quota.deferredReporting
}

// applyTotal grants the lease that a call requested, as far as the returned total allows, and corrects the
// total at the counter.
func (e *Engine) applyTotal(c *customer, call counterCall, total float64) {
	if c.quota.deferredReporting {
		e.reconcileDeferred(c, call, total)
	} else {
		e.reconcileUpfront(c, call, total)
	}
}

// reclaimLease handles a call whose amount the counter has added, although no lease was granted. It subtracts
// the lease units from the unreported units, and the next report thus takes them back. It does nothing if the
// call requested no lease or its window is over.
//
// Under deferred reporting, the adjustment is taken back too, since overflow is determined and added again.
// Under upfront leasing, the adjustment stays in the total: without the overflow that is added at the start
// of a refilling window, the shared bucket would hold more than its initial balance.
func (c *customer) reclaimLease(call counterCall) {
	if call.leaseUnits > 0 && call.window == c.window.number {
		c.unreportedUnits -= call.leaseUnits
		if c.quota.deferredReporting {
			c.unreportedUnits -= call.adjustment
		}
	}
}

// requeueReport handles a call whose amount the counter has not added. The units that the call reported, and
// its corrections that still apply, become unreported units again.
func (c *customer) requeueReport(call counterCall) {
	if c.quota.deferredReporting {
		// Spent units may be reported in any window, so they are always repeated. An adjustment below 0 is a
		// correction, which is repeated only in its own window. An adjustment above 0 is never repeated. It
		// adds the balance carried over into a new window, or overflow, which is determined again.
		c.unreportedUnits += call.spent
		if call.window == c.window.number {
			c.unreportedUnits += min(call.adjustment, 0)
		}
		return
	}
	// Under upfront leasing, units are repeated only in the call's own window and under the call's own name.
	// The adjustment is repeated only if the call requested no lease.
	if call.window == c.window.number && call.name == c.window.name {
		c.unreportedUnits += call.spent
		if call.leaseUnits == 0 { // else the adjustment is overflow, which is determined again
			c.unreportedUnits += call.adjustment
		}
	}
}
