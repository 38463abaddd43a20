package policy

// customerIdleTimeout is the time in seconds after which a customer without requests is forgotten.
const customerIdleTimeout = 60.0

// customer holds this gateway's state for one customer: the quota and its use, the waiting requests, and the
// calls to the counter.
//
// openAttempts counts the slots of localConcurrency in use: one for each admitted request until its first
// attempt ends, and one for each further attempt in flight.
type customer struct {
	id            CustomerID
	quota         quotaParameters // as of the newest request
	lastRequestAt float64         // clock time at which the newest request arrived

	waiting      []*request // not admitted yet: highest level first, each level in order of arrival
	openAttempts int        // slots of localConcurrency in use

	demand      demand
	lease       lease
	localTokens tokenBucket

	totalSeen       bool    // a total from the counter has been applied under upfront leasing
	exhaustedUntil  float64 // clock time until which the shared bucket is expected to have too few units
	shortUntil      float64 // clock time until which the customer counts as short of units
	unreportedUnits float64 // spent units that the next call reports; below 0: units that it returns
	window          counterWindow
	sharedBucket    sharedBucketView
	calls           pendingCalls
	backoff         backoff
}

// customerSet holds the customers that have sent requests, until they are forgotten (see isForgettable).
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // the customers of byID, in the order in which they were added
}

// customerFor returns the customer of a request and updates the customer's quota and demand. It adds the
// customer if it is not known yet.
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
// The gateway may have been restarted, and may have spent the customer's local tokens before the restart.
// Under a ceiling, the local tokens are therefore only those earned since the gateway's start. Without a
// ceiling, fillLocalTokens sets the local tokens, since tokens that are spent twice then cost little.
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

// fillLocalTokens sets the first local tokens of a customer that is new to this gateway.
//
// In a large gateway set, a gateway's equal part of the burst may be less than one unit, while localBurst is
// at least one unit. If each gateway started with a whole unit, the gateways together would admit far more
// than the burst while the counter rejects calls. Each gateway therefore starts with its part and a random
// fraction of a unit, but at most localBurst. The gateways together then admit about the burst. The remaining
// tokens up to localBurst become the fallback, which is released when the counter does not reply. Without a
// counter, nothing is withheld, since only local tokens admit requests.
func (e *Engine) fillLocalTokens(c *customer, plan *Plan, gateways int) {
	quota := e.quotaFor(plan, gateways, 0) // the index affects only localConcurrency, which is not used here
	c.localTokens.tokens = quota.localBurst
	burstPerGateway := plan.Burst / float64(max(gateways, 1))
	if e.settings.HasCounter && burstPerGateway < c.localTokens.tokens {
		c.localTokens.fallback = max(c.localTokens.tokens-burstPerGateway-e.rng.Float64(), 0)
		c.localTokens.tokens -= c.localTokens.fallback
	}
	if quota.deferredReporting && !quota.smallGatewaySet {
		// The shared bucket is full at the first call, and full local buckets would add another burst.
		c.localTokens.tokens = 0
	}
}

// maintainCustomers expires leases and forgets idle customers. For customers that are not idle, it returns
// unused units to the shared bucket and decides again on the waiting requests.
func (e *Engine) maintainCustomers() {
	replenishedIdleTimeout := e.replenishedIdleTimeout()
	active := e.customers.ordered[:0]
	for _, c := range e.customers.ordered {
		if e.now >= c.lease.expiresAt {
			c.expireLease()
		}
		if e.isForgettable(c, replenishedIdleTimeout) {
			delete(e.customers.byID, c.id)
			continue
		}
		active = append(active, c)
		e.returnUnusedUnits(c)
		if len(c.waiting) > 0 {
			e.admit(c)
		}
	}
	clear(e.customers.ordered[len(active):]) // lets the forgotten customers be garbage collected
	e.customers.ordered = active
}

// isForgettable reports whether a customer can be forgotten: it has no open attempt, pending counter call or
// waiting request, and its last request arrived more than customerIdleTimeout ago, or more than the given
// time ago if the customer is replenished.
func (e *Engine) isForgettable(c *customer, replenishedIdleTimeout float64) bool {
	idleFor := e.now - c.lastRequestAt
	if idleFor <= replenishedIdleTimeout || c.openAttempts > 0 || c.calls.pending > 0 || len(c.waiting) > 0 {
		return false
	}
	return idleFor > customerIdleTimeout || c.isReplenished(e.now)
}
