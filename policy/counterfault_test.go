package policy

import (
	"math"
	"testing"
)

func TestTimedOutCallGrantsNothingBeyondLocalTokens(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	sent, rejected := 0, 0
	for i := range 10 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 2, Customer: 5, Deadline: d.now + 2})
		for _, call := range actionsOf[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: call.Name, Outcome: TimedOut})...)
		}
		for _, attempt := range actionsOf[SendAttempt](out) {
			sent++
			d.handle(AttemptEnded{Request: attempt.Request, Backend: attempt.Backend, Latency: 0.01, RequestOver: true})
		}
		rejected += len(actionsOf[Reject](out))
	}
	if sent != 2 || rejected != 0 {
		t.Errorf("sent %d and rejected %d at once, want burst/gateways = 2 sent and the rest waiting for the counter",
			sent, rejected)
	}
	d.now += 0.79
	for i := range 10 {
		rejected += len(actionsOf[Reject](d.handle(timerFired(answerDeadlineTimer, RequestID(i+1)))))
	}
	if rejected != 8 {
		t.Errorf("sent %d and rejected %d, want burst/gateways = 2 sent and 8 rejected", sent, rejected)
	}
}

func TestFailingCounterGetsFewerCalls(t *testing.T) {
	calls := func(outcome Outcome) int {
		d := startEngine(t, testSettings(), readyBackends(8)...)
		n := 0
		for i := range 400 {
			d.now += 0.01
			out := d.handle(Request{ID: RequestID(i + 1), Units: 3, Gateways: 2, Customer: CustomerID(i), Deadline: d.now + 2})
			for _, call := range actionsOf[CounterAdd](out) {
				n++
				d.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: call.Amount})
			}
		}
		return n
	}
	healthy, failing := calls(Served), calls(TimedOut)
	if healthy < 400 || failing > healthy/2 || failing == 0 {
		t.Errorf("%d calls to a counter that replies, %d to a counter that does not reply", healthy, failing)
	}
}

// A malformed reply is no sign of overload. The gateway must call the counter again at once, and this call must take
// back the units that were added and not granted. Calls must become rare if all replies are malformed.
func TestUnitsAddedWithAMalformedReplyAreTakenBack(t *testing.T) {
	d := startEngine(t, smallBurstSettings(), readyBackends(2)...)
	first := onlyAction[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 2, Gateways: 2, Deadline: d.now + 2}))
	second := onlyAction[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Outcome: Failed}))
	total := first.Amount + second.Amount
	out := d.handle(CounterReply{Name: second.Name, Total: total})
	onlyAction[SendAttempt](t, out)
	for _, correction := range actionsOf[CounterAdd](out) {
		total += correction.Amount
	}
	refill := d.windowRefill(1)
	if leased := d.engine.customers.byID[1].lease.units + 1; math.Abs(total-refill-leased) > 1 {
		t.Errorf("the total exceeds by %.1f the refill of %.1f, but %.1f units were leased", total-refill, refill, leased)
	}
	if d.engine.counter.failureRate > 0 {
		t.Errorf("the failure rate is %v, want 0: a malformed reply is no sign of overload", d.engine.counter.failureRate)
	}
	calls := 0
	for i := range 200 {
		out := d.handle(Request{ID: RequestID(i + 2), Plan: 1, Customer: 2, Units: 2, Gateways: 2, Deadline: d.now + 2})
		for len(actionsOf[CounterAdd](out)) > 0 {
			call := onlyAction[CounterAdd](t, out)
			out = d.handle(CounterReply{Name: call.Name, Outcome: Failed})
			calls++
		}
		d.now += 0.01
	}
	if calls < 3 || calls > 10 {
		t.Errorf("%d calls in 2 s to a counter whose replies are all malformed, want 3 to 10", calls)
	}
}

// If the counter rejects a call, a later call must report or take back the same units.
func TestRejectedCallIsReportedLater(t *testing.T) {
	d := startEngine(t, refillingWindowSettings(), readyBackends(2)...)
	first := onlyAction[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	// Another gateway has called first in this window, so the total includes the overflow twice. This gateway takes back
	// the overflow that it has added.
	correction := onlyAction[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Total: 2*first.Amount + 1}))
	if correction.Amount > -1 {
		t.Fatalf("the call takes nothing back: %v", correction)
	}
	d.handle(CounterReply{Name: correction.Name, Outcome: Rejected})
	d.now += maxCounterBackoff
	again := onlyAction[CounterAdd](t, d.handle(timerFired(maintenanceTimer, 0)))
	if again.Amount != correction.Amount || again.Name != correction.Name {
		t.Errorf("%v was rejected, and the later call is %v, want the same name and amount", correction, again)
	}
	if more := d.handle(CounterReply{Name: again.Name}); len(actionsOf[CounterAdd](more)) > 0 {
		t.Errorf("the units were sent twice: %v", more)
	}
}

func TestRequestOfManyGatewaysIsNotHeldForAnOverloadedCounter(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(4)...)
	for i := range 3 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 100, Customer: 5, Deadline: d.now + 2})
		for _, call := range actionsOf[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: call.Name, Outcome: TimedOut})...)
		}
		if i == 0 {
			onlyAction[SendAttempt](t, out) // admitted by local tokens
		} else {
			onlyAction[Reject](t, out)
		}
	}
}

// overloadedCallShares sends requests of two kinds in turn, each from a new customer whose gateway set has the given
// number of gateways. Every tenth counter call times out. For each kind, it returns the share of requests that led to a
// call. It counts only the second half of the run, since the gateway first has to measure the failure rate. If
// maintenance is false, the gateway does not measure the arrival rates of the levels.
func overloadedCallShares(d *engineDriver, gateways int, maintenance bool, requestOf func(kind int) Request) (shares [2]float64) {
	var requests, called [2]int
	calls := 0
	for i := range 4000 {
		d.now += 0.002
		if maintenance && i%20 == 0 {
			d.handle(timerFired(maintenanceTimer, 0))
		}
		kind := i % 2
		request := requestOf(kind)
		request.ID = RequestID(i + 1)
		request.Customer = CustomerID(i)
		request.Units = 1
		request.Gateways = gateways
		request.Deadline = d.now + 2
		out := d.handle(request)
		made := actionsOf[CounterAdd](out)
		for _, call := range made {
			calls++
			reply := CounterReply{Name: call.Name, Total: call.Amount}
			if calls%10 == 0 {
				reply.Outcome = TimedOut
			}
			out = append(out, d.handle(reply)...)
		}
		for _, attempt := range actionsOf[SendAttempt](out) {
			d.handle(AttemptEnded{Request: attempt.Request, Backend: attempt.Backend, Outcome: Served, Latency: 0.01})
		}
		if i >= 2000 {
			requests[kind]++
			called[kind] += min(len(made), 1)
		}
	}
	for kind := range shares {
		shares[kind] = float64(called[kind]) / float64(requests[kind])
	}
	return shares
}

// A client that was rejected because its quota is exhausted retries at another gateway. That gateway does not know that
// the quota is exhausted, and calls the counter. In an overload, calls for retries must therefore be shed before calls
// for first requests.
func TestOverloadShedsCallsForRetriesFirst(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(30)...)
	shares := overloadedCallShares(d, 50, false, func(kind int) Request { return Request{IsRetry: kind == 1} })
	first, retry := shares[0], shares[1]
	if first < 0.9 || retry > 0.5 || retry == 0 {
		t.Errorf("calls for %.2f of the first requests and %.2f of the retries, want >= 0.9 and > 0 but <= 0.5",
			first, retry)
	}
}

func TestOverloadShedsCallsForTheLowestLevelFirst(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(30)...)
	shares := overloadedCallShares(d, 300, true, func(kind int) Request { return Request{Plan: kind} })
	low, top := shares[0], shares[1]
	if top < 0.9 || low > 0.6 || low == 0 {
		t.Errorf("calls for %.2f of the top level's requests and %.2f of the low level's, want >= 0.9 and > 0 but <= 0.6",
			top, low)
	}
}

// In a large gateway set, each gateway's part of a customer's burst is less than a unit. If the counter rejects calls,
// the gateways together must admit about the burst, and not one unit at each gateway. If the counter does not reply,
// each gateway admits one unit.
func TestRejectedCallsAdmitAboutTheBurst(t *testing.T) {
	const gateways = 300
	set := testSettings()
	set.FleetSize = gateways
	firstRequest := func(index int) (*Engine, []Action) {
		set.GatewayIndex = index
		g, _ := New(set, splitMix64(uint64(index)), 100, nil)
		g.Handle(100, EndpointsUpdated{Kind: CachedList, Entries: readyBackends(4)}, nil)
		return g, g.Handle(100, Request{ID: 1, Units: 1, Gateways: gateways, Customer: 5, Deadline: 102}, nil)
	}
	for _, test := range []struct {
		name     string
		outcome  Outcome
		min, max int
	}{
		{"rejected", Rejected, 1, 12},
		{"timed out", TimedOut, gateways, gateways},
	} {
		t.Run(test.name, func(t *testing.T) {
			admitted := 0
			for index := range gateways {
				g, out := firstRequest(index)
				reply := CounterReply{Name: onlyAction[CounterAdd](t, out).Name, Outcome: test.outcome}
				admitted += len(actionsOf[SendAttempt](g.Handle(100, reply, nil)))
			}
			if admitted < test.min || admitted > test.max {
				t.Errorf("%d gateways admitted a request, want %d to %d for a burst of %g",
					admitted, test.min, test.max, set.Plans[0].Burst)
			}
		})
	}
	t.Run("no counter", func(t *testing.T) { // only local tokens admit requests
		set.HasCounter = false
		for index := range gateways {
			_, out := firstRequest(index)
			onlyAction[SendAttempt](t, out)
		}
	})
}
