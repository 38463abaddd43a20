package gateway

import (
	"math/rand/v2"
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

// An id is remembered for at least minIDRetention, and until its place is needed. If the set is full of ids that must be
// remembered, nothing further may be begun, and no id is forgotten.
func TestRecentIDsAreForgottenInOrder(t *testing.T) {
	const capacity = 4
	ids := newRecentIDs(capacity)
	for i := range capacity {
		now := float64(i)
		if !ids.hasRoom(0, now) {
			t.Fatalf("no room for id %d", i)
		}
		ids.add(strconv.Itoa(i), now)
		ids.add(strconv.Itoa(i), now) // changes nothing
	}
	expect := func(now float64, openRequests int, wantRoom bool, remembered ...string) {
		t.Helper()
		if got := ids.hasRoom(openRequests, now); got != wantRoom {
			t.Errorf("at %v with %d open requests: room %t", now, openRequests, got)
		}
		for i := range capacity {
			id := strconv.Itoa(i)
			if got := ids.has(id); got != slices.Contains(remembered, id) {
				t.Errorf("at %v: id %s remembered %t", now, id, got)
			}
		}
	}
	expect(minIDRetention-1, 0, false, "0", "1", "2", "3")
	expect(minIDRetention, 0, true, "1", "2", "3")
	expect(minIDRetention+1, 1, true, "2", "3")
	expect(minIDRetention+1, 2, false, "2", "3")
	expect(10*minIDRetention, 0, true, "2", "3") // their places are not needed
	for i := range 100 * capacity {
		now := float64(1000 + 10*i)
		ids.hasRoom(0, now)
		ids.add(strconv.Itoa(1000+i), now)
	}
	if n := len(ids.hashes); n > capacity || ids.ended.length() != n || cap(ids.ended.ids) > 8*capacity {
		t.Errorf("%d ids, %d in a queue for %d", n, ids.ended.length(), cap(ids.ended.ids))
	}
}

// An id that was forwarded must not run again when it comes again after its client has left, whatever number of other
// ids were turned away or given up in between. One that was never forwarded may come again.
func TestIDOfClientThatLeftDoesNotRunAgain(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(&config, newConnectionPools(1, 1, 1), nil, func() {})
	start := func(id string) *clientRequest {
		now := l.clock.now()
		req := &clientRequest{correlationID: id, response: make(chan clientResponse, 1),
			policyRequest: policy.Request{Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15}}
		l.startRequest(req)
		return req
	}
	leave := func(req *clientRequest, forwarded bool) {
		a := &attempt{request: req, fullyWritten: forwarded, cancelContext: func() {}}
		req.attempts = append(req.attempts, a)
		req.attemptsInFlight++
		l.handleMessage(clientDisconnected{req})
		l.finishAttempt(a, attemptResult{outcome: policy.Cancelled})
	}
	leave(start("forwarded"), true)
	leave(start("unsent"), false)
	for i := range 2 * l.recentIDs.capacity {
		l.handleMessage(clientDisconnected{start(strconv.Itoa(i))})
	}
	if again := start("forwarded"); len(again.response) != 1 || (<-again.response).status != http.StatusConflict {
		t.Error("the id of a forwarded request was accepted again")
	}
	if again := start("unsent"); len(again.response) != 0 {
		t.Error("the id of a request that was never sent was not accepted again")
	}
	l.recentIDs.capacity = len(l.requests) + 1
	full := start("full")
	if len(full.response) != 1 || (<-full.response).status != http.StatusServiceUnavailable {
		t.Error("a request whose id can't be remembered was begun")
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

// A timer leaves the queue once its request, attempt or call has ended, so that the process doesn't wake up for it and
// the request doesn't stay in memory. A timer that is still needed stays.
func TestTimersEndWithTheirOwners(t *testing.T) {
	newLoop := func() *eventLoop {
		l := &eventLoop{requests: map[policy.RequestID]*clientRequest{}, pendingCalls: map[uint64][]*counterCall{},
			openCorrelationIDs: map[string]struct{}{}, engine: &policy.Engine{}}
		l.pendingEvents = []policy.Event{nil} // nil stands for an event being handled: handleEvent only queues events
		return l
	}
	req := &clientRequest{policyRequest: policy.Request{ID: 7}, unanswered: true}
	req.owners.Store(1)
	for _, c := range []struct {
		name  string
		begin func(l *eventLoop)
		end   func(l *eventLoop)
		want  int // timers after the end
	}{
		{"engine timer without a request", func(l *eventLoop) { l.setEngineTimer(policy.SetTimer{Delay: 1}) },
			func(*eventLoop) {}, 1},
		{"engine timer of an open request", func(l *eventLoop) { l.setEngineTimer(policy.SetTimer{Delay: 1, Request: 7}) },
			func(l *eventLoop) { l.removeIfDone(req) }, 1},
		{"engine timers of a request that ends", func(l *eventLoop) {
			l.setEngineTimer(policy.SetTimer{Delay: 1, Request: 7})
			l.setEngineTimer(policy.SetTimer{Delay: 2, Request: 7})
		}, func(l *eventLoop) {
			req.unanswered = false
			l.removeIfDone(req)
		}, 0},
		{"deadline of an attempt", func(l *eventLoop) {
			a := &attempt{request: req}
			a.deadlineTimer = l.timers.schedule(1, attemptDeadline{a})
			req.attempts = []*attempt{a}
			req.attemptsInFlight = 1
		}, func(l *eventLoop) { l.finishAttempt(req.attempts[0], attemptResult{outcome: policy.Failed}) }, 0},
		{"deadline of a counter call", func(l *eventLoop) {
			call := &counterCall{key: 1}
			call.deadlineTimer = l.timers.schedule(1, counterCallDeadline{call})
			l.pendingCalls[1] = []*counterCall{call}
		}, func(l *eventLoop) { l.finishCall(l.pendingCalls[1][0], policy.Served, 1) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLoop()
			req.unanswered = true
			l.requests[7] = req
			c.begin(l)
			if len(l.timers.entries) == 0 {
				t.Fatal("no timer was scheduled")
			}
			c.end(l)
			if got := len(l.timers.entries); got != c.want {
				t.Errorf("%d timers are left, want %d", got, c.want)
			}
		})
	}
	l := newLoop()
	l.setEngineTimer(policy.SetTimer{Delay: 1, Request: 8})
	if n := len(l.timers.entries); n != 0 {
		t.Errorf("%d timers of a request that is not open", n)
	}
}

// Timers fire in the order of their times, and cancelled ones do not, whenever they are cancelled.
func TestCancelledTimersDoNotFire(t *testing.T) {
	const count = 200
	var queue timerQueue
	rng := rand.New(rand.NewPCG(1, 1))
	scheduled := make([]*scheduledTimer, count)
	for i := range scheduled {
		scheduled[i] = queue.schedule(rng.Float64(), engineTimer{uint64(i)})
	}
	cancelled := map[uint64]bool{}
	cancel := func() {
		i := rng.IntN(count)
		queue.cancel(scheduled[i])
		cancelled[uint64(i)] = true
	}
	queue.cancel(nil)
	for range count / 4 {
		cancel()
	}
	fired, last := map[uint64]bool{}, 0.0
	for next := queue.popDue(1); next != nil; next = queue.popDue(1) {
		token := next.(engineTimer).token
		if cancelled[token] || scheduled[token].at < last {
			t.Errorf("timer %d of %v fired after %v, cancelled %t", token, scheduled[token].at, last, cancelled[token])
		}
		last, fired[token] = scheduled[token].at, true
		cancel()
	}
	for i := range uint64(count) {
		if fired[i] == cancelled[i] && !fired[i] {
			t.Errorf("timer %d neither fired nor was cancelled", i)
		}
	}
}
