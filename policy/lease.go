package policy

import "math"

const (
	// minCorrection is the least correction of a store that is worth a call, in units of the request that
	// waits, or one unit.
	minCorrection = 0.25

	minRate         = 1e-3 // units a second: the least rate that a duration is worked out from
	minRequestUnits = 1e-3 // the least units that a request counts as
	unitRounding    = 1e-3 // of a request's units: what may be missing through rounding alone
)

// lease is what the counter has granted and the customer has not spent. The zero value is an empty lease.
type lease struct {
	units     float64 // below 0: more was spent than granted
	expiresAt float64
}

// add adds granted units. They put off the expiry of all that is left.
func (l *lease) add(units, expiresAt float64) {
	l.units += units
	if units > 0 {
		l.expiresAt = expiresAt
	}
}

// take spends units and reports whether the lease had as many.
func (l *lease) take(units float64) bool {
	if l.units >= units {
		l.units -= units
		return true
	}
	return false
}

// requestLease calls the counter for a lease, unless the call is shed. The call also reports what has been
// spent.
func (e *Engine) requestLease(c *customer) {
	if e.shedCounterCall(c) {
		return
	}
	c.enterWindow(e.now)
	refill := c.windowRefill(e.now)
	call := c.newReport(refill)
	call.isLeaseRequest = true
	if c.quota.deferredReporting {
		call.adjustment = c.deferredOverflow(refill)
		call.leaseUnits = c.deferredLeaseUnits(e.now)
	} else {
		call.adjustment = c.upfrontOverflow(refill)
		call.leaseUnits = c.upfrontLeaseUnits()
	}
	e.callCounter(call)
}

// expireLease drops the units of a lease that no request came for.
func (c *customer) expireLease() {
	if c.quota.deferredReporting {
		c.unreportedUnits -= max(c.lease.units, 0) // the next call returns them
	}
	c.lease.units = min(c.lease.units, 0) // the next window makes up for the rest
}

// waitingUnits returns what all requests that wait need.
func (c *customer) waitingUnits() float64 {
	units := 0.0
	for _, req := range c.waiting {
		units += req.Units
	}
	return units
}

// nextRequestUnits returns what the first request that waits needs, or 1 where none waits.
func (c *customer) nextRequestUnits() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, minRequestUnits)
}

// affordableUnits returns the part of a lease that is granted where so many units are available, in whole
// requests of requestUnits.
func affordableUnits(leaseUnits, available, requestUnits float64) float64 {
	return max(min(leaseUnits, math.Floor(available/requestUnits+unitRounding)*requestUnits), 0)
}

// refilledAt returns when the store will have earned units: a tick from now at the earliest.
func (e *Engine) refilledAt(c *customer, units float64) float64 {
	return e.now + max(units/max(c.quota.rate, minRate), e.settings.Tick)
}
