package policy

import "math"

// customer is the quota of one customer as this gateway sees it.
type customer struct {
	id                          CustomerID
	quota                       quotaAttributes
	lastSeen, demandRate        float64    // units a second, here
	openAttempts                int        // requests let in and not over, and further attempts
	waiting                     []*request // highest level first
	leasedUnits, leaseExpiresAt float64    // leased and not spent
	window                      float64    // number of the counter's window
	windowName                  uint64
	lastTotal                   float64 // the window's total as last seen
	unusedRefill, meanReport    float64 // of a reported store: refill unused at the last call; a report
	remaining, remainingAt      float64 // what the store had then, and when that was
	sustainedRate, newestUnits  float64 // mean over leaseTargetDuration; the newest request's
	exhausted                   bool    // the last call found too little
	counterSeen                 bool    // the counter has told of it
	exhaustedUntil              float64
	unreportedUnits             float64 // spent in this window and not told
	pendingCalls                int     // calls out
	pendingLeases               int     // of these for units
	backoff, backoffUntil       float64 // pause after a failed call
	localTokens, localTokensAt  float64 // own share, for when the counter grants nothing
	fallbackTokens              float64 // what is added to it once a call has had no answer
}

// customerSet is every customer that was seen lately.
type customerSet struct {
	byID    map[CustomerID]*customer
	ordered []*customer // by first request
}

func (e *Engine) customerFor(r Request) *customer {
	c := e.customers.byID[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, localTokensAt: e.startedAt, window: -1, lastSeen: e.now}
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
			c.localTokens = t.localBurst
			if share := p.Burst / float64(max(r.Gateways, 1)); e.settings.Counter && share < c.localTokens {
				c.fallbackTokens = max(c.localTokens-share-e.rng.Float64(), 0)
				c.localTokens -= c.fallbackTokens
			}
			if t.reportedStore && !t.smallGatewaySet {
				c.localTokens = 0 // the counter's store is full when they first ask: this would be a burst more
			}
		}
	}
	fleet := max(e.settings.FleetSize, 1)
	// index is this gateway's place in the customer's set.
	index := (e.settings.GatewayIndex - r.FirstGateway + fleet) % fleet
	c.quota = e.quotaFor(&e.settings.Plans[r.Plan], r.Gateways, max(min(index, r.Gateways-1), 0))
	c.demandRate = c.demandRate*math.Exp(-(e.now-c.lastSeen)/demandAveragingTime) + r.Units/demandAveragingTime
	// What comes just now says nothing of what is to come after it.
	c.sustainedRate = (c.sustainedRate + c.newestUnits/leaseTargetDuration) *
		math.Exp(-(e.now-c.lastSeen)/leaseTargetDuration)
	c.newestUnits = r.Units
	c.lastSeen = e.now
	return c
}

// phase spreads the ends of windows over customers.
func (c *customer) phase() float64 { return float64(hash(uint64(c.id))%1024) / 1024 }

// maintainCustomers ends leases that have expired, gives back what is too much, drops idle customers and
// admits the waiting requests of the others where that is possible now.
func (e *Engine) maintainCustomers() {
	kept := e.customers.ordered[:0]
	for _, c := range e.customers.ordered {
		if e.now >= c.leaseExpiresAt {
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

// expireLease drops the units of a lease that nobody came for.
func (c *customer) expireLease() {
	if c.quota.reportedStore {
		c.unreportedUnits -= max(c.leasedUnits, 0) // the next call gives them back
	}
	c.leasedUnits = min(c.leasedUnits, 0) // the next window makes up for the rest
}

// isIdle tells whether a customer can be forgotten.
func (e *Engine) isIdle(c *customer) bool {
	return e.now-c.lastSeen > customerIdleTimeout &&
		c.openAttempts == 0 && c.pendingCalls == 0 && len(c.waiting) == 0
}

// returnUnusedUnits gives units back to an exact store, where they are enough to be worth a call.
func (e *Engine) returnUnusedUnits(c *customer) {
	if c.unreportedUnits >= -minCorrection || c.quota.reportedStore ||
		c.pendingCalls > 0 || e.now < c.backoffUntil {
		return
	}
	e.enterWindow(c)
	if c.unreportedUnits >= 0 {
		return
	}
	call := counterCall{customer: c, name: c.windowName, window: c.window, spent: c.unreportedUnits}
	e.callCounter(call, counterNameTTL)
	c.unreportedUnits = 0
}
