package policy

import "testing"

func TestRequestsBeyondQuotaAreRejectedUntilTheWindowEnds(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	out := d.handle(Request{ID: 1, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
	call := onlyAction[CounterAdd](t, out)
	// Other gateways have used the window up.
	out = d.handle(CounterReply{Name: call.Name, Total: 100})
	if r := onlyAction[Reject](t, out); r.RetryAfter < 0 || r.RetryAfter > 0.5 {
		t.Errorf("Retry-After %v, want MaxRetryAfter at most", r.RetryAfter)
	}
	if n := len(actionsOf[CounterAdd](out)); n > 0 {
		t.Errorf("%d more calls for a window that is used up", n)
	}
	calledForNext := false
	for range 40 { // a window is a few seconds long
		d.now += 0.1
		d.nextID += 10
		out = d.handle(Request{ID: d.nextID, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
		if calls := actionsOf[CounterAdd](out); len(calls) == 1 && calls[0].Name != call.Name {
			calledForNext = true
			break
		} else if len(calls) > 0 {
			t.Fatal("called again for a window that is used up")
		}
	}
	if !calledForNext {
		t.Error("no call for the next window")
	}
}

// A total that is far too high, since another gateway has yet to take something back, must not make a customer's
// store count as exhausted for longer than it takes to earn some units.
func TestExhaustedBucketIsSoonCalledForAgain(t *testing.T) {
	d := startEngine(t, exactSettings(), readyBackends(2)...)
	first := onlyAction[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	out := d.handle(CounterReply{Name: first.Name, Total: first.Amount + 1000})
	onlyAction[Reject](t, out)
	d.handle(CounterReply{Name: onlyAction[CounterAdd](t, out).Name, Total: 1000}) // its own double write-off
	d.now += (maxRefillWait + 0.1) / d.engine.settings.Plans[1].Rate
	next := onlyAction[CounterAdd](t, d.handle(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	full := d.windowRefill(1) // what was too much has been taken back, and the store is full
	onlyAction[SendAttempt](t, d.handle(CounterReply{Name: next.Name, Total: full + next.Amount}))
}

func TestLeaseForRareRequestsPrefetchesNothing(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(4)...)
	for i := range 20 { // a customer seen once in ten seconds at this gateway
		d.now += 10
		out := d.handle(Request{ID: RequestID(i + 1), Plan: 1, Units: 1, Gateways: 300, Customer: 5, Deadline: d.now + 2})
		if call := onlyAction[CounterAdd](t, out); call.Amount != 1 {
			t.Fatalf("took %v units for one request", call.Amount)
		}
		for _, s := range actionsOf[SendAttempt](d.grantCounterCalls(out)) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true})
		}
	}
}
