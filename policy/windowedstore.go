package policy

import "math"

// The windowed store: each gateway calls the counter for all that it spends. Few gateways keep it exactly,
// over long windows in which the allowance grows. Of many, the windows are short, and each stands for itself.

const (
	maxRefillWait      = 3.0 // units of refill after which an empty store is called for again
	leaseLifetimeShare = 0.5 // a lease lives this part of the time in which the allowance is earned
)

// upfrontLeaseUnits returns the size of the next lease: what waits, and what the demand of a second needs.
// It is a whole number, since a unit that no request comes for is missing at the other gateways.
func (c *customer) upfrontLeaseUnits() float64 {
	units := math.Ceil(c.waitingUnits()) + math.Floor(c.upfrontPrefetch())
	return max(min(units, c.quota.burst), 1)
}

// upfrontPrefetch returns what to lease for requests to come: at first all of this gateway's part.
func (c *customer) upfrontPrefetch() float64 {
	if !c.totalSeen {
		return c.quota.maxPrefetch
	}
	return min(c.demand.rate, c.quota.maxPrefetch)
}

// upfrontOverflow returns the refill that the next call writes off, since this gateway hasn't seen it used.
func (c *customer) upfrontOverflow(refill float64) float64 {
	if c.window.lastTotal == 0 {
		// A window that is new to this gateway may be new to all. The call that starts it must report, in
		// one step, that not all of the store is there; who was not the first takes it back.
		return refill + c.quota.burst - c.quota.initialBalance
	}
	return max(refill-c.window.lastTotal, 0)
}

// reconcileUpfront takes a lease from the total that a call returned, as far as the store can pay for
// it. An exact store gets the rest back. In a short window it is left there: nobody gets more until the next
// one, and the calls to return it would be as many as those for leases.
func (e *Engine) reconcileUpfront(c *customer, call counterCall, total float64) {
	corrected := c.correctedTotal(call, total)
	requestUnits := c.nextRequestUnits()
	available := c.quota.burst - (corrected - call.refill)
	granted := affordableUnits(call.leaseUnits, available, requestUnits)
	if granted < call.leaseUnits {
		// Another gateway may be about to take back what both wrote off. Until it has, the store looks
		// emptier than it is.
		missing := min(2*requestUnits-available+granted, maxRefillWait*requestUnits)
		c.exhaustedUntil = e.refilledAt(c, missing)
		if !c.quota.smallGatewaySet {
			c.exhaustedUntil = c.windowEnd(call.window)
		}
	}
	c.lease.add(granted, e.now+leaseLifetimeShare*c.quota.burst/max(c.quota.rate, minRate))
	if c.window.number == call.window {
		c.window.lastTotal = corrected + granted
	}
	c.totalSeen = true
	// What was not granted, or what a counter has lost that came back empty.
	correction := corrected + granted - total
	if c.quota.smallGatewaySet && math.Abs(correction) > minCorrection*requestUnits {
		e.callCounter(call.newCorrection(correction))
	}
}

// correctedTotal returns what the total should have been before a call's lease was added.
func (c *customer) correctedTotal(call counterCall, total float64) float64 {
	before := total - call.adjustment - call.leaseUnits
	corrected := max(before, call.refill)
	if before-call.spent < minCorrection { // the window is new, or the counter has lost it
		corrected = max(corrected, c.window.lastTotal, call.refill+c.quota.burst-c.quota.initialBalance)
	}
	return corrected
}

// returnUnusedUnits returns units to a windowed store, where they are enough to be worth a call.
func (e *Engine) returnUnusedUnits(c *customer) {
	if c.unreportedUnits >= -minCorrection || c.quota.deferredReporting ||
		c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	if c.unreportedUnits < 0 { // else they were of a window that is over
		e.callCounter(c.newReport(0))
	}
}
