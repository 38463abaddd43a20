package policy

import "testing"

// Once a client has left, whatever its request was waiting for may still come: no
// attempt begins for it, neither a first nor a further one nor a second copy.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	late := func(n int, id RequestID) Event {
		return TimerFired{Token: timerToken{kind: slowAttemptTimer, attempt: n, request: id}.pack()}
	}
	ends := func(outcome Outcome) func(*drive, RequestID, SendAttempt) []Event {
		return func(d *drive, id RequestID, first SendAttempt) []Event {
			return []Event{AttemptEnded{Request: id, Backend: first.Backend, Outcome: outcome, Latency: 0.05}}
		}
	}
	for name, comes := range map[string]func(d *drive, id RequestID, first SendAttempt) []Event{
		"turned away": ends(Rejected), "no connection": ends(ConnectFailed), "never sent": ends(NotSent), "broken": ends(ConnectionReset),
		"failed": ends(Failed), "timed out": ends(TimedOut), "cancelled": ends(Cancelled),
		"late": func(_ *drive, id RequestID, _ SendAttempt) []Event { return []Event{late(0, id)} },
		"late, then turned away": func(_ *drive, id RequestID, s SendAttempt) []Event {
			return []Event{late(0, id), AttemptEnded{Request: id, Backend: s.Backend, Outcome: Rejected}}
		},
		"its time to start is over": func(_ *drive, id RequestID, _ SendAttempt) []Event {
			return []Event{timerFired(sendDeadlineTimer, id), timerFired(answerDeadlineTimer, id)}
		},
		"its backend is gone": func(*drive, RequestID, SendAttempt) []Event {
			return []Event{EndpointsUpdated{Kind: FullList, Entries: some(3)}, timerFired(maintenanceTimer, 0)}
		},
	} {
		for _, mayCancel := range []bool{true, false} {
			set := testSettings()
			set.CanCancel = mayCancel
			d := start(t, set, some(6)...)
			seen := d.ask(0, 1, 1) // so that a usual latency is known
			d.now += 0.02
			d.handle(AttemptEnded{Request: seen, Backend: one[SendAttempt](t, d.last).Backend, Latency: 0.02, RequestOver: true})
			id := d.ask(0, 1, 1)
			first := one[SendAttempt](t, d.last)
			d.now += 0.1
			d.handle(ClientDisconnected{Request: id})
			for _, ev := range comes(d, id, first) {
				d.now += 0.1
				if sends := find[SendAttempt](d.handle(ev)); len(sends) > 0 {
					t.Errorf("%s, cancel %t: %v after the client had left", name, mayCancel, sends)
				}
			}
		}
	}
}

// The same holds for what waits for its units, and for a place under the bound.
func TestNothingIsSentForAHeldClientThatHasLeft(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	d.nextID++
	asks := one[CounterAdd](t, d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 30, Gateways: 2, Deadline: d.now + 2}))
	d.handle(ClientDisconnected{Request: d.nextID})
	if sends := find[SendAttempt](d.handle(CounterReply{Name: asks.Name, Total: asks.Amount})); len(sends) > 0 {
		t.Errorf("%v for a client that left before its units came", sends)
	}

	d = start(t, testSettings(), some(2)...)
	d.g.limiter.limit = 3
	var out []SendAttempt
	var held RequestID
	for who := CustomerID(1); held == 0; who++ {
		id := d.ask(0, 1, who)
		if sends := find[SendAttempt](d.last); len(sends) > 0 {
			out = append(out, sends...)
		} else if held = id; d.g.openRequest(id) == nil {
			t.Fatal("refused, not held")
		}
	}
	d.now += 0.05
	d.handle(ClientDisconnected{Request: held})
	for _, s := range out {
		if sends := find[SendAttempt](d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.05, RequestOver: true})); len(sends) > 0 {
			t.Errorf("%v for a client that left while it was held", sends)
		}
	}
}
