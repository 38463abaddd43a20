package policy

import "testing"

func TestQueuedRequestsAreSentHighestLevelFirst(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	d.engine.limiter.limit = 4
	var last RequestID
	var sent SendAttempt
	for i := range 4 {
		last = d.sendRequest(0, 1, CustomerID(10+i))
		sent = onlyAction[SendAttempt](t, d.lastActions)
	}
	low := d.sendRequest(0, 0, 2)
	high := d.sendRequest(1, 1, 3)
	if n := len(actionsOf[SendAttempt](d.lastActions)); n > 0 {
		t.Fatal("an attempt was started beyond the concurrency limit")
	}
	out := d.handle(AttemptEnded{Request: last, Backend: sent.Backend, Latency: 0.01, RequestOver: true})
	if s := onlyAction[SendAttempt](t, out); s.Request != high {
		t.Errorf("sent request %d first, want %d of the higher level before %d", s.Request, high, low)
	}
}

func TestReserveIsForTopLevels(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(4)...)
	d.engine.limiter.limit = 10
	sent := 0
	for i := range 30 {
		d.sendRequest(0, 0, CustomerID(i))
		sent += len(actionsOf[SendAttempt](d.lastActions))
	}
	if sent != 9 {
		t.Errorf("%d attempts of a low level in flight with a limit of 10, want 9", sent)
	}
	d.sendRequest(1, 1, 99)
	if n := len(actionsOf[SendAttempt](d.lastActions)); n != 1 {
		t.Error("the top level cannot use the reserve")
	}
}
