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
		listing Listing
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

// startRequest gives a request an id of its own and hands it to the module.
func (l *eventLoop) startRequest(req *clientRequest) {
	if l.deployment.MaxOpenRequests > 0 && len(l.requests) >= l.deployment.MaxOpenRequests {
		l.metrics.add(requestsOverOpenLimit)
		req.response <- clientResponse{status: http.StatusServiceUnavailable} // nothing was sent for it
		return
	}
	// An id names one request. A second one under it, from whatever client, could be answered by
	// what a backend made for the first.
	// They are forgotten after a while, or when many come; those of requests that are open are not.
	if _, open := l.openIDs[req.correlationID]; open || !l.recentIDs.add(req.correlationID, req.decoded.SentAt) {
		l.metrics.add(requestsConflicting)
		req.response <- clientResponse{status: http.StatusConflict}
		return
	}
	for taken := true; taken; _, taken = l.requests[l.nextID] {
		l.nextID = max(l.nextID+1, 1) // 0 stands for no request
	}
	l.metrics.add(requestsAccepted)
	req.decoded.ID, req.unanswered = l.nextID, true
	l.requests[req.decoded.ID] = req
	l.openIDs[req.correlationID] = struct{}{}
	l.handleEvent(req.decoded)
}

// applyListing takes in what discovery told. Connections follow it before the module
// hears of it.
func (l *eventLoop) applyListing(listing Listing, kind policy.ListKind) {
	event := policy.EndpointsUpdated{Kind: kind}
	listed := map[policy.BackendID]bool{}
	for _, instance := range listing.Instances {
		backend, err := instance.toBackend(l.deployment)
		if err != nil {
			l.log.Warn("discovery: an entry can't be read", "error", err)
			// What can't be read of a backend in use may be that it drains.
			backend = policy.Backend{ID: backendID(instance.ID), State: policy.Draining}
			if l.instanceNames[backend.ID] != instance.ID {
				continue
			}
		}
		if name, known := l.instanceNames[backend.ID]; known && name != instance.ID {
			l.log.Warn("discovery: two instances have one id; the second is left out", "first", name, "second", instance.ID)
			continue
		}
		listed[backend.ID] = true
		event.Entries = append(event.Entries, backend)
		if backend.State == policy.Ready {
			l.instanceNames[backend.ID] = instance.ID
			l.transport.updateEndpoint(backend.ID, instance.HostPort, backend.StartedAt)
		} else {
			delete(l.instanceNames, backend.ID)
			l.transport.removeEndpoint(backend.ID)
		}
	}
	if kind != policy.Delta {
		for id := range l.instanceNames {
			if !listed[id] {
				delete(l.instanceNames, id)
				l.transport.removeEndpoint(id)
			}
		}
	}
	l.handleEvent(event)
	if kind != policy.CachedList {
		l.onListing()
	}
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

// startAttempt starts an attempt. What is over, was tried too often or belongs to a client
// that has left gets none.
func (l *eventLoop) startAttempt(action policy.SendAttempt) {
	req := l.requests[action.Request]
	if req == nil {
		l.log.Error("an attempt for a request that is not known", "request", action.Request)
		return
	}
	now := l.clock.now()
	a := &attempt{request: req, number: len(req.attempts), backend: action.Backend, sentAt: now, deadline: req.decoded.Deadline}
	if action.Timeout > 0 {
		a.deadline = min(a.deadline, now+action.Timeout)
	}
	a.socketDeadline = l.clock.toTime(a.deadline)
	req.attempts = append(req.attempts, a)
	req.attemptsInFlight++
	if a.number > 0 {
		l.metrics.add(attemptsRetried)
	}
	if !req.unanswered || req.disconnected.Load() || a.number >= max(l.deployment.MaxAttempts, 1) || a.deadline <= now {
		l.finishAttempt(a, attemptResult{outcome: policy.NotSent})
		return
	}
	a.ctx, a.cancelContext = context.WithCancel(context.Background())
	l.timers.add(timerEntry{at: a.deadline, attempt: a})
	l.attempts.Add(1)
	l.transport.startAttempt(a, func(result attemptResult) {
		defer l.attempts.Done()
		a.cancelContext()
		l.post(attemptDone{a, result})
	})
}

// finishAttempt takes an attempt's one end; what comes after it is dropped.
func (l *eventLoop) finishAttempt(a *attempt, result attemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	l.metrics.attempts[result.outcome].Add(1)
	req := a.request
	req.attemptsInFlight--
	if result.outcome == policy.Served && req.unanswered {
		l.metrics.add(requestsServed)
		header := forwardedHeaders(result.header)
		header.Del(loadHeader) // for gateways, not for clients
		l.respond(req.decoded.ID, clientResponse{status: http.StatusOK, header: header, body: result.body})
	}
	l.handleEvent(policy.AttemptEnded{Request: req.decoded.ID, Attempt: a.number, Backend: a.backend, Outcome: result.outcome,
		Latency: l.clock.now() - a.sentAt, RequestOver: !req.unanswered})
	l.forget(req)
}

// cancelUnsent ends the attempts of a request whose client has left, as far as they
// have not been sent. Where a deployment lets no attempt be cancelled, one
// that waits for its connection would be sent on for nobody.
func (l *eventLoop) cancelUnsent(req *clientRequest) {
	for _, a := range req.attempts {
		if !a.ended && a.cancelUnsent() {
			l.finishAttempt(a, attemptResult{outcome: policy.NotSent})
		}
	}
}

func (l *eventLoop) cancelAttempt(action policy.CancelAttempt) {
	req := l.requests[action.Request]
	if req == nil || action.Attempt >= len(req.attempts) || req.attempts[action.Attempt].ended {
		return
	}
	a := req.attempts[action.Attempt]
	a.cancel()
	outcome := policy.Cancelled
	if l.clock.now() >= a.deadline-timeoutTolerance {
		outcome = policy.TimedOut // the module learns from it
	}
	l.finishAttempt(a, attemptResult{outcome: outcome})
}

// respond gives a request its final answer, if it has none.
func (l *eventLoop) respond(id policy.RequestID, response clientResponse) {
	req := l.requests[id]
	if req == nil || !req.unanswered {
		return
	}
	req.unanswered = false
	req.response <- response // it has room for one, and one is all it gets
	l.forget(req)
}

// forget forgets a request that has its answer and nothing out.
func (l *eventLoop) forget(req *clientRequest) {
	if !req.unanswered && req.attemptsInFlight == 0 {
		delete(l.requests, req.decoded.ID)
		delete(l.openIDs, req.correlationID)
	}
}

func (l *eventLoop) callCounter(action policy.CounterAdd) {
	call := &counterCall{id: action.Call, key: action.Name, amount: action.Amount, sentAt: l.clock.now(),
		ttl: min(max(time.Duration(action.TTL*float64(time.Second)), minCounterTTL), maxCounterTTL)}
	call.report = func(call *counterCall, outcome policy.Outcome, total float64) {
		l.post(counterCallDone{call, outcome, total})
	}
	l.pendingCalls[call.key] = append(l.pendingCalls[call.key], call)
	l.counterCalls.Add(1)
	if l.counter == nil || !l.counter.enqueue(call) {
		l.counterCallsUnanswered.Add(1)
		l.finishCall(call, policy.Rejected, 0)
		return
	}
	l.timers.add(timerEntry{at: call.sentAt + l.deployment.CounterTimeout, call: call})
}

// finishCall takes a call's one end. The module takes the replies for one
// name in the order of the calls, but a call that is turned away here, or goes
// out on a new connection, may end before an earlier one; it waits for that. What
// becomes of a call that was given up is told all the same.
func (l *eventLoop) finishCall(call *counterCall, outcome policy.Outcome, total float64) {
	if call.ended {
		if call.outcome == policy.TimedOut {
			l.handleEvent(policy.LateCounterReply{Call: call.id, Outcome: outcome, Total: total})
		}
		return
	}
	call.ended, call.outcome, call.total = true, outcome, total
	l.metrics.calls[outcome].Add(1)
	if outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.ConnectionReset {
		l.counterCallsUnanswered.Add(1)
	}
	for ordered := l.pendingCalls[call.key]; len(ordered) > 0 && ordered[0].ended; ordered = l.pendingCalls[call.key] {
		call := ordered[0]
		if l.pendingCalls[call.key] = ordered[1:]; len(ordered) == 1 {
			delete(l.pendingCalls, call.key)
		}
		l.handleEvent(policy.CounterReply{Name: call.key, Outcome: call.outcome, Total: call.total, Latency: l.clock.now() - call.sentAt})
	}
}

// timeOutCall ends a call whose time is over. An answer that has begun, and may never
// end, says as much as one that can't be read: the amount was added. Told
// as silence, it would pass for a crowd, and what it added would be lost. A refusal
// cut to pieces on its way passes for added too; what is taken back then is one call's.
func (l *eventLoop) timeOutCall(call *counterCall) {
	call.abandoned.Store(true)
	outcome := policy.TimedOut
	if call.responseStarted.Load() {
		outcome = policy.Failed
	}
	l.finishCall(call, outcome, 0)
}

// isStale tells whether nobody waits for a timer any more. Such timers are most of
// all, and the process is not woken for them.
func (l *eventLoop) isStale(t timerEntry) bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended
	case t.call != nil:
		return t.call.ended
	case t.request != 0:
		return l.requests[t.request] == nil
	}
	return false
}

func (l *eventLoop) fireTimer(t timerEntry) {
	switch {
	case t.attempt != nil:
		t.attempt.cancel()
		l.finishAttempt(t.attempt, attemptResult{outcome: policy.TimedOut})
	case t.call != nil:
		l.timeOutCall(t.call)
	default:
		l.handleEvent(policy.TimerFired{Token: t.token})
	}
}

// timerEntry is a timer of the module's, or the time-out of an attempt or call.
type timerEntry struct {
	at      float64
	token   uint64
	request policy.RequestID // 0: the timer belongs to none
	attempt *attempt
	call    *counterCall
}

// timerHeap has the earliest timer first.
type timerHeap []timerEntry

func (h *timerHeap) add(t timerEntry)  { heap.Push(h, t) }
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(t any)        { *h = append(*h, t.(timerEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return t
}

// recentIDs remembers ids for a while: those of the present span and of the last.
type recentIDs struct {
	current, previous map[string]struct{}
	currentSince      float64
}

const (
	recentIDWindow = 4.0     // seconds
	maxRecentIDs   = 1 << 13 // ids of a span; then the next begins
)

// add tells whether an id is new, and remembers it.
func (r *recentIDs) add(id string, now float64) bool {
	if r.current == nil || now-r.currentSince > recentIDWindow || len(r.current) >= maxRecentIDs {
		r.current, r.previous, r.currentSince = map[string]struct{}{}, r.current, now
	}
	if _, seen := r.current[id]; seen {
		return false
	}
	if _, seen := r.previous[id]; seen {
		return false
	}
	r.current[id] = struct{}{}
	return true
}
