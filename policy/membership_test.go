package policy

import "testing"

func TestNothingIsSentToDrainingBackend(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	for range 8 {
		d.ask(0, 1, 1)
		for _, s := range find[SendAttempt](d.last) {
			if s.Backend == 1 {
				t.Fatal("sent to a draining backend")
			}
		}
	}
	d.handle(EndpointsUpdated{Kind: FullList})
	d.ask(0, 1, 1)
	if n := len(find[SendAttempt](d.last)); n > 0 {
		t.Error("sent to a backend that a full list no longer names")
	}
}

func TestFailedDiscoveryIsPolledAgainAfterInterval(t *testing.T) {
	set := testSettings()
	set.PollDiscovery = true
	d := &drive{t: t, now: 100}
	d.g, d.last = New(set, 7, d.now, nil)
	one[PollEndpoints](t, d.last)
	out := d.handle(EndpointsUpdated{Kind: ListFailed})
	if len(find[PollEndpoints](out)) > 0 {
		t.Error("polled again at once")
	}
	timer := one[SetTimer](t, out)
	d.now += timer.Delay
	one[PollEndpoints](t, d.handle(TimerFired{Token: timer.Token}))
}

func TestRemovedBackendsAreForgotten(t *testing.T) {
	d := start(t, testSettings(), some(3)...)
	for i := range 50 {
		id := BackendID(10 + i)
		d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{ready(id)}})
		d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{{ID: id, State: Removed}}})
		d.now += 0.05
		d.handle(timerFired(maintenanceTimer, 0))
	}
	if len(d.g.backends.ordered) != 3 || len(d.g.backends.byID) != 3 {
		t.Errorf("%d listed and %d known, want 3", len(d.g.backends.ordered), len(d.g.backends.byID))
	}
}
