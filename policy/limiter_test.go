package policy

import "testing"

// With many gateways the limit of each can be less than one attempt. The limit then applies to the mean number of
// attempts in flight.
func TestConcurrencyLimitOfManyGatewaysHoldsInTheMean(t *testing.T) {
	set := testSettings()
	set.FleetSize = 300
	set.HasCounter = false
	d := startEngine(t, set, readyBackends(60)...)
	d.engine.limiter.limit = 0.5 // half an attempt
	var inFlight []SendAttempt
	sent := 0
	maxInFlight := 0
	for i := range 4000 { // ten requests per second; each attempt takes half a second
		d.now += 0.1
		for len(inFlight) > 0 && d.now > d.engine.requests[inFlight[0].Request].attempts[0].sentAt+0.5 {
			oldest := inFlight[0]
			inFlight = inFlight[1:]
			d.handle(AttemptEnded{Request: oldest.Request, Backend: oldest.Backend, Latency: 0.5, Outcome: Rejected})
		}
		d.engine.limiter.limit = 0.5
		d.engine.retries.tokens = 0
		d.nextID++
		sends := actionsOf[SendAttempt](d.handle(Request{ID: d.nextID, Plan: 1, Units: 1, Gateways: 300,
			Customer: CustomerID(i), Deadline: d.now + 2}))
		for _, id := range []RequestID{d.nextID, d.nextID - 8} {
			d.handle(timerFired(answerDeadlineTimer, id))
		}
		sent += len(sends)
		inFlight = append(inFlight, sends...)
		maxInFlight = max(maxInFlight, d.engine.limiter.inFlight)
	}
	mean := float64(sent) * 0.5 / 400
	if mean > 0.75 || mean < 0.2 {
		t.Errorf("%.2f attempts in flight on average with a limit of 0.5", mean)
	}
	if maxInFlight < 1 || maxInFlight > 3 {
		t.Errorf("%d attempts in flight at once, want 1 to 3", maxInFlight)
	}
}
