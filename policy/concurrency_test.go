package policy

import "testing"

// All gateways of a customer together hold its limit on attempts out at once without a call for it: a few
// dozen of them asking for places would crowd the counter.
func TestPlacesOfFewGatewaysAreHeldWithoutCalls(t *testing.T) {
	set := testSettings()
	set.FleetSize, set.Plans[0] = 80, Plan{WeightFactor: 1, MaxConcurrent: 3}
	var ds []*drive
	for rank := range 4 {
		set.GatewayIndex = (78 + rank) % 80 // the customer's set is 78, 79, 0, 1
		ds = append(ds, start(t, set, some(60)...))
	}
	sent, refused, id := []SendAttempt{}, 0, RequestID(0)
	for round := range 3 {
		for _, d := range ds {
			id++
			out := d.handle(Request{ID: id, Units: 1, FirstGateway: 78, Gateways: 4, Customer: 5, Deadline: d.now + 2})
			if calls := find[CounterAdd](out); len(calls) > 0 {
				t.Fatalf("calls for places: %v", calls)
			}
			sent = append(sent, find[SendAttempt](out)...)
			for _, r := range find[Reject](out) {
				if refused++; r.RetryAfter <= 0 && round > 0 {
					t.Errorf("refused with no word on when to come back: %+v", r)
				}
			}
		}
		for _, d := range ds {
			d.g.latency.mean = 0.1
		}
	}
	if len(sent) != 3 || refused != 3 {
		t.Fatalf("%d attempts out and %d refused, want the limit of 3, and the 3 at the gateway without a place", len(sent), refused)
	}
	for i, d := range ds[:3] {
		d.now += 0.1
		out := d.handle(AttemptEnded{Request: sent[i].Request, Backend: sent[i].Backend, Outcome: Served, Latency: 0.1})
		one[SendAttempt](t, out) // the place is free for one that was held
	}
}

func TestPlacesWithoutTheCounterSumToTheLimit(t *testing.T) {
	set := testSettings()
	set.Counter, set.FleetSize = false, 5
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	sent := 0
	for rank := range 3 {
		set.GatewayIndex = (4 + rank) % 5 // the customer's set is 4, 0, 1
		d := start(t, set, some(8)...)
		for i := range 3 {
			out := d.handle(Request{ID: RequestID(i + 1), Units: 1, FirstGateway: 4, Gateways: 3, Customer: 5, Deadline: d.now + 2})
			sent += len(find[SendAttempt](out))
		}
	}
	if sent != 2 {
		t.Errorf("%d attempts out of the customer at three gateways, want its limit of 2", sent)
	}
}

func TestPlacesOfManyGatewaysAreKeptAsARate(t *testing.T) {
	set := testSettings()
	set.FleetSize = 100
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	d := start(t, set, some(40)...)
	d.g.latency.mean, d.g.limiter.limit = 0.1, 100
	total, sent := 0.0, 0
	names := map[uint64]bool{}
	for i := range 60 { // 60 requests within one window
		d.now += 0.001
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 50, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			names[c.Name] = true
			total += c.Amount
			out = append(out, d.handle(CounterReply{Name: c.Name, Total: total})...)
		}
		sent += len(find[SendAttempt](out))
	}
	// Two places, a tenth of a second each: 20 a second at most, in two windows at most.
	if sent < 10 || sent > 20*len(names) {
		t.Errorf("%d requests let in, want about 13", sent)
	}
}
