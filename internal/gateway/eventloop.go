package gateway

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

const (
	inboxSize        = 1024
	responseMargin   = 0.005 // seconds kept of a deadline for the way to the client, the loop and the write
	timeoutTolerance = 0.001 // a cancel so close before an attempt's time-out is one
)

// What sockets tell the loop.
type (
	requestArrived     struct{ request *clientRequest }
	clientDisconnected struct{ request *clientRequest }
	attemptDone        struct {
		attempt *attempt
		result  attemptResult
	}
	counterCallDone struct {
		call    *counterCall
		outcome policy.Outcome
		total   float64
	}
	shutdownStarted struct{ answerBy float64 } // the clock's time by which all is to be answered
	listingReceived struct {
		listing EndpointList
		kind    policy.ListKind
	}
)

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

	inbox    chan any
	stopped  chan struct{}  // closed when run ends
	attempts sync.WaitGroup // those that use sockets

	counterCalls, counterCallsUnanswered atomic.Uint64 // calls to the counter, and those that ended without its answer

	requests      map[policy.RequestID]*clientRequest // until the last attempt has ended
	recentIDs     recentIDs                           // the clients' own, of requests taken lately
	openIDs       map[string]struct{}                 // those of live
	nextID        policy.RequestID
	instanceNames map[policy.BackendID]string // whose id it is
	pendingCalls  map[uint64][]*counterCall   // by name, in order, until their replies are handed on
	timers        timerHeap
	actions       []policy.Action
	pendingEvents []policy.Event // events that actions brought about
}

func newEventLoop(config *Config, transport transport, counter *counterClient, onListing func()) *eventLoop {
	l := &eventLoop{clock: newClock(), log: config.logger(), deployment: &config.Deployment, transport: transport, counter: counter, onListing: onListing,
		inbox: make(chan any, inboxSize), stopped: make(chan struct{}),
		requests: map[policy.RequestID]*clientRequest{}, openIDs: map[string]struct{}{}, instanceNames: map[policy.BackendID]string{},
		pendingCalls: map[uint64][]*counterCall{}}
	l.engine, l.actions = policy.New(config.Settings, config.Seed, l.clock.now(), nil)
	l.runActions(l.actions)
	return l
}

// post tells the loop something. It returns false once the loop has ended.
func (l *eventLoop) post(message any) bool {
	select {
	case l.inbox <- message:
		return true
	case <-l.stopped:
		return false
	}
}

// endpointsUpdated passes on what discovery told.
func (l *eventLoop) endpointsUpdated(listing EndpointList) {
	kind := policy.Delta
	if listing.Reset {
		kind = policy.FullList
	}
	l.post(listingReceived{listing, kind})
}

// run works until ctx ends.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			l.handleMessage(m)
		case <-timer.C:
		}
		now := l.clock.now()
		for len(l.timers) > 0 && (l.timers[0].at <= now || l.isStale(l.timers[0])) {
			if t := heap.Pop(&l.timers).(timerEntry); !l.isStale(t) {
				l.fireTimer(t)
			}
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.clock.toTime(l.timers[0].at)))
		}
	}
}

func (l *eventLoop) handleMessage(message any) {
	switch m := message.(type) {
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
		l.applyEndpointList(m.listing, m.kind)
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
			l.timers.add(timerEntry{at: l.clock.now() + max(a.Delay, 0), token: a.Token, request: a.Request})
		case policy.CounterAdd:
			l.callCounter(a)
		case policy.Log:
			l.log.Info(a.Text)
		case policy.PollEndpoints: // the watch always runs
		}
	}
}
