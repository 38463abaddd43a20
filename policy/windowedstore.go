package policy

import "math"

// An exact store.
const (
	maxExhaustedUnits = 3.0 // units of refill after which an empty store is asked for again
)

// reconcileWindowedStore keeps what fits of a block. An exact store gets the rest back. In a short window
// it is left: there is nothing for anyone until the next, and the calls for it would be as many as those
// for units.
func (e *Engine) reconcileWindowedStore(c *customer, call counterCall, total float64) {
	before := total - call.writeOff - call.leaseUnits
	target := max(before, call.refill)
	if before-call.spent < minCorrection { // the window is new, or the counter has lost it
		target = max(target, c.window.lastTotal, call.refill+c.quota.allowance-c.quota.initialAllowance)
	}
	unit, avail := c.nextRequestUnits(), c.quota.allowance-(target-call.refill)
	grant := affordableUnits(call.leaseUnits, avail, unit)
	if grant < call.leaseUnits {
		// Another gateway may be about to take back what it wrote off twice; until it has, the store
		// looks emptier than it is.
		short := min(2*unit-avail+grant, maxExhaustedUnits*unit)
		c.exhaustedUntil = e.now + max(short/max(c.quota.rate, 1e-3), e.settings.Tick)
		if !c.quota.smallGatewaySet {
			c.exhaustedUntil = c.windowEnd(call.window)
		}
	}
	c.lease.units += grant
	if grant > 0 {
		c.lease.expiresAt = e.now + leaseLifeShare*c.quota.allowance/max(c.quota.rate, 1e-3)
	}
	if c.window.number == call.window {
		c.window.lastTotal = target + grant
	}
	c.counterSeen = true
	if more := target + grant - total; c.quota.smallGatewaySet && math.Abs(more) > minCorrection*unit {
		// Less, or what an emptied counter lost.
		e.callCounter(call.newCorrection(more))
	}
}
