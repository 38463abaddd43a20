package policy

import "math"

// Under upfront leasing, the gateways lease units from the counter before they spend them. quotaParameters
// describes leases and windows; counterWindow describes total, refill and overflow.
//
// The wait for a refill lasts at most until the shared bucket has earned the units of maxRefillWaitRequests
// requests. Under deferred reporting, the limit may be higher (see refillWaitLimit).

const (
	maxRefillWaitRequests = 3.0 // limit of the wait for a refill, as a number of requests
	leaseLifetimeShare    = 0.5 // lifetime of a lease, as a share of the time in which the burst is earned
)

// upfrontLeaseUnits returns the units of the next lease: the units of the waiting requests, rounded up, and a
// prefetch. The prefetch is rounded down, since a unit that no request uses would be missing at the other
// gateways. A lease has at most as many units as the burst, but at least one unit.
func (c *customer) upfrontLeaseUnits() float64 {
	units := math.Ceil(c.waitingUnits()) + math.Floor(c.upfrontPrefetch())
	return max(min(units, c.quota.burst), 1)
}

// upfrontPrefetch returns the units to lease for later requests. Until a total from the counter has been
// applied, it returns maxPrefetch. Afterwards it returns the demand of one second, but at most maxPrefetch.
func (c *customer) upfrontPrefetch() float64 {
	if !c.totalSeen {
		return c.quota.maxPrefetch
	}
	return min(c.demand.rate, c.quota.maxPrefetch)
}

// upfrontOverflow returns the overflow that the next call adds to the total: the refill less lastTotal, but
// at least 0. If this gateway has applied no total in the window yet, the returned units also lower the
// shared bucket to its initial balance.
func (c *customer) upfrontOverflow(refill float64) float64 {
	if c.window.lastTotal == 0 {
		// The window may be new at the counter. If another gateway has made the first call of the window
		// already, a correction takes back the units returned here.
		return refill + c.quota.burst - c.quota.initialBalance
	}
	return max(refill-c.window.lastTotal, 0)
}

// reconcileUpfront grants the lease that a call requested, as far as the returned total allows. In a
// refilling window, it subtracts from the total the units that were not granted. In a fixed window, these
// units stay in the total, and no gateway is granted more until the next window. Calls that subtract the
// units would double the number of calls.
func (e *Engine) reconcileUpfront(c *customer, call counterCall, total float64) {
	correctedTotal := c.totalBeforeLease(call, total)
	requestUnits := c.nextRequestUnits()
	available := c.quota.burst - (correctedTotal - call.refill)
	granted := affordableUnits(call.leaseUnits, available, requestUnits)
	if granted < call.leaseUnits {
		// Wait until the bucket holds the units of two requests. Another gateway may have added the same
		// overflow as this gateway, and its correction may be outstanding. The bucket then looks emptier than
		// it is, so the wait is limited.
		missing := min(2*requestUnits-available+granted, maxRefillWaitRequests*requestUnits)
		c.exhaustedUntil = e.refilledAt(c, missing)
		if !c.quota.smallGatewaySet {
			c.exhaustedUntil = c.windowEnd(call.window) // a fixed window does not refill
		}
	}
	c.lease.add(granted, e.now+leaseLifetimeShare*c.quota.burst/max(c.quota.rate, minRate))
	if c.window.number == call.window {
		c.window.lastTotal = correctedTotal + granted
	}
	c.totalSeen = true
	// The correction takes back units that were not granted and overflow that was in the total already, or
	// restores a total that the counter has lost.
	correction := correctedTotal + granted - total
	if c.quota.smallGatewaySet && math.Abs(correction) > minCorrection*requestUnits {
		e.callCounter(call.newCorrection(correction))
	}
}

// totalBeforeLease returns the correct total without a call's lease. It subtracts the call's lease and
// adjustment from the total that the call returned. The result is at least the refill. If the window is new
// at the counter or the counter has lost its total, the result is also at least lastTotal, and at least the
// total at which the shared bucket holds its initial balance.
func (c *customer) totalBeforeLease(call counterCall, total float64) float64 {
	reportedTotal := total - call.adjustment - call.leaseUnits
	correctedTotal := max(reportedTotal, call.refill)
	if reportedTotal-call.spent < minCorrection { // before the call, the counter had no total
		correctedTotal = max(correctedTotal, c.window.lastTotal, call.refill+c.quota.burst-c.quota.initialBalance)
	}
	return correctedTotal
}

// returnUnusedUnits makes a call that returns units to the shared bucket under upfront leasing. It makes no
// call for minCorrection units or fewer, while another call is pending, or during a backoff.
func (e *Engine) returnUnusedUnits(c *customer) {
	if c.unreportedUnits >= -minCorrection || c.quota.deferredReporting ||
		c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	if c.unreportedUnits < 0 { // enterWindow drops the units if their window is over
		e.callCounter(c.newReport(0))
	}
}
