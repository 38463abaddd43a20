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

// inboxSize is the number of messages that can be queued for the loop before post blocks.
const inboxSize = 1024

// eventLoop owns the policy engine. It turns messages from other goroutines and due timers, one at a time and in order,
// into events for the engine, and carries out the engine's actions. It never waits for a socket.
//
// Its methods and fields belong to the goroutine of run. Before run begins and after run has returned, they belong to
// the goroutine that starts run. Other goroutines may call post and postEndpointList, read clock and stopped, and use
// metrics, attempts, openRequests, scheduledTimers, estimates, counterCalls and counterCallsUnanswered.
type eventLoop struct {
	clock          clock
	log            *slog.Logger
	metrics        metrics
	deployment     *wire.Deployment
	engine         *policy.Engine
	transport      transport
	counter        *counterClient // nil if the deployment has no counter
	onEndpointList func()         // called after each list from discovery has been applied; not for the cached list

	inbox    chan message
	stopped  chan struct{}  // closed when run returns
	attempts sync.WaitGroup // attempts for which the transport has not called onDone

	openRequests    atomic.Int64 // number of open requests, for the log
	scheduledTimers atomic.Int64 // number of timers that are scheduled, for the log
	estimates       estimateGauges

	counterCalls           atomic.Uint64 // number of counter calls, including calls rejected before they were sent
	counterCallsUnanswered atomic.Uint64 // number of these calls that count as unanswered (see Hollow.CounterCalls)

	requests           map[policy.RequestID]*clientRequest // open requests: unanswered, or with attempts in flight
	openCorrelationIDs map[string]struct{}                 // correlation ids of the open requests
	recentIDs          *recentIDs                          // correlation ids of forwarded requests that have ended
	lastRequestID      policy.RequestID                    // last id assigned to a request
	readyBackends      map[policy.BackendID]listedBackend
	addressOwners      map[string]policy.BackendID // the ready backend at each address
	superseded         map[policy.BackendID]string // addresses of backends at which another process runs by now
	pendingCalls       map[uint64][]*counterCall   // calls whose reply the engine awaits, by key, in order
	timers             timerQueue

	actions       []policy.Action // buffer for the actions of one event
	pendingEvents []policy.Event  // the event being handled, and the events that its actions have caused
}

// newEventLoop returns an event loop with a new engine, and carries out the engine's initial actions. counter is nil if
// the deployment has no counter.
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
		recentIDs:          newRecentIDs(config.limits().recentIDs),
		readyBackends:      map[policy.BackendID]listedBackend{},
		addressOwners:      map[string]policy.BackendID{},
		superseded:         map[policy.BackendID]string{},
		pendingCalls:       map[uint64][]*counterCall{},
	}
	l.engine, l.actions = policy.New(config.Settings, config.Seed, l.clock.now(), nil)
	l.runActions(l.actions)
	return l
}

// post sends a message to the loop. It blocks while the inbox is full, and returns false if the loop has stopped.
func (l *eventLoop) post(m message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}

// postEndpointList sends the loop an endpoint list from discovery. The kind of the list is policy.FullList if Reset is
// set, and policy.DeltaList otherwise.
func (l *eventLoop) postEndpointList(list EndpointList) {
	kind := policy.DeltaList
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
		l.openRequests.Store(int64(len(l.requests)))
		l.scheduledTimers.Store(int64(len(l.timers.entries)))
		l.estimates.store(l.engine.Estimates())
		if at, scheduled := l.timers.next(); scheduled {
			wakeUp.Reset(time.Until(l.clock.toTime(at)))
		}
	}
}

// fireDueTimers fires all due timers. It reads the clock only once, so that timers that schedule further timers can't
// prevent the loop from reading its inbox.
func (l *eventLoop) fireDueTimers() {
	now := l.clock.now()
	for t := l.timers.popDue(now); t != nil; t = l.timers.popDue(now) {
		t.fire(l)
	}
}

// handleMessage dispatches a message by its type.
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

// handleEvent passes an event to the engine and carries out the resulting actions. Carrying out an action may call
// handleEvent again. Since the engine handles one event at a time, the inner call only queues its event, and the outer
// call handles the queued events in order.
func (l *eventLoop) handleEvent(event policy.Event) {
	l.pendingEvents = append(l.pendingEvents, event)
	if len(l.pendingEvents) > 1 {
		return // the outer call handles the event
	}
	for n := 0; n < len(l.pendingEvents); n++ {
		l.actions = l.engine.Handle(l.clock.now(), l.pendingEvents[n], l.actions[:0])
		l.runActions(l.actions)
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

// runActions carries out the engine's actions.
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
			l.setEngineTimer(a)
		case policy.CounterAdd:
			l.callCounter(a)
		case policy.Log:
			l.log.Info(a.Text)
		case policy.PollEndpoints: // nothing to do, since the discovery watcher polls continuously
		}
	}
}
