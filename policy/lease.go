package policy

import "math"

// Leases on the shared counter. Each is a share or a count that holds for any deployment.
const (
	leaseLifeShare      = 0.5  // a lease lives this part of its window
	leaseTargetDuration = 45.0 // seconds that a lease is to last, at the mean demand of so long
	maxLeaseShare       = 0.25 // part of what the store had at the last look that one lease takes ahead
	minCorrection       = 0.25 // of a unit; less is not worth a call
)

// lease is what the counter has granted and the customer has not spent. The zero value is an empty lease.
type lease struct {
	units     float64 // below 0: more was spent than granted
	expiresAt float64
}

// expireLease drops the units of a lease that nobody came for.
func (c *customer) expireLease() {
	if c.quota.reportedStore {
		c.unreportedUnits -= max(c.lease.units, 0) // the next call gives them back
	}
	c.lease.units = min(c.lease.units, 0) // the next window makes up for the rest
}

// returnUnusedUnits gives units back to an exact store, where they are enough to be worth a call.
func (e *Engine) returnUnusedUnits(c *customer) {
	if c.unreportedUnits >= -minCorrection || c.quota.reportedStore ||
		c.calls.pending > 0 || c.backoff.active(e.now) {
		return
	}
	c.enterWindow(e.now)
	if c.unreportedUnits >= 0 {
		return
	}
	e.callCounter(c.newReport(0))
}

// leaseSize is the size of the next lease: what the demand of a second needs, at first all of the share.
func (c *customer) leaseSize() float64 {
	if !c.counterSeen {
		return c.quota.initialLease
	}
	return min(c.demand.rate, c.quota.initialLease)
}

// requestLease asks for a block, and tells what has been spent from the local share in this window.
func (e *Engine) requestLease(c *customer) {
	if e.shedCounterCall(c) {
		return
	}
	need := 0.0
	for _, req := range c.waiting {
		need += req.Units
	}
	c.enterWindow(e.now)
	floor := c.windowRefill(e.now)
	call := c.newReport(floor)
	call.isLease = true
	if c.quota.reportedStore {
		call.writeOff = c.refillToWriteOff(floor)
		// Of a customer beyond its quota most calls get nothing, and what they added is missing to the
		// others until it is back. So the next one after that looks first, and a further one takes. Of many
		// gateways one that gets no more than its part of the rate was dry by others' leases: it needs no look.
		switch {
		case !c.store.exhausted || e.now > c.exhaustedUntil+exhaustedCheckTime:
			ahead := min(c.demand.sustainedRate*leaseTargetDuration, c.store.remaining*maxLeaseShare)
			call.leaseUnits = need + math.Floor(max(ahead, 0))
		case !c.quota.smallGatewaySet && c.withinFairRate():
			call.leaseUnits = need
		}
	} else {
		need = math.Ceil(need) + math.Floor(c.leaseSize()) // a unit that nobody comes for is missing to the others
		call.leaseUnits = max(min(need, c.quota.allowance), 1)
		if call.writeOff = max(floor-c.window.lastTotal, 0); c.window.lastTotal == 0 {
			// A window that is new to this gateway may be new to all. The call that starts it must
			// tell, in one step, that not all of the store is there; who was not the first takes it back.
			call.writeOff = floor + c.quota.allowance - c.quota.initialAllowance
		}
	}
	e.callCounter(call)
}

// nextRequestUnits is what the first request that waits needs, or one.
func (c *customer) nextRequestUnits() float64 {
	if len(c.waiting) == 0 {
		return 1
	}
	return max(c.waiting[0].Units, 1e-3)
}

// affordableUnits is what of a block a store pays for that has so much, in whole units of the first request.
func affordableUnits(block, avail, unit float64) float64 {
	return max(min(block, math.Floor(avail/unit+1e-3)*unit), 0)
}
