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

// transport carries out attempts. The loop calls it and waits for nothing.
type transport interface {
	updateEndpoint(id policy.BackendID, address string, startedAt float64)
	removeEndpoint(id policy.BackendID)
	// begin starts an attempt, which ends by a.until or when it is called off; done is then called once.
	startAttempt(a *attempt, done func(attemptResult))
}

// eventLoop is the one owner of the decision module. All that happens comes to it
// in order; it runs the module's actions and waits for no socket.
type eventLoop struct {
	clock      clock
	log        *slog.Logger
	metrics    metrics
	deployment *wire.Deployment
	engine     *policy.Engine
	transport  transport
	counter    *counterClient
	onListing  func()

	inbox    chan message
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that use sockets

	counterCalls, counterCallsUnanswered atomic.Uint64 // calls to the counter, and those that ended without its answer

	requests      map[policy.RequestID]*clientRequest // until the last attempt has ended
	recentIDs     recentIDs                           // the clients' own, of requests taken lately
	openIDs       map[string]struct{}                 // those of live
	nextID        policy.RequestID
	instanceNames map[policy.BackendID]string // whose id it is
	pendingCalls  map[uint64][]*counterCall   // by name, in order, until their replies are handed on
	timers        timerQueue
	actions       []policy.Action
	pendingEvents []policy.Event // events that actions brought about
}

func newEventLoop(config *Config, transport transport, counter *counterClient, onListing func()) *eventLoop {
	l := &eventLoop{clock: newClock(), log: config.logger(), deployment: &config.Deployment, transport: transport, counter: counter, onListing: onListing,
		inbox: make(chan message, inboxSize), stopped: make(chan struct{}),
		requests: map[policy.RequestID]*clientRequest{}, openIDs: map[string]struct{}{}, instanceNames: map[policy.BackendID]string{},
		pendingCalls: map[uint64][]*counterCall{}}
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

// endpointsUpdated passes on what discovery told.
func (l *eventLoop) endpointsUpdated(listing Listing) {
	kind := policy.Delta
	if listing.Reset {
		kind = policy.FullList
	}
	l.post(listingReceived{listing, kind})
}

// run works until ctx ends.
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
		if m.request.unanswered {
			l.metrics.add(clientsDisconnected)
			m.request.unanswered = false
			l.handleEvent(policy.ClientDisconnected{Request: m.request.decoded.ID})
			l.cancelUnsent(m.request)
			l.forget(m.request)
		}
	case attemptDone:
		l.finishAttempt(m.attempt, m.result)
	case counterCallDone:
		l.finishCall(m.call, m.outcome, m.total)
	case shutdownStarted:
		l.handleEvent(policy.Shutdown{AnswerBy: m.answerBy})
	case listingReceived:
		l.metrics.add(listsReceived)
		l.applyListing(m.listing, m.kind)
	}
}

// handleEvent gives the module an event, and then what its actions brought about.
func (l *eventLoop) handleEvent(event policy.Event) {
	l.pendingEvents = append(l.pendingEvents, event)
	if len(l.pendingEvents) > 1 {
		return // an outer call is at it
	}
	for n := 0; n < len(l.pendingEvents); n++ {
		l.actions = l.engine.Handle(l.clock.now(), l.pendingEvents[n], l.actions[:0])
		l.runActions(l.actions)
	}
	clear(l.pendingEvents)
	l.pendingEvents = l.pendingEvents[:0]
}

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
