package policy

import "math"

// Upfront leasing: the gateways lease units from the counter before they spend them. See quotaParameters for
// the terms, and counterWindow for total, refill and overflow.

const (
	maxRefillWaitRequests = 3.0 // requests whose units an exhausted bucket earns, at most, until the next call
	leaseLifetimeShare    = 0.5 // lifetime of a lease, as a share of the time in which the burst is earned
)

// upfrontLeaseUnits returns the units of the next lease, a whole number: those of the waiting requests, and a
// prefetch. The prefetch is rounded down, since a unit that no request comes for would be missing at the
// other gateways.
func (c *customer) upfrontLeaseUnits() float64 {
	units := math.Ceil(c.waitingUnits()) + math.Floor(c.upfrontPrefetch())
	return max(min(units, c.quota.burst), 1)
}

// upfrontPrefetch returns the units to lease for requests to come: maxPrefetch until a reply of the counter
// has been applied, then the demand of one second, but at most maxPrefetch.
func (c *customer) upfrontPrefetch() float64 {
	if !c.totalSeen {
		return c.quota.maxPrefetch
	}
	return min(c.demand.rate, c.quota.maxPrefetch)
}

// upfrontOverflow returns the overflow that the next call adds to the total: all refill above the total that
// this gateway has seen.
func (c *customer) upfrontOverflow(refill float64) float64 {
	if c.window.lastTotal == 0 {
		// The window may be new to all gateways. The first call of a window must lower the bucket to its
		// initial balance in the same step. A gateway that finds it was not the first takes this back.
		return refill + c.quota.burst - c.quota.initialBalance
	}
	return max(refill-c.window.lastTotal, 0)
}

// reconcileUpfront grants the lease that a call requested, as far as the returned total allows. In a
// refilling window it takes the units that were not granted out of the total again. In a fixed window they
// stay: no gateway gets more until the next window, and returning them would double the number of calls.
func (e *Engine) reconcileUpfront(c *customer, call counterCall, total float64) {
	correctedTotal := c.totalBeforeLease(call, total)
	requestUnits := c.nextRequestUnits()
	available := c.quota.burst - (correctedTotal - call.refill)
	granted := affordableUnits(call.leaseUnits, available, requestUnits)
	if granted < call.leaseUnits {
		// Another gateway may have added the same overflow, and be about to take it back. Until then the
		// bucket looks emptier than it is, so the wait is bounded.
		missing := min(2*requestUnits-available+granted, maxRefillWaitRequests*requestUnits)
		c.exhaustedUntil = e.refilledAt(c, missing)
		if !c.quota.smallGatewaySet {
			c.exhaustedUntil = c.windowEnd(call.window)
		}
	}
	c.lease.add(granted, e.now+leaseLifetimeShare*c.quota.burst/max(c.quota.rate, minRate))
	if c.window.number == call.window {
		c.window.lastTotal = correctedTotal + granted
	}
	c.totalSeen = true
	// The difference is units that were not granted, or a total that the counter has lost.
	correction := correctedTotal + granted - total
	if c.quota.smallGatewaySet && math.Abs(correction) > minCorrection*requestUnits {
		e.callCounter(call.newCorrection(correction))
	}
}

// totalBeforeLease returns what the total should have been before a call's lease was added. It takes out the
// adjustment that the call made, and then raises the total to the refill. If the window is new to the
// counter, it raises the total also to the last one seen here, and to the one that leaves the initial
// balance.
func (c *customer) totalBeforeLease(call counterCall, total float64) float64 {
	totalBeforeCall := total - call.adjustment - call.leaseUnits
	correctedTotal := max(totalBeforeCall, call.refill)
	if totalBeforeCall-call.spent < minCorrection { // the window is new, or the counter has lost its total
		correctedTotal = max(correctedTotal, c.window.lastTotal, call.refill+c.quota.burst-c.quota.initialBalance)
	}
	return correctedTotal
}

// returnUnusedUnits returns units to the shared bucket under upfront leasing, if they are worth a call.
func (e *Engine) returnUnusedUnits(c *customer) {
	if c.unreportedUnits >= -minCorrection || c.quota.deferredReporting ||
		c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	if c.unreportedUnits < 0 { // else they belonged to a window that is over
		e.callCounter(c.newReport(0))
	}
}
