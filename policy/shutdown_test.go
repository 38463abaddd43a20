package policy

import (
	"maps"
	"slices"
	"testing"
)

// A stop bounds the time of what is held and what is out, and of what still comes; what would end sooner is left
// alone, and so is everything where no stop was asked for.
func TestStopBoundsAllRequests(t *testing.T) {
	const tick = 0.002
	for name, test := range map[string]struct {
		stops    bool
		backends []Backend
	}{"held": {true, nil}, "out": {true, some(6)}, "no stop": {false, nil}} {
		set := testSettings()
		set.Classes = []Class{{LatencyObjective: 60, Deadline: 60, PriorityWeight: 1, LateWeightShare: 0.5}}
		set.Plans = []Plan{{WeightFactor: 1}}
		set.CanHedge = false
		d := start(t, set, test.backends...)
		began, ends := d.now, map[RequestID]float64{} // in seconds after the stop
		var timers []quotaEvent
		take := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case SetTimer:
					timers = append(timers, quotaEvent{d.now + a.Delay, 0, TimerFired{Token: a.Token}})
				case Reject:
					ends[a.Request] = d.now - began
				case FailRequest:
					ends[a.Request] = d.now - began
				}
			}
		}
		ask := func(deadline float64) RequestID {
			d.nextID++
			take(d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + deadline}))
			return d.nextID
		}
		brief, long := ask(0.5), ask(60)
		if test.stops {
			take(d.handle(Shutdown{AnswerBy: began + 2}))
		}
		late := ask(60)
		for d.now < began+70 {
			d.now += tick
			due := slices.Clone(timers)
			timers = slices.DeleteFunc(timers, func(e quotaEvent) bool { return e.at <= d.now })
			for _, e := range due {
				if e.at <= d.now {
					take(d.handle(e.ev))
				}
			}
		}
		want := map[RequestID]float64{brief: 0.5, long: 60, late: 60}
		if test.stops {
			want[long], want[late] = 2, 2
		}
		for id, end := range want {
			if got := ends[id]; got > end || got < end-5*tick {
				t.Errorf("%s: request %d was answered after %.3f s, want %.3f", name, id, got, end)
			}
		}
		if len(ends) != len(want) {
			t.Errorf("%s: answered %v", name, slices.Sorted(maps.Keys(ends)))
		}
	}
}
