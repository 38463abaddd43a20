package policy

import "math"

const (
	// minCorrection is the smallest correction of a total that is worth a call: a share of the next
	// request's units, or of one unit.
	minCorrection = 0.25

	minRate         = 1e-3 // units a second: a lower rate counts as this where a duration is divided by it
	minRequestUnits = 1e-3 // units: a smaller request counts as this
	unitRounding    = 1e-3 // of a request's units: the shortfall that counts as a rounding error
)

// lease is a reservation of units: the counter has granted them to this gateway, which spends them without
// further calls. It holds the units that are not spent yet. A lease covers the waiting requests and a
// prefetch for the requests to come. The zero value is an empty lease.
type lease struct {
	units     float64 // below 0: debt, more was spent than granted
	expiresAt float64
}

// add adds granted units. If there are any, the whole lease gets the new expiry.
func (l *lease) add(units, expiresAt float64) {
	l.units += units
	if units > 0 {
		l.expiresAt = expiresAt
	}
}

// take spends units if the lease has as many, and reports whether it had.
func (l *lease) take(units float64) bool {
	if l.units >= units {
		l.units -= units
		return true
	}
	return false
}

// requestLease calls the counter for a lease, unless the call is shed. The call also reports the unreported
// units.
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

// expireLease drops the unspent units of a lease. Under deferred reporting, the next call returns them to the
// shared bucket. Under upfront leasing they are lost until the next window begins.
func (c *customer) expireLease() {
	if c.quota.deferredReporting {
		c.unreportedUnits -= max(c.lease.units, 0)
	}
	c.lease.units = min(c.lease.units, 0)
}

// waitingUnits returns the units of all waiting requests.
func (c *customer) waitingUnits() float64 {
	units := 0.0
	for _, req := range c.waiting {
		units += req.Units
	}
	return units
}

// nextRequestUnits returns the units of the first waiting request, or 1 if none waits.
func (c *customer) nextRequestUnits() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, minRequestUnits)
}

// affordableUnits returns the units to grant for a lease of leaseUnits if the shared bucket has available
// units. A smaller grant than leaseUnits is a multiple of requestUnits, and so holds whole requests.
func affordableUnits(leaseUnits, available, requestUnits float64) float64 {
	return max(min(leaseUnits, math.Floor(available/requestUnits+unitRounding)*requestUnits), 0)
}

// refilledAt returns the time at which the shared bucket will have earned units more: a tick from now at the
// earliest.
func (e *Engine) refilledAt(c *customer, units float64) float64 {
	return e.now + max(units/max(c.quota.rate, minRate), e.settings.Tick)
}
