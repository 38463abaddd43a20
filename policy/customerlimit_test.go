package policy

import "testing"

// limitedSettings returns settings with a limit on customers. Plan 0 has a ceiling, and plan 1 refills quickly.
func limitedSettings(maxCustomers int) Settings {
	set := testSettings()
	set.MaxCustomers = maxCustomers
	set.Plans[0].CeilingRate = 4
	set.Plans[0].CeilingBurst = 8
	return set
}

// runMaintenanceAt sets the clock and runs the periodic maintenance.
func (d *engineDriver) runMaintenanceAt(now float64) {
	d.now = now
	d.handle(timerFired(maintenanceTimer, 0))
}

// Requests of ever new customers must not make the engine keep ever more state. Beyond the limit, a request of a new
// customer is rejected, while known customers are served.
func TestCustomersAreLimited(t *testing.T) {
	const limit = 50
	d := startEngine(t, limitedSettings(limit), readyBackends(30)...)
	for id := range CustomerID(10 * limit) {
		d.sendRequest(0, 1, id+1)
		rejects := actionsOf[Reject](d.lastActions)
		switch {
		case id < limit && len(rejects) > 0 && rejects[0].Reason == ReasonCustomers:
			t.Fatalf("the request of customer %d was rejected: %+v", id+1, rejects[0])
		case id >= limit && (len(rejects) != 1 || rejects[0].Reason != ReasonCustomers || rejects[0].RetryAfter != 0.5):
			t.Fatalf("the request of customer %d, beyond the limit: %+v", id+1, d.lastActions)
		}
	}
	if known, requests := len(d.engine.customers.byID), len(d.engine.requests); known != limit || requests > limit {
		t.Errorf("%d customers and %d requests are known, with a limit of %d customers", known, requests, limit)
	}
	d.sendRequest(0, 1, 1)
	for _, reject := range actionsOf[Reject](d.lastActions) {
		if reject.Reason == ReasonCustomers {
			t.Error("the request of a known customer was rejected for the number of customers")
		}
	}
}

// A customer is forgotten after customerIdleTimeout, and sooner the more customers there are, but only if it is
// replenished: a customer whose tokens are spent, or that is under a ceiling, could exceed its quota by being forgotten
// and added again.
func TestIdleCustomersAreForgottenSoonerWhenCrowded(t *testing.T) {
	const limit = 100
	for _, c := range []struct {
		name      string
		plan      int
		customers int
		idleFor   float64 // seconds after the last request
		forgotten bool
	}{
		{"few customers, before the timeout", 1, limit / 2, customerIdleTimeout - 1, false},
		{"few customers, after the timeout", 1, limit / 2, customerIdleTimeout + 1, true},
		{"three quarters, before half of the timeout", 1, limit * 3 / 4, customerIdleTimeout/2 - 1, false},
		{"three quarters, after half of the timeout", 1, limit * 3 / 4, customerIdleTimeout/2 + 4, true},
		{"full, before the shortest timeout", 1, limit, minCustomerIdleTimeout - 1, false},
		{"full, after the shortest timeout", 1, limit, minCustomerIdleTimeout + 1, true},
		{"full, under a ceiling", 0, limit, customerIdleTimeout - 1, false},
		{"full, under a ceiling, after the timeout", 0, limit, customerIdleTimeout + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startEngine(t, limitedSettings(limit), readyBackends(30)...)
			for id := range CustomerID(c.customers) {
				d.serveRequest(c.plan, id+1)
			}
			d.runMaintenanceAt(d.now + c.idleFor)
			if known := len(d.engine.customers.byID); (known == 0) != c.forgotten {
				t.Errorf("%d of %d customers are known after %g s, want forgotten %t", known, c.customers, c.idleFor, c.forgotten)
			}
		})
	}
}

// serveRequest sends a request of class 0, replies to all counter calls that follow, and serves the attempts.
func (d *engineDriver) serveRequest(plan int, id CustomerID) {
	d.sendRequest(0, plan, id)
	actions := d.lastActions
	for replies := actions; len(replies) > 0; {
		replies = d.grantCounterCalls(replies)
		actions = append(actions, replies...)
	}
	d.endAttempts(actions, func(SendAttempt) AttemptEnded { return AttemptEnded{Outcome: Served, Latency: 0.01} })
}

// A customer whose local tokens are spent is kept until they are earned again, however many customers there are.
func TestUnreplenishedCustomerIsKept(t *testing.T) {
	const limit = 10
	set := limitedSettings(limit)
	set.HasCounter = false
	set.Plans[1] = Plan{WeightFactor: 1, Rate: 0.1, Burst: 4} // a spent unit takes 20 s at each of two gateways
	d := startEngine(t, set, readyBackends(30)...)
	for id := range CustomerID(limit) {
		d.serveRequest(1, id+1)
	}
	start := d.now
	d.runMaintenanceAt(start + 15)
	if known := len(d.engine.customers.byID); known != limit {
		t.Errorf("%d of %d customers are known before their tokens are earned again", known, limit)
	}
	d.runMaintenanceAt(start + 25)
	if known := len(d.engine.customers.byID); known != 0 {
		t.Errorf("%d customers are known after their tokens are earned again", known)
	}
}
