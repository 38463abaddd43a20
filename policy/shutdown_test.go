package policy

import (
	"maps"
	"slices"
	"testing"
)

// After a shutdown has begun, queued requests, requests in flight and new requests are answered by the deadline of the
// shutdown. The shutdown doesn't change when requests with an earlier deadline are answered. Without a shutdown, every
// request is answered by its own deadline.
func TestShutdownLimitsTimeOfAllRequests(t *testing.T) {
	for name, test := range map[string]struct {
		shutdown bool
		backends []Backend
	}{
		"queued":      {true, nil},
		"in flight":   {true, readyBackends(6)},
		"no shutdown": {false, nil},
	} {
		t.Run(name, func(t *testing.T) { testShutdown(t, test.shutdown, test.backends) })
	}
}

func testShutdown(t *testing.T, shutdown bool, backends []Backend) {
	const tick = 0.002
	set := testSettings()
	set.Classes = []Class{{LatencyObjective: 60, Deadline: 60, PriorityWeight: 1, LateWeightShare: 0.5}}
	set.Plans = []Plan{{WeightFactor: 1}}
	set.CanHedge = false
	d := startEngine(t, set, backends...)
	start := d.now
	answeredAfter := map[RequestID]float64{} // seconds since start
	var timers []pendingTimer
	record := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				timers = append(timers, pendingTimer{d.now + a.Delay, a.Token})
			case Reject:
				answeredAfter[a.Request] = d.now - start
			case FailRequest:
				answeredAfter[a.Request] = d.now - start
			}
		}
	}
	send := func(deadline float64) RequestID {
		d.nextID++
		record(d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + deadline}))
		return d.nextID
	}
	brief := send(0.5)
	long := send(60)
	if shutdown {
		record(d.handle(Shutdown{AnswerBy: start + 2}))
	}
	late := send(60)
	for d.now < start+70 {
		d.now += tick
		due := slices.Clone(timers)
		timers = slices.DeleteFunc(timers, func(timer pendingTimer) bool { return timer.at <= d.now })
		for _, timer := range due {
			if timer.at <= d.now {
				record(d.handle(TimerFired{Token: timer.token}))
			}
		}
	}
	want := map[RequestID]float64{brief: 0.5, long: 60, late: 60}
	if shutdown {
		want[long] = 2
		want[late] = 2
	}
	for id, end := range want {
		if got := answeredAfter[id]; got > end || got < end-5*tick {
			t.Errorf("request %d was answered after %.3f s, want %.3f s", id, got, end)
		}
	}
	if len(answeredAfter) != len(want) {
		t.Errorf("answered requests: %v", slices.Sorted(maps.Keys(answeredAfter)))
	}
}
