package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"testing"

	"amberlb/policy"
)

// The module takes replies for one name in the order of the calls, so a later
// call that ends first waits for the earlier.
func TestRepliesInOrder(t *testing.T) {
	l := &eventLoop{pendingCalls: map[uint64][]*counterCall{}, engine: &policy.Engine{}}
	l.pendingEvents = []policy.Event{nil} // an outer call is at it: replies are queued
	first, second, other := &counterCall{key: 1, amount: 1}, &counterCall{key: 1, amount: 2}, &counterCall{key: 2}
	l.pendingCalls[1], l.pendingCalls[2] = []*counterCall{first, second}, []*counterCall{other}
	l.finishCall(second, policy.Rejected, 0)
	l.finishCall(other, policy.Served, 3)
	l.finishCall(first, policy.Served, 5)
	l.finishCall(first, policy.TimedOut, 0) // it has ended
	var got []policy.Outcome
	for _, ev := range l.pendingEvents[1:] {
		got = append(got, ev.(policy.CounterReply).Outcome)
	}
	if want := []policy.Outcome{policy.Served, policy.Served, policy.Rejected}; !slices.Equal(got, want) || len(l.pendingCalls) > 0 {
		t.Errorf("replies %v, want %v; %d names left", got, want, len(l.pendingCalls))
	}
}

// Ids are remembered for as long as a request may be open, and not for good.
func TestRecent(t *testing.T) {
	var r recentIDs
	for _, c := range []struct {
		id   string
		at   float64
		want bool
	}{
		{"a", 0, true}, {"a", 1, false}, {"b", recentIDWindow + 1, true}, {"a", recentIDWindow + 2, false},
		{"b", 2*recentIDWindow + 2, false}, {"a", 2*recentIDWindow + 3, true},
	} {
		if got := r.add(c.id, c.at); got != c.want {
			t.Errorf("%s at %v: new %t", c.id, c.at, got)
		}
	}
	for i := range 3 * maxRecentIDs {
		r.add(strconv.Itoa(i), 3*recentIDWindow)
	}
	if n := len(r.current) + len(r.previous); n > 2*maxRecentIDs {
		t.Errorf("%d ids are remembered", n)
	}
}

// The id of a request that is open is never free, however long that lasts.
func TestIdOfOpenRequest(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(&c, newConnectionPools(1, 1, 1), nil, func() {})
	request := func() *clientRequest {
		now := l.clock.now()
		return &clientRequest{correlationID: "one", response: make(chan clientResponse, 1), decoded: policy.Request{Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15}}
	}
	first, second := request(), request()
	l.startRequest(first)
	l.recentIDs = recentIDs{} // as if it had been long ago
	if l.startRequest(second); len(second.response) != 1 || (<-second.response).status != http.StatusConflict {
		t.Error("a second request was taken under the id of an open one")
	}
	l.handleMessage(clientDisconnected{first})
	if third := request(); len(l.openCorrelationIDs) != 0 {
		t.Errorf("%d ids are held for nothing", len(l.openCorrelationIDs))
	} else if l.startRequest(third); len(third.response) != 0 {
		t.Error("the id is not free again")
	}
}

// Timers of what is over wake nobody, but none that is waited for may be lost.
func TestVoidTimers(t *testing.T) {
	l := &eventLoop{requests: map[policy.RequestID]*clientRequest{7: {}}}
	for _, c := range []struct {
		name string
		t    timer
		want bool
	}{
		{"the module's own", engineTimer{}, false},
		{"of a live request", engineTimer{request: 7}, false},
		{"of a request that is over", engineTimer{request: 8}, true},
		{"of an attempt that is out", attemptDeadline{&attempt{}}, false},
		{"of an attempt that has ended", attemptDeadline{&attempt{ended: true}}, true},
		{"of a call that is out", counterCallDeadline{&counterCall{}}, false},
		{"of an answered call", counterCallDeadline{&counterCall{ended: true}}, true},
	} {
		if got := c.t.isStale(l); got != c.want {
			t.Errorf("%s: void %t", c.name, got)
		}
	}
}
