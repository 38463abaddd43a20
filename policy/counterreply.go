package policy

// handleCounterReply applies the outcome of a call and admits what it allows.
//
// A call without a reply grants nothing: it may have been added, and the next totals will show it. Neither
// does one whose reply is malformed, but that one was added, so the next call takes it back.
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

// handleMalformedReply handles a reply that can't be read, or a connection that broke. Neither is a sign of
// overload. Were it taken for one, calls would be shed that the counter can bear, and customers rejected
// inside their quotas.
func (e *Engine) handleMalformedReply(c *customer, call counterCall, outcome Outcome) {
	if outcome == Failed {
		c.reclaimLease(call)
	}
	c.backoff.delayIfRepeated(e.now)
}

// handleCounterOverload handles a call that was rejected or had no reply. A unit that is not returned is
// missing at all gateways. So a rejected call, which has changed nothing, is made again;
// one that timed out may have been added, and is not.
func (e *Engine) handleCounterOverload(c *customer, call counterCall, outcome Outcome) {
	if outcome != TimedOut {
		c.requeueReport(call)
	}
	if outcome != Rejected {
		c.local.releaseFallback()
	}
	e.counter.recordOverload()
	c.backoff.delayNext(e.now)
}

// handleLateCounterReply applies the outcome of a call that had timed out before.
//
// A counter that is slow for a moment adds all the same, and what it added and nobody uses is missing at all
// gateways. So a late total grants what one in time would, and ends the pause. The pause goes on where the
// counter is slow for every call, or the network was silent. A total of a window that is over is of no use.
func (e *Engine) handleLateCounterReply(event LateCounterReply) {
	call, ok := e.counter.takeUnanswered(event.Call)
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

// needsTotal reports whether the total that a call returns matters: it does for a lease, and each one does
// for a store kept by reports.
func (c *customer) needsTotal(call counterCall) bool {
	return call.leaseUnits > 0 || c.quota.deferredReporting
}

// applyTotal takes from the total that a call returned what the lease gets, and corrects it at the counter.
func (e *Engine) applyTotal(c *customer, call counterCall, total float64) {
	if c.quota.deferredReporting {
		e.reconcileDeferred(c, call, total)
	} else {
		e.reconcileUpfront(c, call, total)
	}
}

// reclaimLease has the next call take back what a call added without a grant. Of a store kept by reports
// that includes what it wrote off, which the next call writes off again. Under a ceiling that stays: the
// first call of a window must not find less there than it reported. A short window has no refill to write
// off.
func (c *customer) reclaimLease(call counterCall) {
	if call.leaseUnits > 0 && call.window == c.window.number {
		c.unreportedUnits -= call.leaseUnits
		if c.quota.deferredReporting {
			c.unreportedUnits -= call.adjustment
		}
	}
}

// requeueReport has the next call report what a call that was not added was to report.
func (c *customer) requeueReport(call counterCall) {
	if c.quota.deferredReporting {
		// Spending counts from an earlier window too; what was written off there says nothing of this one.
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
