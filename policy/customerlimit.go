package policy

// The number of customers is limited by Settings.MaxCustomers, since a client can send requests of any number
// of customers.
const (
	// crowdedShare is the share of MaxCustomers from which on idle customers are forgotten sooner.
	crowdedShare = 0.5
	// minCustomerIdleTimeout is the time in seconds after which an idle customer may be forgotten when there
	// are MaxCustomers.
	minCustomerIdleTimeout = 5.0
)

// hasRoomFor reports whether a customer is known or can be added.
func (e *Engine) hasRoomFor(id CustomerID) bool {
	limit := e.settings.MaxCustomers
	return limit <= 0 || len(e.customers.byID) < limit || e.customers.byID[id] != nil
}

// rejectForCustomers rejects a request whose customer can't be added. No state is kept of the request.
func (e *Engine) rejectForCustomers(arrival Request) {
	e.emit(Reject{Request: arrival.ID, RetryAfter: e.settings.LongestRetryAfter(), Reason: ReasonCustomers})
}

// replenishedIdleTimeout returns the time in seconds after which an idle customer is forgotten if it is
// replenished. Above crowdedShare of MaxCustomers, the time falls from customerIdleTimeout to
// minCustomerIdleTimeout.
func (e *Engine) replenishedIdleTimeout() float64 {
	limit := float64(e.settings.MaxCustomers)
	if limit <= 0 {
		return customerIdleTimeout
	}
	share := float64(len(e.customers.byID)) / limit
	pressure := min(max((share-crowdedShare)/(1-crowdedShare), 0), 1)
	return customerIdleTimeout - pressure*(customerIdleTimeout-minCustomerIdleTimeout)
}

// isReplenished reports whether the customer's local tokens are full again. A customer that is forgotten then
// and added again gets no more local tokens than it would have had. A customer under a ceiling never counts
// as replenished: the ceiling must hold in every case, while exceeding a quota only costs a price.
func (c *customer) isReplenished(now float64) bool {
	switch {
	case c.quota.hasCeiling:
		return false
	case c.quota.rate <= 0:
		return true // no quota of units
	}
	c.localTokens.refill(now, c.quota.localRate, c.quota.localBurst)
	return c.localTokens.tokens >= c.quota.localBurst
}
