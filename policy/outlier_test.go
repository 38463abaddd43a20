package policy

import "testing"

func TestFastFailuresDoNotAttractTraffic(t *testing.T) {
	d := start(t, testSettings(), some(6)...)
	toBad := 0
	for i := range 300 {
		d.now += 0.01
		d.ask(0, 1, CustomerID(i%5))
		todo := d.last
		for len(todo) > 0 {
			for _, s := range find[SendAttempt](todo[:1]) {
				how := Served
				if s.Backend == 3 {
					how = Failed
					toBad++
				}
				n := len(d.g.requests[s.Request].attempts) - 1
				todo = append(todo, d.handle(AttemptEnded{Request: s.Request, Attempt: n, Backend: s.Backend, Outcome: how,
					Latency: 0.002, RequestOver: how == Served})...)
			}
			todo = todo[1:]
		}
	}
	if toBad > 20 {
		t.Errorf("%d of 300 went to the backend that fails at once", toBad)
	}
}

// A backend that failed once or was slow once is used again in time, though nothing is sent there that could
// put it right; one that is left out waits for its trials.
func TestWhatIsKnownOfABackendFades(t *testing.T) {
	d := start(t, testSettings(), some(3)...)
	d.g.latency.mean = 0.1
	once, slow, out := d.g.backends.byID[1], d.g.backends.byID[2], d.g.backends.byID[3]
	once.failureRate, slow.latency, out.failureRate = failureGain, 0.4, 0.9
	for range int(2 * healthDecayTime / maintenanceInterval) {
		d.now += maintenanceInterval
		d.handle(timerFired(maintenanceTimer, 0))
	}
	if once.failureRate > 0.05 || slow.latency > 0.15 || out.failureRate != 0.9 {
		t.Errorf("failures %.2f, latency %.2f, failures of the one left out %.2f", once.failureRate, slow.latency, out.failureRate)
	}
}

// Most backends have looked bad for a while: each still gets its trials, and is back once these go well.
func TestTrialsWhenMostLookBad(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := start(t, set, some(4)...)
	for _, s := range d.g.backends.ordered {
		if s.ID != 1 {
			s.failureRate = 0.9
		}
	}
	for range 600 {
		d.now += 0.05
		d.ask(0, 1, 1)
		for _, s := range find[SendAttempt](d.last) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.05})
		}
	}
	for _, s := range d.g.backends.ordered {
		if s.ejected() {
			t.Errorf("backend %d is left out, share of failures %.2f", s.ID, s.failureRate)
		}
	}
}
