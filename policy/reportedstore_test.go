package policy

import (
	"math"
	"testing"
)

// reportedPair is two gateways of one customer, whose calls a test answers by hand.
func reportedPair(t *testing.T) (ds [2]*drive, totals map[uint64]float64) {
	t.Helper()
	set := testSettings()
	for rank := range ds {
		set.GatewayIndex = rank
		ds[rank] = start(t, set, some(4)...)
	}
	return ds, map[uint64]float64{}
}

// spend has a gateway get requests of a unit and returns the calls that these led to.
func (d *drive) spend(units int) (calls []CounterAdd) {
	for range units {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		for _, s := range find[SendAttempt](out) {
			out = append(out, d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.01, RequestOver: true})...)
		}
		calls = append(calls, find[CounterAdd](out)...)
	}
	return calls
}

func (d *drive) answer(totals map[uint64]float64, c CounterAdd) []CounterAdd {
	totals[c.Name] += c.Amount
	return find[CounterAdd](d.handle(CounterReply{Name: c.Name, Total: totals[c.Name]}))
}

// answerAll answers the calls among actions, and those that come of it, and returns all actions. It ends after a
// thousand, should one call always lead to another.
func (d *drive) answerAll(todo []Action, total func(CounterAdd) float64) (all []Action) {
	for n := 0; n < 1000 && len(todo) > 0; n++ {
		a := todo[0]
		all, todo = append(all, a), todo[1:]
		if c, ok := a.(CounterAdd); ok {
			todo = append(todo, d.handle(CounterReply{Name: c.Name, Total: total(c)})...)
		}
	}
	return all
}

// Two gateways that find the same refill unused both write it off; the second takes its own back, or their
// customer would find an empty store.
func TestRefillIsWrittenOffOnce(t *testing.T) {
	ds, totals := reportedPair(t) // 20 units a second, a burst of 40
	for _, d := range ds {
		d.now += 25 // no window begins meanwhile
	}
	var off [2]CounterAdd
	for i, d := range ds {
		report := one[CounterAdd](t, actions(d.spend(20))) // its own share, told at once
		off[i] = one[CounterAdd](t, actions(d.answer(totals, report)))
		if off[i].Amount <= 0 {
			t.Fatalf("nothing is written off: %v", off[i])
		}
	}
	name, calls := off[0].Name, 0
	for i, d := range ds {
		for todo := []CounterAdd{off[i]}; len(todo) > 0; calls++ {
			todo = append(todo[1:], d.answer(totals, todo[0])...)
		}
	}
	if calls > 4 {
		t.Errorf("%d calls for it", calls)
	}
	floor := ds[0].windowRefill(1)
	if full := totals[name]; math.Abs(full-floor) > 40*(maxReportSlack+0.01) {
		t.Errorf("the counter stands at %.1f, a full store at %.1f", full, floor)
	}
}

// What was spent at the end of a window and could not be told is told in the next one: a customer would else be
// let in that much more each time.
func TestSpendingIsToldInTheNextWindow(t *testing.T) {
	ds, _ := reportedPair(t)
	d := ds[0]
	report := one[CounterAdd](t, actions(d.spend(20)))
	d.handle(CounterReply{Name: report.Name, Outcome: Rejected}) // turned away: nothing was added
	d.now += longWindow
	calls := d.spend(1)
	for range 60 { // the own share is full again, and spent
		if len(calls) > 0 {
			break
		}
		calls = d.spend(1)
	}
	if next := one[CounterAdd](t, actions(calls)); next.Name == report.Name || next.Amount < 20 {
		t.Errorf("the next window's first call is %v, after %v was turned away", next, report)
	}
}

// What is paid by the own share for a request that is never sent is not missing to the others.
func TestWhatIsNeverSentIsTakenOutOfTheNextReport(t *testing.T) {
	ds, _ := reportedPair(t)
	d := ds[0]
	d.g.limiter.limit = 0 // nothing is sent
	for range 5 {
		d.nextID++
		d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		d.handle(ClientDisconnected{Request: d.nextID})
	}
	if owed := d.g.customers.byID[1].unreportedUnits; owed != 0 {
		t.Errorf("%g units would be told", owed)
	}
}

// A request of a customer inside its quota waits for the end of a short dry spell and is then let in; its client would
// be back no sooner. Where the spell lasts longer it is refused at once.
func TestRequestWaitsForTheEndOfADrySpell(t *testing.T) {
	for plan, waits := range []bool{false, true} { // at 2 units a second and at 20
		set := testSettings()
		d := start(t, set, some(4)...)
		d.g.limiter.limit = 1000
		used := func(part float64) float64 { // the total at which so much of the burst is used
			return d.windowRefill(1) + part*set.Plans[plan].Burst
		}
		ask := func() []Action {
			d.nextID++
			return d.handle(Request{ID: d.nextID, Plan: plan, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		}
		var out []Action
		for sent := -1; sent < len(find[SendAttempt](out)); out = append(out, ask()...) { // its own share pays
			sent = len(find[SendAttempt](out))
		}
		answer := func(out []Action, part float64) []Action {
			return d.answerAll(out, func(c CounterAdd) float64 { return used(part) + c.Amount })
		}
		// What was spent is told, and the request asks; others have used up all there is.
		if refused := len(find[Reject](answer(out, 1))) > 0; refused == waits {
			t.Errorf("plan %d: refused %t while the store is dry", plan, refused)
		}
		if !waits {
			continue
		}
		d.now += 0.2
		if n := len(find[SendAttempt](answer(d.handle(TimerFired{Token: timerMaintenance << 56}), 0))); n != 1 {
			t.Errorf("%d sends after the dry spell, want the request that waited", n)
		}
	}
}

// Where a deployment has no counter, own shares are all there is, and nobody is told.
func TestOwnSharesWithoutACounterMakeNoCalls(t *testing.T) {
	set := testSettings()
	set.Counter = false
	d := start(t, set, some(4)...)
	if calls := d.spend(60); len(calls) > 0 {
		t.Errorf("calls without a counter: %v", calls)
	}
}

// windowRefill returns the refill of a customer's present window, as of the last event.
func (d *drive) windowRefill(id CustomerID) float64 {
	c := d.g.customers.byID[id]
	c.enterWindow(d.g.now)
	return c.windowRefill(d.g.now)
}

func actions(calls []CounterAdd) (out []Action) {
	for _, c := range calls {
		out = append(out, c)
	}
	return out
}
