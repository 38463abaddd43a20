package policy

import (
	"math"
	"testing"
)

func TestQueuedRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	d := startEngine(t, testSettings()) // no backend at all
	id := d.sendRequest(0, 1, 1)
	if n := len(actionsOf[SendAttempt](d.lastActions)); n != 0 {
		t.Fatalf("%d attempts sent with no backend", n)
	}
	d.now += 0.8
	out := d.handle(timerFired(answerDeadlineTimer, id))
	if r := onlyAction[Reject](t, out); r.Request != id {
		t.Errorf("rejected request %d, want %d", r.Request, id)
	}
	d.now += 1
	out = d.handle(timerFired(answerDeadlineTimer, id))
	if len(actionsOf[Reject](out))+len(actionsOf[FailRequest](out)) > 0 {
		t.Error("answered twice")
	}
}

// In a burst most requests are rejected immediately. Timers for rejected requests would wake
// the gateway twice per request.
func TestImmediateRejectionSetsNoTimers(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(4)...)
	id := d.sendRequest(0, 0, 1)
	if timers := actionsOf[SetTimer](d.lastActions); len(timers) == 0 || timers[0].Request != id {
		t.Fatalf("timers of an admitted request: %v", timers)
	}
	d.nextID++
	out := d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now})
	onlyAction[Reject](t, out)
	if timers := actionsOf[SetTimer](out); len(timers) > 0 {
		t.Errorf("timers of a rejected request: %v", timers)
	}
}

// Outside the simulator, a gateway handles a request some time after the client sent it. This delay counts towards the
// latency objective, and must not make the timeout of the request look like that of a retry.
func TestLatencyObjectiveCountsFromSending(t *testing.T) {
	set := testSettings()
	set.Plans[0].Rate = 0
	d := startEngine(t, set, readyBackends(4)...)
	for i, lag := range []float64{0, 0.007, 0.1, 0.02} {
		d.now += 1
		d.nextID++
		sent := d.now - lag
		out := d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, SentAt: sent, Deadline: sent + 1.5})
		if s := onlyAction[SendAttempt](t, out); math.Abs(s.Timeout-(0.8-lag)) > 1e-6 {
			t.Errorf("request %d: timeout %g, want %g", i, s.Timeout, 0.8-lag)
		}
		for _, s := range actionsOf[SendAttempt](out) {
			d.handle(AttemptEnded{Request: d.nextID, Backend: s.Backend, Outcome: Served, RequestOver: true})
		}
	}
}
