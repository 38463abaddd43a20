package policy

// customerIdleTimeout is how many seconds a customer without requests is remembered.
const customerIdleTimeout = 60.0

// customer is what this gateway knows of one customer: its quota, the counter's replies for it, and the
// requests that wait for units.
type customer struct {
	id       CustomerID
	quota    quotaParameters // as of the newest request
	lastSeen float64         // when the newest request came

	waiting      []*request // not admitted yet: highest level first, each level in order of arrival
	openAttempts int        // admitted requests that are not over, and retries in flight

	demand demand
	lease  lease
	local  tokenBucket

	totalSeen       bool    // a total of a windowed store has been applied
	exhaustedUntil  float64 // the store has too few units until then, as far as is known here
	unreportedUnits float64 // units spent and not reported to the counter; below 0: to be returned
	window          counterWindow
	shared          sharedBucket
	calls           pendingCalls
	backoff         backoff
}

// customerSet is every customer that was seen lately.
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // by first request
}

// customerFor returns the customer of a request, with its quota and demand as of now. It adds one that is not
// known.
func (e *Engine) customerFor(r Request) *customer {
	c := e.customers.byID[r.Customer]
	if c == nil {
		c = e.addCustomer(r)
	}
	c.quota = e.quotaFor(&e.settings.Plans[r.Plan], r.Gateways, e.indexInGatewaySet(r))
	c.demand.record(e.now-c.lastSeen, r.Units)
	c.lastSeen = e.now
	return c
}

// indexInGatewaySet returns this gateway's place, from 0, among those of a request's customer.
func (e *Engine) indexInGatewaySet(r Request) int {
	fleetSize := max(e.settings.FleetSize, 1)
	index := (e.settings.GatewayIndex - r.FirstGateway + fleetSize) % fleetSize
	return max(min(index, r.Gateways-1), 0)
}

// addCustomer adds the customer of a request.
//
// A gateway that starts again may have spent its local tokens in its last incarnation. Under a ceiling it
// earns them anew; elsewhere a full bucket costs little.
func (e *Engine) addCustomer(r Request) *customer {
	c := &customer{id: r.Customer, lastSeen: e.now}
	c.local.updatedAt = e.startedAt
	c.window.number = -1
	e.customers.byID[c.id] = c
	e.customers.ordered = append(e.customers.ordered, c)
	plan := &e.settings.Plans[r.Plan]
	if plan.CeilingRate <= 0 {
		e.fillLocalTokens(c, plan, r.Gateways)
	}
	return c
}

// fillLocalTokens fills the local tokens of a customer that is new to this gateway.
//
// Of many gateways each has less than a unit. Were each to begin with one, a counter that rejects calls for a
// moment would admit a unit for each gateway. So they begin at random, and together have the burst; the rest
// of the unit is for a counter that does not reply. Where there is no counter, nothing else admits a
// customer.
func (e *Engine) fillLocalTokens(c *customer, plan *Plan, gateways int) {
	quota := e.quotaFor(plan, gateways, 0)
	c.local.tokens = quota.localBurst
	burstPerGateway := plan.Burst / float64(max(gateways, 1))
	if e.settings.Counter && burstPerGateway < c.local.tokens {
		c.local.fallback = max(c.local.tokens-burstPerGateway-e.rng.Float64(), 0)
		c.local.tokens -= c.local.fallback
	}
	if quota.deferredReporting && !quota.smallGatewaySet {
		// The counter's store is full when they first call: local tokens would be a burst more.
		c.local.tokens = 0
	}
}

// maintainCustomers expires leases, returns unused units, forgets idle customers and admits the waiting
// requests of the others where that is possible now.
func (e *Engine) maintainCustomers() {
	active := e.customers.ordered[:0]
	for _, c := range e.customers.ordered {
		if e.now >= c.lease.expiresAt {
			c.expireLease()
		}
		if e.isIdle(c) {
			delete(e.customers.byID, c.id)
			continue
		}
		active = append(active, c)
		e.returnUnusedUnits(c)
		if len(c.waiting) > 0 {
			e.admit(c)
		}
	}
	e.customers.ordered = active
}

// isIdle reports whether a customer can be forgotten.
func (e *Engine) isIdle(c *customer) bool {
	return e.now-c.lastSeen > customerIdleTimeout &&
		c.openAttempts == 0 && c.calls.pending == 0 && len(c.waiting) == 0
}
