package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"testing"

	"amberlb/policy"
)

// The engine takes replies for one key in the order of the calls, so a later call that ends first waits for the
// earlier one.
func TestCounterRepliesInCallOrder(t *testing.T) {
	l := &eventLoop{pendingCalls: map[uint64][]*counterCall{}, engine: &policy.Engine{}}
	l.pendingEvents = []policy.Event{nil} // an outer call handles events: replies are queued
	first := &counterCall{key: 1, amount: 1}
	second := &counterCall{key: 1, amount: 2}
	other := &counterCall{key: 2}
	l.pendingCalls[1] = []*counterCall{first, second}
	l.pendingCalls[2] = []*counterCall{other}
	l.finishCall(second, policy.Rejected, 0)
	l.finishCall(other, policy.Served, 3)
	l.finishCall(first, policy.Served, 5)
	l.finishCall(first, policy.TimedOut, 0) // it has ended
	var got []policy.Outcome
	for _, event := range l.pendingEvents[1:] {
		got = append(got, event.(policy.CounterReply).Outcome)
	}
	want := []policy.Outcome{policy.Served, policy.Served, policy.Rejected}
	if !slices.Equal(got, want) || len(l.pendingCalls) > 0 {
		t.Errorf("replies %v, want %v; %d keys left", got, want, len(l.pendingCalls))
	}
}

// Ids are remembered for as long as a request may be open, and not for good.
func TestRecentIDsAreForgotten(t *testing.T) {
	var ids recentIDs
	for _, c := range []struct {
		id   string
		at   float64
		want bool
	}{
		{"a", 0, true},
		{"a", 1, false},
		{"b", recentIDWindow + 1, true},
		{"a", recentIDWindow + 2, false},
		{"b", 2*recentIDWindow + 2, false},
		{"a", 2*recentIDWindow + 3, true},
	} {
		if got := ids.add(c.id, c.at); got != c.want {
			t.Errorf("%s at %v: new %t", c.id, c.at, got)
		}
	}
	for i := range 3 * maxRecentIDs {
		ids.add(strconv.Itoa(i), 3*recentIDWindow)
	}
	if n := len(ids.current) + len(ids.previous); n > 2*maxRecentIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// The correlation id of an open request is never free, however long that lasts.
func TestCorrelationIDOfOpenRequestIsReserved(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(&config, newConnectionPools(1, 1, 1), nil, func() {})
	newRequest := func() *clientRequest {
		now := l.clock.now()
		return &clientRequest{
			correlationID: "one",
			response:      make(chan clientResponse, 1),
			decoded:       policy.Request{Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15},
		}
	}
	first := newRequest()
	l.startRequest(first)
	l.recentIDs = recentIDs{} // as if it had been long ago
	second := newRequest()
	l.startRequest(second)
	if len(second.response) != 1 || (<-second.response).status != http.StatusConflict {
		t.Error("a second request was admitted under the id of an open one")
	}
	l.handleMessage(clientDisconnected{first})
	third := newRequest()
	if len(l.openCorrelationIDs) != 0 {
		t.Errorf("%d ids are reserved for nothing", len(l.openCorrelationIDs))
	} else if l.startRequest(third); len(third.response) != 0 {
		t.Error("the id is not free again")
	}
}

// Timers of what is over wake nobody, but none that is waited for may be lost.
func TestTimersAreStaleOnceUnneeded(t *testing.T) {
	l := &eventLoop{requests: map[policy.RequestID]*clientRequest{7: {}}}
	for _, c := range []struct {
		name  string
		timer timer
		want  bool
	}{
		{"the module's own", engineTimer{}, false},
		{"of an open request", engineTimer{request: 7}, false},
		{"of a request that is over", engineTimer{request: 8}, true},
		{"of an attempt in flight", attemptDeadline{&attempt{}}, false},
		{"of an attempt that has ended", attemptDeadline{&attempt{ended: true}}, true},
		{"of a counter call in flight", counterCallDeadline{&counterCall{}}, false},
		{"of an answered counter call", counterCallDeadline{&counterCall{ended: true}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.timer.isStale(l); got != c.want {
				t.Errorf("stale %t", got)
			}
		})
	}
}
