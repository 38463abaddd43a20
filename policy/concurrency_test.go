package policy

import "testing"

// In a small gateway set, each gateway must apply its own part of a customer's concurrency limit without counter calls.
// If even a few dozen gateways leased concurrency, their calls would overload the counter.
func TestConcurrencyLimitOfFewGatewaysNeedsNoCalls(t *testing.T) {
	set := testSettings()
	set.FleetSize = 80
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 3}
	var gateways []*engineDriver
	for index := range 4 {
		set.GatewayIndex = (78 + index) % 80 // the customer's gateway set is 78, 79, 0, 1
		gateways = append(gateways, startEngine(t, set, readyBackends(60)...))
	}
	sent, rejected, id := []SendAttempt{}, 0, RequestID(0)
	for round := range 3 {
		for _, d := range gateways {
			id++
			out := d.handle(Request{ID: id, Units: 1, FirstGateway: 78, Gateways: 4, Customer: 5, Deadline: d.now + 2})
			if calls := actionsOf[CounterAdd](out); len(calls) > 0 {
				t.Fatalf("counter calls for a concurrency limit: %v", calls)
			}
			sent = append(sent, actionsOf[SendAttempt](out)...)
			for _, reject := range actionsOf[Reject](out) {
				rejected++
				if reject.RetryAfter <= 0 && round > 0 {
					t.Errorf("rejected without a Retry-After: %+v", reject)
				}
			}
		}
		for _, d := range gateways {
			d.engine.latency.mean = 0.1
		}
	}
	if len(sent) != 3 || rejected != 3 {
		t.Fatalf("%d attempts in flight and %d rejected, want the limit of 3, and 3 rejected by the gateway whose part is 0",
			len(sent), rejected)
	}
	for i, d := range gateways[:3] {
		d.now += 0.1
		out := d.handle(AttemptEnded{Request: sent[i].Request, Backend: sent[i].Backend, Outcome: Served, Latency: 0.1})
		onlyAction[SendAttempt](t, out) // the attempt of a request that was waiting
	}
}

func TestLocalConcurrencyAddsUpToTheLimit(t *testing.T) {
	set := testSettings()
	set.HasCounter, set.FleetSize = false, 5
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	sent := 0
	for index := range 3 {
		set.GatewayIndex = (4 + index) % 5 // the customer's gateway set is 4, 0, 1
		d := startEngine(t, set, readyBackends(8)...)
		for i := range 3 {
			out := d.handle(Request{ID: RequestID(i + 1), Units: 1, FirstGateway: 4, Gateways: 3, Customer: 5, Deadline: d.now + 2})
			sent += len(actionsOf[SendAttempt](out))
		}
	}
	if sent != 2 {
		t.Errorf("%d attempts of the customer in flight at three gateways, want the limit of 2", sent)
	}
}

func TestConcurrencyLimitOfManyGatewaysIsKeptAsARate(t *testing.T) {
	set := testSettings()
	set.FleetSize = 100
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	d := startEngine(t, set, readyBackends(40)...)
	d.engine.latency.mean, d.engine.limiter.limit = 0.1, 100
	total, sent := 0.0, 0
	names := map[uint64]bool{}
	for i := range 60 { // 60 requests in 0.06 s; a window takes 1 s
		d.now += 0.001
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 50, Customer: 5, Deadline: d.now + 2})
		for _, call := range actionsOf[CounterAdd](out) {
			names[call.Name] = true
			total += call.Amount
			out = append(out, d.handle(CounterReply{Name: call.Name, Total: total})...)
		}
		sent += len(actionsOf[SendAttempt](out))
	}
	// The limit allows two attempts at a time, each of 0.1 s. This makes at most 20 attempts a second, and 20 in each
	// window of 1 s. The rate uses concurrencyUtilization = 0.65 of them: 13 attempts.
	if sent < 10 || sent > 20*len(names) {
		t.Errorf("%d requests admitted, want about 13", sent)
	}
}
