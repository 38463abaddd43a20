package policy

import (
	"math"
	"testing"
)

// startDeferredPair starts the two gateways of a customer under deferred reporting. It returns the gateways and an
// empty map for the counter's totals by name. The test has to reply to the counter calls.
func startDeferredPair(t *testing.T) (gateways [2]*engineDriver, totals map[uint64]float64) {
	t.Helper()
	set := testSettings()
	for index := range gateways {
		set.GatewayIndex = index
		gateways[index] = startEngine(t, set, readyBackends(4)...)
	}
	return gateways, map[uint64]float64{}
}

// spend sends the given number of requests to a gateway, each of one unit, and returns the counter calls that the
// requests led to.
func (d *engineDriver) spend(units int) (calls []CounterAdd) {
	for range units {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		for _, attempt := range actionsOf[SendAttempt](out) {
			end := AttemptEnded{Request: attempt.Request, Backend: attempt.Backend, Latency: 0.01, RequestOver: true}
			out = append(out, d.handle(end)...)
		}
		calls = append(calls, actionsOf[CounterAdd](out)...)
	}
	return calls
}

// replyTo adds a call's amount to the counter's totals, replies to the call, and returns the calls that the reply led
// to.
func (d *engineDriver) replyTo(totals map[uint64]float64, call CounterAdd) []CounterAdd {
	totals[call.Name] += call.Amount
	return actionsOf[CounterAdd](d.handle(CounterReply{Name: call.Name, Total: totals[call.Name]}))
}

// replyToAll replies to the counter calls among the actions and to the further calls that the replies lead to, and
// returns all actions. It stops after a thousand actions, in case each call leads to another call.
func (d *engineDriver) replyToAll(actions []Action, total func(CounterAdd) float64) (all []Action) {
	for n := 0; n < 1000 && len(actions) > 0; n++ {
		action := actions[0]
		actions = actions[1:]
		all = append(all, action)
		if call, ok := action.(CounterAdd); ok {
			actions = append(actions, d.handle(CounterReply{Name: call.Name, Total: total(call)})...)
		}
	}
	return all
}

// windowRefill returns the refill of a customer's present window as of the last event.
func (d *engineDriver) windowRefill(id CustomerID) float64 {
	c := d.engine.customers.byID[id]
	c.enterWindow(d.engine.now)
	return c.windowRefill(d.engine.now)
}

func asActions(calls []CounterAdd) (actions []Action) {
	for _, call := range calls {
		actions = append(actions, call)
	}
	return actions
}

// Two gateways that find the same overflow both add it to the total. The gateway that called second must take back the
// overflow that it has added. Otherwise the shared bucket would look empty.
func TestOverflowIsDiscardedOnce(t *testing.T) {
	gateways, totals := startDeferredPair(t) // plan 1: 20 units a second, a burst of 40
	for _, d := range gateways {
		d.now += 25 // no new window begins in these 25 s
	}
	var corrections [2]CounterAdd
	for i, d := range gateways {
		report := onlyAction[CounterAdd](t, asActions(d.spend(20))) // uses up the local tokens, which leads to a report
		corrections[i] = onlyAction[CounterAdd](t, asActions(d.replyTo(totals, report)))
		if corrections[i].Amount <= 0 {
			t.Fatalf("no overflow is added: %v", corrections[i])
		}
	}
	name, calls := corrections[0].Name, 0
	for i, d := range gateways {
		for pending := []CounterAdd{corrections[i]}; len(pending) > 0; calls++ {
			pending = append(pending[1:], d.replyTo(totals, pending[0])...)
		}
	}
	if calls > 4 {
		t.Errorf("%d calls, want 4 at most", calls)
	}
	refill := gateways[0].windowRefill(1)
	if total := totals[name]; math.Abs(total-refill) > 40*(maxReportLagShare+0.01) {
		t.Errorf("the total is %.1f, want about %.1f, that of a full bucket", total, refill)
	}
}

// Units that were spent at the end of a window and could not be reported must be reported in the next window. Otherwise
// the customer would get these units in addition to its quota.
func TestUnreportedUnitsAreReportedInTheNextWindow(t *testing.T) {
	gateways, _ := startDeferredPair(t)
	d := gateways[0]
	report := onlyAction[CounterAdd](t, asActions(d.spend(20)))
	d.handle(CounterReply{Name: report.Name, Outcome: Rejected}) // nothing was added
	d.now += refillingWindowDuration
	calls := d.spend(1)
	for range 60 { // spend the local tokens, which have refilled, until the gateway makes a call
		if len(calls) > 0 {
			break
		}
		calls = d.spend(1)
	}
	if next := onlyAction[CounterAdd](t, asActions(calls)); next.Name == report.Name || next.Amount < 20 {
		t.Errorf("the next window's first call is %v, want the units of %v, which was rejected", next, report)
	}
}

// A request that is never sent must not be reported, or its units would be missing at the other gateways.
func TestUnitsOfAnUnsentRequestAreNotReported(t *testing.T) {
	gateways, _ := startDeferredPair(t)
	d := gateways[0]
	d.engine.limiter.limit = 0 // nothing is sent
	for range 5 {
		d.nextID++
		d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		d.handle(ClientDisconnected{Request: d.nextID})
	}
	if units := d.engine.customers.byID[1].unreportedUnits; units != 0 {
		t.Errorf("%g units would be reported, want 0", units)
	}
}

// If an exhausted bucket refills soon, a request of a customer within its quota must wait for the refill and then be
// admitted, since a rejected client would retry only after the refill. If the refill takes longer, the request must be
// rejected at once.
func TestRequestWaitsForABucketThatRefillsSoon(t *testing.T) {
	for _, test := range []struct {
		name  string
		plan  int
		waits bool
	}{
		{name: "2 units a second", plan: 0, waits: false},
		{name: "20 units a second", plan: 1, waits: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := testSettings()
			d := startEngine(t, set, readyBackends(4)...)
			d.engine.limiter.limit = 1000
			request := func() []Action {
				d.nextID++
				return d.handle(Request{ID: d.nextID, Plan: test.plan, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
			}
			var out []Action
			// Spend all local tokens.
			for sent := -1; sent < len(actionsOf[SendAttempt](out)); out = append(out, request()...) {
				sent = len(actionsOf[SendAttempt](out))
			}
			// reply replies to all calls with the total at which the given share of the burst is used.
			reply := func(out []Action, used float64) []Action {
				return d.replyToAll(out, func(call CounterAdd) float64 {
					return d.windowRefill(1) + used*set.Plans[test.plan].Burst + call.Amount
				})
			}
			// The gateway reports the spent units, and the last request needs a lease. Other gateways have used up the burst.
			if rejected := len(actionsOf[Reject](reply(out, 1))) > 0; rejected == test.waits {
				t.Errorf("rejected %t while the bucket is exhausted", rejected)
			}
			if !test.waits {
				return
			}
			d.now += 0.2
			if n := len(actionsOf[SendAttempt](reply(d.handle(timerFired(maintenanceTimer, 0)), 0))); n != 1 {
				t.Errorf("%d requests sent after the bucket has refilled, want the one that waited", n)
			}
		})
	}
}

// Without a counter, only local tokens may admit requests, and the gateway must make no counter calls.
func TestLocalTokensWithoutACounterMakeNoCalls(t *testing.T) {
	set := testSettings()
	set.HasCounter = false
	d := startEngine(t, set, readyBackends(4)...)
	if calls := d.spend(60); len(calls) > 0 {
		t.Errorf("calls without a counter: %v", calls)
	}
}
