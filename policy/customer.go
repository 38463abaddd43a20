package policy

// customerIdleTimeout is the time in seconds after which a customer without requests is forgotten.
const customerIdleTimeout = 60.0

// customer is this gateway's state of one customer: its quota, its account at the counter, and its waiting
// requests.
type customer struct {
	id            CustomerID
	quota         quotaParameters // as of the newest request
	lastRequestAt float64         // arrival of the newest request

	waiting      []*request // not admitted yet: highest level first, each level in order of arrival
	openAttempts int        // admitted requests whose first attempt has not ended, and further open attempts

	demand      demand
	lease       lease
	localTokens tokenBucket

	totalSeen       bool    // a reply of the counter has been applied under upfront leasing
	exhaustedUntil  float64 // the shared bucket has too few units until then, as far as is known here
	unreportedUnits float64 // units spent that the next call reports; below 0: units that it returns
	window          counterWindow
	sharedBucket    sharedBucketView
	calls           pendingCalls
	backoff         backoff
}

// customerSet holds the customers that have sent requests lately.
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // in order of their first requests
}

// customerFor returns the customer of a request and updates its quota and demand. It adds an unknown
// customer.
func (e *Engine) customerFor(r Request) *customer {
	c := e.customers.byID[r.Customer]
	if c == nil {
		c = e.addCustomer(r)
	}
	c.quota = e.quotaFor(&e.settings.Plans[r.Plan], r.Gateways, e.indexInGatewaySet(r))
	c.demand.record(e.now-c.lastRequestAt, r.Units)
	c.lastRequestAt = e.now
	return c
}

// indexInGatewaySet returns this gateway's index, from 0, in the gateway set of a request's customer.
func (e *Engine) indexInGatewaySet(r Request) int {
	fleetSize := max(e.settings.FleetSize, 1)
	index := (e.settings.GatewayIndex - r.FirstGateway + fleetSize) % fleetSize
	return max(min(index, r.Gateways-1), 0)
}

// addCustomer adds the customer of a request.
//
// The gateway may have been restarted, and may have spent the customer's local tokens before. Under a
// ceiling the bucket of local tokens therefore starts empty, with the tokens earned since the gateway
// started. Without a ceiling it starts full, which costs little.
func (e *Engine) addCustomer(r Request) *customer {
	c := &customer{id: r.Customer, lastRequestAt: e.now}
	c.localTokens.updatedAt = e.startedAt
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
// In a large gateway set, a gateway's part of the burst is less than a unit. If each gateway started with a
// whole unit, each would admit one while the counter rejects calls for a moment. So each starts with its
// part and a random addition, which lets the set as a whole admit about the burst. The rest of the unit
// becomes the fallback, for a counter that does not reply. Without a counter there is no such split, since
// nothing but local tokens admits requests.
func (e *Engine) fillLocalTokens(c *customer, plan *Plan, gateways int) {
	quota := e.quotaFor(plan, gateways, 0)
	c.localTokens.tokens = quota.localBurst
	burstPerGateway := plan.Burst / float64(max(gateways, 1))
	if e.settings.HasCounter && burstPerGateway < c.localTokens.tokens {
		c.localTokens.fallback = max(c.localTokens.tokens-burstPerGateway-e.rng.Float64(), 0)
		c.localTokens.tokens -= c.localTokens.fallback
	}
	if quota.deferredReporting && !quota.smallGatewaySet {
		// The shared bucket is full at the first call. Local tokens would add another burst to it.
		c.localTokens.tokens = 0
	}
}

// maintainCustomers expires leases, forgets idle customers, and for the others returns unused units to the
// counter and decides again on waiting requests.
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

// isIdle reports whether a customer can be forgotten: it has sent nothing for customerIdleTimeout, and has no
// open attempt, pending call or waiting request.
func (e *Engine) isIdle(c *customer) bool {
	return e.now-c.lastRequestAt > customerIdleTimeout &&
		c.openAttempts == 0 && c.calls.pending == 0 && len(c.waiting) == 0
}
