package policy

import "testing"

func TestFastFailuresDoNotAttractTraffic(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(6)...)
	toFailing := 0
	for i := range 300 {
		d.now += 0.01
		d.sendRequest(0, 1, CustomerID(i%5))
		d.endAttempts(d.lastActions, func(s SendAttempt) AttemptEnded {
			if s.Backend == 3 {
				toFailing++
				return AttemptEnded{Outcome: Failed, Latency: 0.002}
			}
			return AttemptEnded{Outcome: Served, Latency: 0.002, RequestOver: true}
		})
	}
	if toFailing > 20 {
		t.Errorf("%d attempts for 300 requests went to the backend that fails at once, want at most 20", toFailing)
	}
}

// The failure rate and latency of a backend decay even if the backend gets no attempts, so a backend that failed once
// or was slow once is used again. The failure rate and latency of an ejected backend don't decay, since trials update
// them.
func TestBackendHealthDecays(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(3)...)
	d.engine.latency.mean = 0.1
	failedOnce := d.engine.backends.byID[1]
	failedOnce.failureRate = failureGain
	slow := d.engine.backends.byID[2]
	slow.latency = 0.4
	ejected := d.engine.backends.byID[3]
	ejected.failureRate = 0.9
	for range int(2 * healthDecayTime / maintenanceInterval) {
		d.now += maintenanceInterval
		d.handle(timerFired(maintenanceTimer, 0))
	}
	if failedOnce.failureRate > 0.05 || slow.latency > 0.15 || ejected.failureRate != 0.9 {
		t.Errorf("failure rate %.2f, latency %.2f, failure rate of the ejected backend %.2f",
			failedOnce.failureRate, slow.latency, ejected.failureRate)
	}
}

// Even if most backends are ejected, each ejected backend gets trials, and its ejection ends once trials are served.
func TestTrialsWhenMostBackendsAreEjected(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := startEngine(t, set, readyBackends(4)...)
	for _, b := range d.engine.backends.ordered {
		if b.ID != 1 {
			b.failureRate = 0.9
		}
	}
	for range 600 {
		d.now += 0.05
		d.sendRequest(0, 1, 1)
		for _, s := range actionsOf[SendAttempt](d.lastActions) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.05})
		}
	}
	for _, b := range d.engine.backends.ordered {
		if b.ejected() {
			t.Errorf("backend %d is still ejected, failure rate %.2f", b.ID, b.failureRate)
		}
	}
}
