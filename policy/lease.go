package policy

import "math"

const (
	// minCorrection is the smallest correction of a total that is worth a call, as a share of the next
	// request's units. A total below minCorrection units counts as 0.
	minCorrection = 0.25

	minRate         = 1e-3 // lowest rate used as a divisor, in units per second
	minRequestUnits = 1e-3 // lowest number of units that a request counts as
	unitRounding    = 1e-3 // largest shortfall that counts as a rounding error, as a share of a request's units
)

// lease is a reservation of units. The units are charged to the counter's total when the lease is requested,
// and this gateway then spends them without further calls. A lease is requested for the waiting requests and,
// as a prefetch, for later requests. The zero value is an empty lease.
type lease struct {
	units     float64 // units not spent yet; below 0: debt, since requests needed more units than estimated
	expiresAt float64
}

// add adds granted units. If units is above 0, the whole lease expires at expiresAt.
func (l *lease) add(units, expiresAt float64) {
	l.units += units
	if units > 0 {
		l.expiresAt = expiresAt
	}
}

// take spends the given units if the lease holds at least as many, and reports whether it did.
func (l *lease) take(units float64) bool {
	if l.units >= units {
		l.units -= units
		return true
	}
	return false
}

// requestLease makes a call that requests a lease or only reads the total (see deferredLeaseUnits), unless
// the call is shed. The call also reports the customer's unreported units.
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

// expireLease drops the unspent units of a lease. Under deferred reporting, the next call returns the units
// to the shared bucket. Under upfront leasing, the shared bucket lacks them until the next window begins.
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

// nextRequestUnits returns the units of the first waiting request, but at least minRequestUnits. It returns 1
// if no request waits.
func (c *customer) nextRequestUnits() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, minRequestUnits)
}

// affordableUnits returns how many of the requested leaseUnits can be granted, given the available units of
// the shared bucket. A grant below leaseUnits is a multiple of requestUnits, the units of one request.
func affordableUnits(leaseUnits, available, requestUnits float64) float64 {
	return max(min(leaseUnits, math.Floor(available/requestUnits+unitRounding)*requestUnits), 0)
}

// refilledAt returns the time at which the shared bucket will have earned the given units, but at least one
// tick from now.
func (e *Engine) refilledAt(c *customer, units float64) float64 {
	return e.now + max(units/max(c.quota.rate, minRate), e.settings.Tick)
}
