package policy

import "testing"

func TestNothingIsSentToDrainingBackend(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(2)...)
	d.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{{ID: 1, State: Draining}}})
	for range 8 {
		d.sendRequest(0, 1, 1)
		for _, s := range actionsOf[SendAttempt](d.lastActions) {
			if s.Backend == 1 {
				t.Fatal("sent to a draining backend")
			}
		}
	}
	d.handle(EndpointsUpdated{Kind: FullList})
	d.sendRequest(0, 1, 1)
	if n := len(actionsOf[SendAttempt](d.lastActions)); n > 0 {
		t.Error("sent to a backend that is not in the newest full list")
	}
}

func TestFailedDiscoveryIsPolledAgainAfterInterval(t *testing.T) {
	set := testSettings()
	set.PollDiscovery = true
	d := &engineDriver{t: t, now: 100}
	d.engine, d.lastActions = New(set, 7, d.now, nil)
	onlyAction[PollEndpoints](t, d.lastActions)
	out := d.handle(EndpointsUpdated{Kind: ListFailed})
	if len(actionsOf[PollEndpoints](out)) > 0 {
		t.Error("discovery was polled again at once")
	}
	timer := onlyAction[SetTimer](t, out)
	d.now += timer.Delay
	onlyAction[PollEndpoints](t, d.handle(TimerFired{Token: timer.Token}))
}

func TestRemovedBackendsAreForgotten(t *testing.T) {
	d := startEngine(t, testSettings(), readyBackends(3)...)
	for i := range 50 {
		id := BackendID(10 + i)
		d.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{readyBackend(id)}})
		d.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{{ID: id, State: Removed}}})
		d.now += 0.05
		d.handle(timerFired(maintenanceTimer, 0))
	}
	if len(d.engine.backends.ordered) != 3 || len(d.engine.backends.byID) != 3 {
		t.Errorf("%d backends in ordered and %d in byID, want 3", len(d.engine.backends.ordered), len(d.engine.backends.byID))
	}
}
