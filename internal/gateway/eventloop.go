package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// inboxSize is the number of messages that may wait for the loop before post has to wait.
const inboxSize = 1024

// eventLoop is the one owner of the decision module. All that happens comes to it as messages and timers, one at a
// time and in order. It runs the engine's actions and waits for no socket.
//
// Its methods and fields belong to the goroutine of run. Before run has begun and after it has ended, they belong to
// whoever starts it. Other goroutines may call post and endpointsUpdated, read clock and stopped, and use metrics,
// attempts and the two counts of counter calls.
type eventLoop struct {
	clock          clock
	log            *slog.Logger
	metrics        metrics
	deployment     *wire.Deployment
	engine         *policy.Engine
	transport      transport
	counter        *counterClient // nil where the deployment has none
	onEndpointList func()         // called after each list that has come from discovery

	inbox    chan message
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that the transport has not reported done

	counterCalls           atomic.Uint64 // made to the counter
	counterCallsUnanswered atomic.Uint64 // of them, those that ended without its answer

	requests           map[policy.RequestID]*clientRequest // until they are answered and their last attempt has ended
	openCorrelationIDs map[string]struct{}                 // the clients' ids of requests
	recentIDs          recentIDs                           // the clients' ids of requests that came lately
	lastRequestID      policy.RequestID                    // the one given last
	backendNames       map[policy.BackendID]string         // discovery's name of each ready backend
	pendingCalls       map[uint64][]*counterCall           // by key, in order, until their replies are handed on
	timers             timerQueue

	actions       []policy.Action // memory for the actions of one event
	pendingEvents []policy.Event  // the event being handled, and those that its actions brought about
}

// newEventLoop returns a loop that has handed the engine its settings and carried out its first actions. counter is
// nil where the deployment has none.
func newEventLoop(config *Config, transport transport, counter *counterClient, onEndpointList func()) *eventLoop {
	l := &eventLoop{
		clock:              newClock(),
		log:                config.logger(),
		deployment:         &config.Deployment,
		transport:          transport,
		counter:            counter,
		onEndpointList:     onEndpointList,
		inbox:              make(chan message, inboxSize),
		stopped:            make(chan struct{}),
		requests:           map[policy.RequestID]*clientRequest{},
		openCorrelationIDs: map[string]struct{}{},
		backendNames:       map[policy.BackendID]string{},
		pendingCalls:       map[uint64][]*counterCall{},
	}
	l.engine, l.actions = policy.New(config.Settings, config.Seed, l.clock.now(), nil)
	l.runActions(l.actions)
	return l
}

// post hands the loop a message. It waits while the inbox is full, and returns false once the loop has ended.
func (l *eventLoop) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}

// endpointsUpdated posts a response of discovery.
func (l *eventLoop) endpointsUpdated(list EndpointList) {
	kind := policy.Delta
	if list.Reset {
		kind = policy.FullList
	}
	l.post(endpointListReceived{list, kind})
}

// run handles messages and timers until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.stopped)
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.handleMessage(m)
		case <-wakeUp.C:
		}
		l.fireDueTimers()
		if at, scheduled := l.timers.next(); scheduled {
			wakeUp.Reset(time.Until(l.clock.toTime(at)))
		}
	}
}

// fireDueTimers fires the timers whose time has come. The clock is read once, so that timers which set others can't
// keep the loop from its inbox.
func (l *eventLoop) fireDueTimers() {
	now := l.clock.now()
	for t := l.timers.popDue(l, now); t != nil; t = l.timers.popDue(l, now) {
		t.fire(l)
	}
}

// handleMessage leads each message to what it is about.
func (l *eventLoop) handleMessage(m message) {
	switch m := m.(type) {
	case requestArrived:
		l.startRequest(m.request)
	case clientDisconnected:
		l.dropDisconnected(m.request)
	case attemptDone:
		l.finishAttempt(m.attempt, m.result)
	case counterCallDone:
		l.finishCall(m.call, m.outcome, m.total)
	case shutdownStarted:
		l.handleEvent(policy.Shutdown{AnswerBy: m.answerBy})
	case endpointListReceived:
		l.metrics.add(listsReceived)
		l.applyEndpointList(m.list, m.kind)
	}
}

// handleEvent gives the engine an event and runs its actions. What these bring about follows as further events, in
// order; a call from within an action only queues its event, since the engine takes one at a time.
func (l *eventLoop) handleEvent(event policy.Event) {
	l.pendingEvents = append(l.pendingEvents, event)
	if len(l.pendingEvents) > 1 {
		return // the outer call handles it
	}
	for n := 0; n < len(l.pendingEvents); n++ {
		l.actions = l.engine.Handle(l.clock.now(), l.pendingEvents[n], l.actions[:0])
		l.runActions(l.actions)
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

// runActions carries out what the engine has decided.
func (l *eventLoop) runActions(actions []policy.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case policy.SendAttempt:
			l.startAttempt(a)
		case policy.CancelAttempt:
			l.cancelAttempt(a)
		case policy.Reject:
			l.metrics.rejected[a.Reason].Add(1)
			l.respond(a.Request, clientResponse{status: http.StatusTooManyRequests, retryAfter: a.RetryAfter})
		case policy.FailRequest:
			l.metrics.failed[a.Reason].Add(1)
			l.respond(a.Request, clientResponse{status: http.StatusBadGateway})
		case policy.SetTimer:
			l.timers.schedule(l.clock.now()+max(a.Delay, 0), engineTimer{token: a.Token, request: a.Request})
		case policy.CounterAdd:
			l.callCounter(a)
		case policy.Log:
			l.log.Info(a.Text)
		case policy.PollEndpoints: // the watch always runs
		}
	}
}
