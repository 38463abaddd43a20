package policy

import (
	"math/rand/v2"
	"testing"
)

// The timeouts, in seconds, of clients in these tests. The deadline of class 0 of testSettings is 2 s, and its latency
// objective 0.8 s.
const (
	usualTimeout     = 1.4
	presumedLateLeft = 0.9 // left to a client that has presumably spent 1.1 s on earlier requests
)

// retryDriver sends requests of class 0 to an engine whose backends serve each attempt after 0.1 s.
type retryDriver struct {
	*engineDriver
	customer CustomerID
}

// startRetryDriver starts an engine with enough backends and units for all requests.
func startRetryDriver(t *testing.T, set Settings) *retryDriver {
	t.Helper()
	set.Plans[1].Rate, set.Plans[1].Burst = 1000, 2000
	return &retryDriver{engineDriver: startEngine(t, set, readyBackends(4)...), customer: 5}
}

// arrive passes a request with a timeout to the engine, grants its counter calls and returns all actions.
func (d *retryDriver) arrive(timeout float64, marked bool) (RequestID, []Action) {
	d.nextID++
	out := d.handle(Request{ID: d.nextID, Plan: 1, Units: 1, Gateways: 2, Customer: d.customer,
		Deadline: d.now + timeout, IsRetry: marked})
	return d.nextID, append(out, d.grantCounterCalls(out)...)
}

// serve sends an unmarked request, serves its attempt and reports whether there was one.
func (d *retryDriver) serve(timeout float64) bool {
	_, out := d.arrive(timeout, false)
	attempts := actionsOf[SendAttempt](out)
	d.now += 0.1
	for _, s := range attempts {
		d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.1})
	}
	d.now += 0.1
	return len(attempts) == 1
}

// learnTimeout serves requests until the engine knows the usual timeout.
func (d *retryDriver) learnTimeout(usual float64) {
	d.t.Helper()
	for range 20 {
		if !d.serve(usual) {
			d.t.Fatal("a request with the usual timeout was not sent")
		}
	}
}

// Guards against a gateway that rejects all requests of a class untried, with all backends idle: clients that each wait
// a time of their own were taken for clients that retry after their objective.
func TestClientsWithOwnTimeoutsAreServed(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 37))
		d := startRetryDriver(t, testSettings())
		d.learnTimeout(usualTimeout)
		for i := range 150 {
			if timeout := 1 + 0.4*rng.Float64(); !d.serve(timeout) {
				t.Fatalf("seed %d: request %d, whose client waits %.3f s, was rejected untried", seed, i, timeout)
			}
		}
	}
}

// A retry whose objective had presumably passed when its client sent it would earn nothing. It yields to all others: it
// is served where nobody else needs the capacity, behind all others and with a part of the limit where somebody does, and
// not at all where its wait in the queue would be too long. Requests that are not retries keep their level.
func TestRetryPresumedLateYieldsCapacity(t *testing.T) {
	d := startRetryDriver(t, testSettings())
	level := func(id RequestID) int { return d.engine.requests[id].level }

	id, out := d.arrive(presumedLateLeft, false)
	if onlyAction[SendAttempt](t, out); level(id) == presumedLateLevel {
		t.Error("a request was demoted although the usual timeout of clients is unknown")
	}
	d.learnTimeout(usualTimeout)
	id, out = d.arrive(usualTimeout, false)
	if onlyAction[SendAttempt](t, out); level(id) == presumedLateLevel {
		t.Error("a request that is not a retry was demoted")
	}
	id, out = d.arrive(presumedLateLeft, false)
	if s := onlyAction[SendAttempt](t, out); level(id) != presumedLateLevel || s.Timeout < 0.79 {
		t.Errorf("a retry past its objective has level %d and %.2f s for its attempt, want the lowest and all of the objective",
			level(id), s.Timeout)
	}
	d.arrive(usualTimeout, false)

	const limit, lateLimit = 8, 8 * presumedLateLimitShare
	d.engine.latency.mean, d.engine.limiter.limit, d.engine.limiter.inFlight = 0.1, limit, limit
	late, out := d.arrive(presumedLateLeft, false)
	if n := len(actionsOf[SendAttempt](out)) + len(actionsOf[Reject](out)); n != 0 {
		t.Fatalf("a retry past its objective does not wait at the limit: %v", out)
	}
	first, _ := d.arrive(usualTimeout, false)
	d.engine.limiter.inFlight = lateLimit
	out = d.handle(timerFired(maintenanceTimer, 0))
	if s := onlyAction[SendAttempt](t, out); s.Request != first {
		t.Errorf("sent %d, want %d, which came later and is not late", s.Request, first)
	}
	d.engine.limiter.inFlight = lateLimit - 1
	out = d.handle(timerFired(maintenanceTimer, 0))
	if s := onlyAction[SendAttempt](t, out); s.Request != late {
		t.Errorf("sent %d, want %d", s.Request, late)
	}
	d.engine.limiter.inFlight = limitBurst
	d.engine.limiter.limit = 0.1 // attempts 1 s apart
	_, out = d.arrive(presumedLateLeft, false)
	onlyAction[Reject](t, out)
}

// A retry whose objective presumably passes while it waits in the queue yields to others as well.
func TestRetryThatWouldBecomeLateYields(t *testing.T) {
	d := startRetryDriver(t, testSettings())
	d.learnTimeout(1.9)
	d.engine.latency.mean, d.engine.limiter.inFlight = 0.1, limitBurst // at the limit
	for _, c := range []struct {
		limit float64 // attempts; a wait of 0.1 s divided by the limit is expected
		left  float64 // seconds until the client's deadline, of 2 s
		level bool    // the request keeps its level
	}{
		{limit: 2, left: 1.5, level: true}, // 0.3 s of the objective are presumably left
		{limit: 0.4, left: 1.45, level: false},
		{limit: 0.4, left: 1.9, level: true}, // not a retry
	} {
		d.engine.limiter.limit = c.limit
		d.engine.limiter.meanInFlight = c.limit
		id, _ := d.arrive(c.left, false)
		req := d.engine.requests[id]
		if req == nil {
			t.Errorf("%+v: rejected", c)
			continue
		}
		if (req.level != presumedLateLevel) != c.level {
			t.Errorf("%+v: level %d", c, req.level)
		}
		d.handle(ClientDisconnected{Request: id})
		d.engine.queue.requests[req.level] = nil
	}
}

// A retry that is presumed late gets no units while its customer is short of them, so that they are left for requests
// that earn something. The shortage is over shortageMemory after the last request that lacked units.
func TestRetryPresumedLateYieldsUnits(t *testing.T) {
	set := testSettings()
	set.HasCounter = false // local tokens alone
	d := startRetryDriver(t, set)
	d.learnTimeout(usualTimeout)
	customer := d.engine.customers.byID[d.customer]
	setTokens := func(tokens float64) {
		customer.localTokens.tokens, customer.localTokens.updatedAt = tokens, d.now
		customer.lease = lease{}
	}
	setTokens(0)
	_, out := d.arrive(usualTimeout, false)
	onlyAction[Reject](t, out)
	setTokens(5)
	_, out = d.arrive(presumedLateLeft, false)
	if r := onlyAction[Reject](t, out); r.Reason != ReasonQuota {
		t.Errorf("a retry past its objective was rejected for %v, want the quota", r.Reason)
	}
	_, out = d.arrive(usualTimeout, false)
	onlyAction[SendAttempt](t, out)
	for range 3 { // their own rejections don't prolong the shortage
		d.now += shortageMemory / 4
		_, out = d.arrive(presumedLateLeft, false)
		onlyAction[Reject](t, out)
	}
	d.now += shortageMemory / 4
	_, out = d.arrive(presumedLateLeft, false)
	onlyAction[SendAttempt](t, out)
}

// Guards against taking requests for retries by their timeout although their clients mark retries: only marked ones are
// retries, and the timeouts of marked ones don't tell what is usual.
func TestMarkGoesBeforeInferenceFromTimeout(t *testing.T) {
	set := testSettings()
	set.ClientsMarkRetries = true
	d := startRetryDriver(t, set)
	d.learnTimeout(usualTimeout)
	for _, timeout := range []float64{1, 1.1, 1.2, 1.3, usualTimeout} {
		id, _ := d.arrive(timeout, false)
		if d.engine.requests[id].level == presumedLateLevel {
			t.Errorf("an unmarked request whose client waits %.1f s was demoted", timeout)
		}
	}
	d.learnTimeout(usualTimeout)
	for range 40 {
		if id, _ := d.arrive(presumedLateLeft, true); d.engine.requests[id].level != presumedLateLevel {
			t.Fatal("a marked retry past its objective was not demoted")
		}
	}
	if id, _ := d.arrive(usualTimeout, true); d.engine.requests[id].level == presumedLateLevel {
		t.Error("a marked retry with the usual timeout was demoted")
	}
}

// Guards against a usual timeout that stays for good, or is that of a few requests: it is the timeout of most recent
// requests, and nothing is presumed while there is no such timeout.
func TestUsualTimeoutIsThatOfMostRequests(t *testing.T) {
	demoted := func(d *retryDriver, timeout float64) bool {
		before := d.engine.Estimates().PresumedLate
		if !d.serve(timeout) {
			t.Errorf("a request whose client waits %.2f s was not sent", timeout)
		}
		return d.engine.Estimates().PresumedLate > before
	}
	t.Run("first requests differ", func(t *testing.T) {
		d := startRetryDriver(t, testSettings())
		for _, timeout := range []float64{1.9, 1.9, 1.05, 1.05} {
			if demoted(d, timeout) {
				t.Errorf("a request of %.2f s among the first ones was demoted", timeout)
			}
		}
	})
	t.Run("two equal requests", func(t *testing.T) {
		d := startRetryDriver(t, testSettings())
		d.learnTimeout(usualTimeout)
		for range 2 {
			if !demoted(d, presumedLateLeft) {
				t.Error("a retry past its objective was not demoted")
			}
		}
		if demoted(d, usualTimeout) {
			t.Error("a request that is not a retry was demoted after two equal retries")
		}
	})
	t.Run("longer than usual", func(t *testing.T) {
		d := startRetryDriver(t, testSettings())
		d.learnTimeout(1)
		if demoted(d, 1.1) {
			t.Error("a request whose client waits longer than usual was demoted")
		}
	})
	t.Run("all different", func(t *testing.T) {
		d := startRetryDriver(t, testSettings())
		d.learnTimeout(usualTimeout)
		demotions := 0
		for i := range 100 {
			if demoted(d, 1.39-0.0039*float64(i)) {
				demotions++
			}
		}
		if demotions >= maxTimeoutSupport {
			t.Errorf("%d of 100 requests of different timeouts were demoted, want fewer than %d", demotions, maxTimeoutSupport)
		}
	})
	t.Run("another usual timeout", func(t *testing.T) {
		d := startRetryDriver(t, testSettings())
		d.learnTimeout(usualTimeout)
		demotions := 0
		for range 100 {
			if demoted(d, 1.1) {
				demotions++
			}
		}
		if demotions >= maxTimeoutSupport {
			t.Errorf("%d of 100 requests of a new usual timeout were demoted, want fewer than %d", demotions, maxTimeoutSupport)
		}
		if !demoted(d, presumedLateLeft) {
			t.Error("a retry past its objective was not demoted after the usual timeout had changed")
		}
	})
}

// A retry that is presumed late keeps the lowest level if it is admitted over quota: that level is above its own.
func TestRetryPresumedLateStaysLastOverQuota(t *testing.T) {
	set := testSettings()
	set.Plans[1] = Plan{WeightFactor: 1.5, Rate: 2, Burst: 4, OverQuotaWeight: 0.3, CeilingRate: 4, CeilingBurst: 14}
	d := startEngine(t, set, readyBackends(4)...)
	usualOfPlan := &d.engine.clientTimeouts[1]
	*usualOfPlan = clientTimeout{usual: usualTimeout, support: maxTimeoutSupport}
	d.now += 30 // the local tokens refill
	for _, c := range []struct {
		timeout float64
		level   int
	}{
		{usualTimeout, overQuotaLevel},
		{presumedLateLeft, presumedLateLevel},
	} {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Plan: 1, Units: 1, Gateways: 2, Customer: 5, Deadline: d.now + c.timeout})
		out = d.replyToAll(out, func(CounterAdd) float64 { return 1000 }) // other gateways have used up the quota
		if onlyAction[SendAttempt](t, out); d.engine.requests[d.nextID].level != c.level {
			t.Errorf("a request whose client waits %.1f s has level %d, want %d",
				c.timeout, d.engine.requests[d.nextID].level, c.level)
		}
	}
}
