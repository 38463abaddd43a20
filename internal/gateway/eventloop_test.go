package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"testing"

	"amberlb/policy"
)

// The engine expects the replies for a key in the order of the calls, so the reply of a call that ends early must wait
// for the replies of the earlier calls.
func TestCounterRepliesInCallOrder(t *testing.T) {
	l := &eventLoop{pendingCalls: map[uint64][]*counterCall{}, engine: &policy.Engine{}}
	l.pendingEvents = []policy.Event{nil} // nil stands for an event being handled: handleEvent only queues the replies
	first := &counterCall{key: 1, amount: 1}
	second := &counterCall{key: 1, amount: 2}
	other := &counterCall{key: 2}
	l.pendingCalls[1] = []*counterCall{first, second}
	l.pendingCalls[2] = []*counterCall{other}
	l.finishCall(second, policy.Rejected, 0)
	l.finishCall(other, policy.Served, 3)
	l.finishCall(first, policy.Served, 5)
	l.finishCall(first, policy.TimedOut, 0) // ignored: the call has ended
	var got []policy.Outcome
	for _, event := range l.pendingEvents[1:] {
		got = append(got, event.(policy.CounterReply).Outcome)
	}
	want := []policy.Outcome{policy.Served, policy.Served, policy.Rejected}
	if !slices.Equal(got, want) || len(l.pendingCalls) > 0 {
		t.Errorf("replies %v, want %v; %d keys with pending calls", got, want, len(l.pendingCalls))
	}
}

// A correlation id is remembered for at least recentIDWindow, but not forever, so that memory stays bounded. If a
// window of recentIDs becomes full, ids may be forgotten earlier.
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
			t.Errorf("id %s at %v: added as new %t", c.id, c.at, got)
		}
	}
	for i := range 3 * maxRecentIDs {
		ids.add(strconv.Itoa(i), 3*recentIDWindow)
	}
	if n := len(ids.current) + len(ids.previous); n > 2*maxRecentIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// The correlation id of an open request must not be accepted for another request, however long the open request takes.
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
			policyRequest: policy.Request{Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15},
		}
	}
	first := newRequest()
	l.startRequest(first)
	l.recentIDs = recentIDs{} // as if the ids had been forgotten
	second := newRequest()
	l.startRequest(second)
	if len(second.response) != 1 || (<-second.response).status != http.StatusConflict {
		t.Error("a second request was admitted with the correlation id of an open one")
	}
	l.handleMessage(clientDisconnected{first})
	third := newRequest()
	if len(l.openCorrelationIDs) != 0 {
		t.Errorf("%d ids are still reserved without an open request", len(l.openCorrelationIDs))
	} else if l.startRequest(third); len(third.response) != 0 {
		t.Error("the id can't be used again after its request has ended")
	}
}

// A timer is stale once its request, attempt or call has ended, so that the process doesn't wake up for it. A timer
// that is still needed must not be dropped.
func TestTimersAreStaleOnceUnneeded(t *testing.T) {
	l := &eventLoop{requests: map[policy.RequestID]*clientRequest{7: {}}}
	for _, c := range []struct {
		name  string
		timer timer
		want  bool
	}{
		{"engine timer without a request", engineTimer{}, false},
		{"engine timer of an open request", engineTimer{request: 7}, false},
		{"engine timer of a request that has ended", engineTimer{request: 8}, true},
		{"deadline of an attempt in flight", attemptDeadline{&attempt{}}, false},
		{"deadline of an attempt that has ended", attemptDeadline{&attempt{ended: true}}, true},
		{"deadline of a counter call in flight", counterCallDeadline{&counterCall{}}, false},
		{"deadline of a counter call that has ended", counterCallDeadline{&counterCall{ended: true}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.timer.isStale(l); got != c.want {
				t.Errorf("stale %t", got)
			}
		})
	}
}
