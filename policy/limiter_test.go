package policy

import "testing"

func TestBoundOfManyGatewaysIsKeptInTheMean(t *testing.T) {
	set := testSettings()
	set.FleetSize, set.Counter = 300, false
	d := start(t, set, some(60)...)
	d.g.limiter.limit = 0.5 // half an attempt each
	var out []SendAttempt
	sent, together := 0, 0
	for i := range 4000 { // ten a second; each takes half a second
		d.now += 0.1
		for len(out) > 0 && d.now > d.g.requests[out[0].Request].attempts[0].sentAt+0.5 {
			d.handle(AttemptEnded{Request: out[0].Request, Backend: out[0].Backend, Latency: 0.5, Outcome: Rejected})
			out = out[1:]
		}
		d.g.limiter.limit = 0.5
		d.g.retries.tokens = 0
		d.nextID++
		sends := find[SendAttempt](d.handle(Request{ID: d.nextID, Plan: 1, Units: 1, Gateways: 300, Customer: CustomerID(i),
			Deadline: d.now + 2}))
		for _, id := range []RequestID{d.nextID, d.nextID - 8} {
			d.handle(timerFired(answerDeadlineTimer, id))
		}
		sent += len(sends)
		out = append(out, sends...)
		together = max(together, d.g.limiter.inFlight)
	}
	mean := float64(sent) * 0.5 / 400
	if mean > 0.75 || mean < 0.2 {
		t.Errorf("%.2f attempts in flight on average with a bound of a half", mean)
	}
	if together < 1 || together > 3 {
		t.Errorf("%d attempts at once", together)
	}
}
