package policy

import "testing"

func TestRequestsOverQuotaAreRejectedUntilTheWindowEnds(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	out := d.handle(Request{ID: 1, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
	call := onlyAction[CounterAdd](t, out)
	// Other gateways have used up the units of the window.
	out = d.handle(CounterReply{Name: call.Name, Total: 100})
	if r := onlyAction[Reject](t, out); r.RetryAfter < 0 || r.RetryAfter > 0.5 {
		t.Errorf("Retry-After %v, want MaxRetryAfter at most", r.RetryAfter)
	}
	if n := len(actionsOf[CounterAdd](out)); n > 0 {
		t.Errorf("%d more calls for an exhausted window", n)
	}
	calledForNext := false
	for range 40 { // 4 s; a window takes Burst/Rate = 2 s
		d.now += 0.1
		d.nextID += 10
		out = d.handle(Request{ID: d.nextID, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
		if calls := actionsOf[CounterAdd](out); len(calls) == 1 && calls[0].Name != call.Name {
			calledForNext = true
			break
		} else if len(calls) > 0 {
			t.Fatal("called again for an exhausted window")
		}
	}
	if !calledForNext {
		t.Error("no call for the next window")
	}
}

// A total may be far too high for a moment, until another gateway takes back units that it has added. The shared bucket
// must then count as exhausted only until it has earned the units of a few requests.
func TestExhaustedBucketIsSoonCalledForAgain(t *testing.T) {
	d := startEngine(t, refillingWindowSettings(), readyBackends(2)...)
	first := onlyAction[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	out := d.handle(CounterReply{Name: first.Name, Total: first.Amount + 1000}) // another gateway has added 1000 units
	onlyAction[Reject](t, out)
	// This gateway's correction takes back the amount of its first call. The other gateway's 1000 units remain.
	d.handle(CounterReply{Name: onlyAction[CounterAdd](t, out).Name, Total: 1000})
	d.now += (maxRefillWaitRequests + 0.1) / d.engine.settings.Plans[1].Rate
	next := onlyAction[CounterAdd](t, d.handle(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	full := d.windowRefill(1) // total of a full bucket; the other gateway has taken back its units
	onlyAction[SendAttempt](t, d.handle(CounterReply{Name: next.Name, Total: full + next.Amount}))
}

func TestLeaseForRareRequestsPrefetchesNothing(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(4)...)
	for i := range 20 { // one request in ten seconds at this gateway
		d.now += 10
		out := d.handle(Request{ID: RequestID(i + 1), Plan: 1, Units: 1, Gateways: 300, Customer: 5, Deadline: d.now + 2})
		if call := onlyAction[CounterAdd](t, out); call.Amount != 1 {
			t.Fatalf("leased %v units for one request, want 1", call.Amount)
		}
		for _, s := range actionsOf[SendAttempt](d.grantCounterCalls(out)) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true})
		}
	}
}
