package policy

import "testing"

// Once a client has left, whatever its request was waiting for may still come: no
// attempt begins for it, neither a first nor a further one nor a second copy.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	late := func(n int, id RequestID) Event {
		return Timer{Token: timerLate<<56 | uint64(n)<<32 | uint64(id)}
	}
	ends := func(outcome Outcome) func(*drive, RequestID, Send) []Event {
		return func(d *drive, id RequestID, first Send) []Event {
			return []Event{AttemptEnd{Request: id, Backend: first.Backend, Outcome: outcome, Took: 0.05}}
		}
	}
	for name, comes := range map[string]func(d *drive, id RequestID, first Send) []Event{
		"turned away": ends(Full), "no connection": ends(ConnectFailed), "never sent": ends(Moot), "broken": ends(Broken),
		"failed": ends(Errored), "timed out": ends(TimedOut), "cancelled": ends(Cancelled),
		"late": func(_ *drive, id RequestID, _ Send) []Event { return []Event{late(0, id)} },
		"late, then turned away": func(_ *drive, id RequestID, s Send) []Event {
			return []Event{late(0, id), AttemptEnd{Request: id, Backend: s.Backend, Outcome: Full}}
		},
		"its time to start is over": func(_ *drive, id RequestID, _ Send) []Event {
			return []Event{Timer{Token: timerStart<<56 | uint64(id)}, Timer{Token: timerEnd<<56 | uint64(id)}}
		},
		"its backend is gone": func(*drive, RequestID, Send) []Event {
			return []Event{Backends{Kind: FullList, Entries: some(3)}, Timer{Token: timerMaintain << 56}}
		},
	} {
		for _, mayCancel := range []bool{true, false} {
			set := testSettings()
			set.CanCancel = mayCancel
			d := start(t, set, some(6)...)
			seen := d.ask(0, 1, 1) // so that a usual latency is known
			d.now += 0.02
			d.handle(AttemptEnd{Request: seen, Backend: one[Send](t, d.last).Backend, Took: 0.02, Done: true})
			id := d.ask(0, 1, 1)
			first := one[Send](t, d.last)
			d.now += 0.1
			d.handle(ClientGone{Request: id})
			for _, ev := range comes(d, id, first) {
				d.now += 0.1
				if sends := find[Send](d.handle(ev)); len(sends) > 0 {
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
	asks := one[Count](t, d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 30, Gateways: 2, Deadline: d.now + 2}))
	d.handle(ClientGone{Request: d.nextID})
	if sends := find[Send](d.handle(CounterReply{Name: asks.Name, Total: asks.Amount})); len(sends) > 0 {
		t.Errorf("%v for a client that left before its units came", sends)
	}

	d = start(t, testSettings(), some(2)...)
	d.g.bound = 3
	var out []Send
	var held RequestID
	for who := CustomerID(1); held == 0; who++ {
		id := d.ask(0, 1, who)
		if sends := find[Send](d.last); len(sends) > 0 {
			out = append(out, sends...)
		} else if held = id; d.g.live(id) == nil {
			t.Fatal("refused, not held")
		}
	}
	d.now += 0.05
	d.handle(ClientGone{Request: held})
	for _, s := range out {
		if sends := find[Send](d.handle(AttemptEnd{Request: s.Request, Backend: s.Backend, Took: 0.05, Done: true})); len(sends) > 0 {
			t.Errorf("%v for a client that left while it was held", sends)
		}
	}
}
