package policy

// handleCounterReply takes the answer to a call. An unanswered call grants nothing: it may have been added,
// and the next totals will tell. Neither does one whose answer can't be read, but that was added, so the
// next call takes it back, and what it wrote off, which the next call writes off again. Under a ceiling
// that stays: the first call of a window must not find less there than it told. A short window has no
// refill to write off.
func (e *Engine) handleCounterReply(event CounterReply) {
	call, ok := e.takePendingCall(event.Name)
	if !ok {
		return
	}
	c := call.customer
	e.counter.failureRate -= counterFailureGain * e.counter.failureRate
	if event.Outcome == TimedOut && call.window == c.window.number {
		e.counter.rememberUnanswered(call)
	}
	switch {
	case event.Outcome == Failed || event.Outcome == ConnectionReset:
		// A spoilt answer or connection says nothing of a crowd. Were it taken for one, calls would be
		// left out that the counter bears, and customers refused inside their quotas.
		if event.Outcome == Failed {
			c.reclaimLease(call)
		}
		c.backoff.delayRepeated(e.now)
	case event.Outcome != Served:
		// A unit that was not given back is missing to all gateways. A call turned away has
		// changed nothing and is made again; one unanswered may have counted and is let be.
		if event.Outcome != TimedOut {
			c.requeueReport(call)
		}
		if event.Outcome != Rejected {
			c.local.releaseFallback()
		}
		e.counter.failureRate += counterFailureGain
		c.backoff.delayNext(e.now)
	case call.leaseUnits > 0 || c.quota.reportedStore:
		c.backoff.reset()
		e.applyGrant(c, call, event.Total)
	}
	e.admit(c)
}

// reclaimLease has the next call take back what a call added for nothing.
func (c *customer) reclaimLease(call counterCall) {
	if call.leaseUnits > 0 && call.window == c.window.number {
		if c.unreportedUnits -= call.leaseUnits; c.quota.reportedStore {
			c.unreportedUnits -= call.writeOff
		}
	}
}

// requeueReport has the next call tell what a call that was not added was to tell.
func (c *customer) requeueReport(call counterCall) {
	if c.quota.reportedStore {
		// Spending counts from an earlier window too; what was written off there says nothing of this one.
		c.unreportedUnits += call.spent
		if call.window == c.window.number {
			c.unreportedUnits += min(call.writeOff, 0)
		}
	} else if call.window == c.window.number && call.name == c.window.name {
		if c.unreportedUnits += call.spent; call.leaseUnits == 0 {
			c.unreportedUnits += call.writeOff
		}
	}
}

// handleLateCounterReply takes what came of a call after it was given up. A counter that is slow for a moment
// adds all the same, and what it added and nobody uses is missing at all gateways. So a late total grants
// as one in time would, and ends the rest. It stands for a counter slow for all, and where silence was a
// network's; a total too old for its window is of no use.
func (e *Engine) handleLateCounterReply(event LateCounterReply) {
	call, ok := e.counter.takeUnanswered(event.Call)
	if !ok {
		return
	}
	c := call.customer
	if call.window != c.window.number || event.Outcome == TimedOut || event.Outcome == ConnectionReset {
		return
	}
	switch {
	case event.Outcome == Failed:
		c.reclaimLease(call)
	case event.Outcome != Served:
		c.requeueReport(call)
	case call.leaseUnits > 0 || c.quota.reportedStore:
		c.backoff.end(e.now)
		e.applyGrant(c, call, event.Total)
	}
	e.admit(c)
}
