package policy

import "math"

// What is remembered of a customer.
const (
	customerIdleTimeout = 60.0 // seconds after which a customer is forgotten
)

// customer is what this gateway knows of one customer: its quota, the counter's answers for it and the
// requests that wait for units.
type customer struct {
	id       CustomerID
	quota    quotaAttributes // as of the newest request
	lastSeen float64         // when the newest request came

	waiting      []*request // not admitted yet: highest level first, each level in order of arrival
	openAttempts int        // admitted requests that are not over, and retries in flight

	demand demand
	lease  lease
	local  tokenBucket // this gateway's own share of the quota, for when the counter grants nothing

	counterSeen     bool    // a reply of the counter has been applied
	exhaustedUntil  float64 // the store has too few units until then, as far as is known here
	unreportedUnits float64 // units spent that the counter hasn't been told of; below 0: to be returned
	window          counterWindow
	store           reportedStore
	calls           pendingCalls
	backoff         backoff
}

// customerSet is every customer that was seen lately.
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // by first request
}

func (e *Engine) customerFor(r Request) *customer {
	c := e.customers.byID[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, lastSeen: e.now}
		c.local.updatedAt = e.startedAt
		c.window.number = -1
		e.customers.byID[r.Customer] = c
		e.customers.ordered = append(e.customers.ordered, c)
		// A gateway that starts again may have spent its share in its last life. Under a ceiling
		// it earns the share anew; elsewhere a full store costs little.
		if p := e.settings.Plans[r.Plan]; p.CeilingRate <= 0 {
			// Of many gateways each has less than a unit. Were each to begin with one, a counter that
			// turns calls away for a moment would let in a unit for each gateway. So they begin at random, and
			// together have the burst; the rest of the unit is for a counter that says nothing. Where there is no
			// counter, nothing else lets a customer in.
			t := e.quotaFor(&p, r.Gateways, 0)
			c.local.tokens = t.localBurst
			if share := p.Burst / float64(max(r.Gateways, 1)); e.settings.Counter && share < c.local.tokens {
				c.local.fallback = max(c.local.tokens-share-e.rng.Float64(), 0)
				c.local.tokens -= c.local.fallback
			}
			if t.reportedStore && !t.smallGatewaySet {
				c.local.tokens = 0 // the counter's store is full when they first ask: this would be a burst more
			}
		}
	}
	fleet := max(e.settings.FleetSize, 1)
	// index is this gateway's place in the customer's set.
	index := (e.settings.GatewayIndex - r.FirstGateway + fleet) % fleet
	c.quota = e.quotaFor(&e.settings.Plans[r.Plan], r.Gateways, max(min(index, r.Gateways-1), 0))
	c.demand.rate = c.demand.rate*math.Exp(-(e.now-c.lastSeen)/demandAveragingTime) + r.Units/demandAveragingTime
	// What comes just now says nothing of what is to come after it.
	c.demand.sustainedRate = (c.demand.sustainedRate + c.demand.newestUnits/leaseTargetDuration) *
		math.Exp(-(e.now-c.lastSeen)/leaseTargetDuration)
	c.demand.newestUnits = r.Units
	c.lastSeen = e.now
	return c
}

// maintainCustomers ends leases that have expired, gives back what is too much, drops idle customers and
// admits the waiting requests of the others where that is possible now.
func (e *Engine) maintainCustomers() {
	kept := e.customers.ordered[:0]
	for _, c := range e.customers.ordered {
		if e.now >= c.lease.expiresAt {
			c.expireLease()
		}
		if e.isIdle(c) {
			delete(e.customers.byID, c.id)
			continue
		}
		kept = append(kept, c)
		e.returnUnusedUnits(c)
		if len(c.waiting) > 0 {
			e.admit(c)
		}
	}
	e.customers.ordered = kept
}

// isIdle tells whether a customer can be forgotten.
func (e *Engine) isIdle(c *customer) bool {
	return e.now-c.lastSeen > customerIdleTimeout &&
		c.openAttempts == 0 && c.calls.pending == 0 && len(c.waiting) == 0
}
