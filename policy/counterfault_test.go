package policy

import (
	"math"
	"testing"
)

func TestUnansweredCallGrantsNothingAndTheLocalShareHolds(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	sent, refused := 0, 0
	for i := range 10 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 2, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		for _, a := range find[SendAttempt](out) {
			sent++
			d.handle(AttemptEnded{Request: a.Request, Backend: a.Backend, Latency: 0.01, RequestOver: true})
		}
		refused += len(find[Reject](out))
	}
	if sent != 2 || refused != 0 {
		t.Errorf("sent %d and refused %d at once, want burst/gateways = 2, the rest held for the counter", sent, refused)
	}
	d.now += 0.79
	for i := range 10 {
		refused += len(find[Reject](d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(i+1)})))
	}
	if refused != 8 {
		t.Errorf("sent %d and refused %d, want burst/gateways = 2 and 8", sent, refused)
	}
}

func TestCallsThinOutWhenTheCounterFails(t *testing.T) {
	calls := func(how Outcome) int {
		d := start(t, testSettings(), some(8)...)
		n := 0
		for i := range 400 {
			d.now += 0.01
			out := d.handle(Request{ID: RequestID(i + 1), Units: 3, Gateways: 2, Customer: CustomerID(i), Deadline: d.now + 2})
			for _, c := range find[CounterAdd](out) {
				n++
				d.handle(CounterReply{Name: c.Name, Outcome: how, Total: c.Amount})
			}
		}
		return n
	}
	well, down := calls(Served), calls(TimedOut)
	if well < 400 || down > well/2 || down == 0 {
		t.Errorf("%d calls to a counter that answers, %d to one that does not", well, down)
	}
}

// A spoilt answer is no sign of a crowd: the customer is asked for again at once, and what was added without
// a grant is taken back with it. Only when all answers are spoilt do calls become rare.
func TestSpoiltAnswerIsTakenBack(t *testing.T) {
	d := start(t, seldomSettings(), some(2)...)
	first := one[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 2, Gateways: 2, Deadline: d.now + 2}))
	second := one[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Outcome: Failed}))
	total := first.Amount + second.Amount
	out := d.handle(CounterReply{Name: second.Name, Total: total})
	one[SendAttempt](t, out)
	for _, back := range find[CounterAdd](out) {
		total += back.Amount
	}
	window := d.windowRefill(1)
	if lent := d.g.customers.byID[1].lease.units + 1; math.Abs(total-window-lent) > 1 {
		t.Errorf("the counter holds %.1f beyond the refill of %.1f, but %.1f were lent", total-window, window, lent)
	}
	if d.g.counter.failureRate > 0 {
		t.Errorf("a crowd of %v was seen", d.g.counter.failureRate)
	}
	calls := 0
	for i := range 200 {
		out := d.handle(Request{ID: RequestID(i + 2), Plan: 1, Customer: 2, Units: 2, Gateways: 2, Deadline: d.now + 2})
		for n := 0; len(find[CounterAdd](out)) > 0; n++ {
			call := one[CounterAdd](t, out)
			out = d.handle(CounterReply{Name: call.Name, Outcome: Failed})
			calls++
		}
		d.now += 0.01
	}
	if calls < 3 || calls > 10 {
		t.Errorf("%d calls in 2 s to a counter whose every answer is spoilt", calls)
	}
}

// A call that was turned away is lost to nobody: what it told or took back goes out with a later one.
func TestTurnedAwayCallIsToldLater(t *testing.T) {
	d := start(t, exactSettings(), some(2)...)
	first := one[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	// Another gateway has begun the window: what this one wrote off is there twice and is taken back.
	back := one[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Total: 2*first.Amount + 1}))
	if back.Amount > -1 {
		t.Fatalf("nothing was taken back: %v", back)
	}
	d.handle(CounterReply{Name: back.Name, Outcome: Rejected})
	d.now += maxCounterBackoff
	again := one[CounterAdd](t, d.handle(TimerFired{Token: timerMaintenance << 56}))
	if again.Amount != back.Amount || again.Name != back.Name {
		t.Errorf("%v was turned away, told later: %v", back, again)
	}
	if more := d.handle(CounterReply{Name: again.Name}); len(find[CounterAdd](more)) > 0 {
		t.Errorf("told again: %v", more)
	}
}

func TestRequestIsNotHeldForACrowdedCounter(t *testing.T) {
	d := start(t, testSettings(), some(4)...)
	for i := range 3 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 100, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		if i == 0 {
			one[SendAttempt](t, out) // the share of this gateway
		} else {
			one[Reject](t, out)
		}
	}
}

// A client refused for a used-up quota comes again at a gateway that has not heard of it; in a crowd, its
// calls make room for those of first tries.
func TestCrowdLeavesOutCallsForRepeatsFirst(t *testing.T) {
	d := start(t, testSettings(), some(30)...)
	tries, asked, calls := [2]int{}, [2]int{}, 0
	for i := range 4000 {
		d.now += 0.002
		repeat := i % 2
		out := d.handle(Request{ID: RequestID(i + 1), Customer: CustomerID(i), Units: 1, Gateways: 50,
			Deadline: d.now + 2, IsRetry: repeat == 1})
		made := find[CounterAdd](out)
		for _, c := range made {
			reply := CounterReply{Name: c.Name, Total: c.Amount}
			if calls++; calls%10 == 0 {
				reply.Outcome = TimedOut // the counter bears nine in ten
			}
			out = append(out, d.handle(reply)...)
		}
		for _, s := range find[SendAttempt](out) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.01})
		}
		if i >= 2000 {
			tries[repeat]++
			asked[repeat] += min(len(made), 1)
		}
	}
	first, again := float64(asked[0])/float64(tries[0]), float64(asked[1])/float64(tries[1])
	if first < 0.9 || again > 0.5 || again == 0 {
		t.Errorf("calls for %.2f of the first tries and %.2f of the repeats, want nearly all and a few", first, again)
	}
}

func TestCrowdLeavesOutCallsForTheLowestLevelFirst(t *testing.T) {
	d := start(t, testSettings(), some(30)...)
	tries, asked, calls := [2]int{}, [2]int{}, 0
	for i := range 4000 {
		d.now += 0.002
		if i%20 == 0 {
			d.handle(TimerFired{Token: timerMaintenance << 56})
		}
		plan := i % 2
		out := d.handle(Request{ID: RequestID(i + 1), Plan: plan, Customer: CustomerID(i), Units: 1, Gateways: 300,
			Deadline: d.now + 2})
		made := find[CounterAdd](out)
		for _, c := range made {
			reply := CounterReply{Name: c.Name, Total: c.Amount}
			if calls++; calls%10 == 0 {
				reply.Outcome = TimedOut
			}
			out = append(out, d.handle(reply)...)
		}
		for _, s := range find[SendAttempt](out) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.01})
		}
		if i >= 2000 {
			tries[plan]++
			asked[plan] += min(len(made), 1)
		}
	}
	low, top := float64(asked[0])/float64(tries[0]), float64(asked[1])/float64(tries[1])
	if top < 0.9 || low > 0.6 || low == 0 {
		t.Errorf("calls for %.2f of the tries of the top level and %.2f of the low one, want nearly all and a part", top, low)
	}
}

// Of many gateways, each has less than a unit of a customer's burst for itself.
// While the counter turns calls away they let in about the burst together, and not a
// unit each; while it says nothing at all, a customer is not kept out for it.
func TestTurnedAwayCallsLetInAboutTheBurst(t *testing.T) {
	const gateways = 300
	set := testSettings()
	set.FleetSize = gateways
	for outcome, want := range map[Outcome][2]int{Rejected: {1, 12}, TimedOut: {gateways, gateways}} {
		let := 0
		for i := range gateways {
			set.GatewayIndex = i
			g, _ := New(set, splitMix64(uint64(i)), 100, nil)
			g.Handle(100, EndpointsUpdated{Kind: CachedList, Entries: some(4)}, nil)
			out := g.Handle(100, Request{ID: 1, Units: 1, Gateways: gateways, Customer: 5, Deadline: 102}, nil)
			let += len(find[SendAttempt](g.Handle(100, CounterReply{Name: one[CounterAdd](t, out).Name, Outcome: outcome}, nil)))
		}
		if let < want[0] || let > want[1] {
			t.Errorf("outcome %d: %d gateways let one in, want %d to %d for a burst of %g", outcome, let, want[0], want[1], set.Plans[0].Burst)
		}
	}
	set.Counter = false // then a gateway's own share is all there is
	for i := range gateways {
		g, _ := New(set, splitMix64(uint64(i)), 100, nil)
		g.Handle(100, EndpointsUpdated{Kind: CachedList, Entries: some(4)}, nil)
		one[SendAttempt](t, g.Handle(100, Request{ID: 1, Units: 1, Gateways: gateways, Customer: 5, Deadline: 102}, nil))
	}
}
