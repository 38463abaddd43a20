package gateway

import (
	"context"
	"net/http"

	"amberlb/policy"
)

// timeoutTolerance is in seconds: an attempt that is cancelled so close to its deadline has timed out.
const timeoutTolerance = 0.001

// transport carries out attempts. The loop calls its methods, which wait for nothing.
type transport interface {
	// updateEndpoint tells where a ready backend is, and since when it has run.
	updateEndpoint(id policy.BackendID, address string, startedAt float64)
	// removeEndpoint ends all new sending to a backend.
	removeEndpoint(id policy.BackendID)
	// startAttempt starts an attempt, which ends by its socket deadline or when it is cancelled. onDone is then
	// called once, on another goroutine than the caller's.
	startAttempt(a *attempt, onDone func(attemptResult))
}

// startAttempt starts an attempt that the engine has decided on. It ends at once, unsent, where none may begin.
func (l *eventLoop) startAttempt(action policy.SendAttempt) {
	req := l.requests[action.Request]
	if req == nil {
		l.log.Error("an attempt for a request that is not known", "request", action.Request)
		return
	}
	a := l.addAttempt(req, action)
	if a.number > 0 {
		l.metrics.add(attemptsRetried)
	}
	if !l.canStart(a) {
		l.finishAttempt(a, attemptResult{outcome: policy.NotSent})
		return
	}
	a.ctx, a.cancelContext = context.WithCancel(context.Background())
	l.timers.schedule(a.deadline, attemptDeadline{a})
	l.attempts.Add(1)
	l.transport.startAttempt(a, func(result attemptResult) {
		defer l.attempts.Done()
		a.cancelContext()
		l.post(attemptDone{a, result})
	})
}

// addAttempt adds the next attempt to a request. Its deadline is the request's, or the end of its own time if that
// comes first.
func (l *eventLoop) addAttempt(req *clientRequest, action policy.SendAttempt) *attempt {
	now := l.clock.now()
	a := &attempt{
		request:  req,
		number:   len(req.attempts),
		backend:  action.Backend,
		sentAt:   now,
		deadline: req.decoded.Deadline,
	}
	if action.Timeout > 0 {
		a.deadline = min(a.deadline, now+action.Timeout)
	}
	a.socketDeadline = l.clock.toTime(a.deadline)
	req.attempts = append(req.attempts, a)
	req.attemptsInFlight++
	return a
}

// canStart reports whether an attempt may be sent: its request has no answer yet, a client that waits, attempts left
// by the deployment's limit, and time.
func (l *eventLoop) canStart(a *attempt) bool {
	req := a.request
	clientWaits := req.unanswered && !req.disconnected.Load()
	return clientWaits && a.number < max(l.deployment.MaxAttempts, 1) && a.deadline > a.sentAt
}

// finishAttempt handles the one end of an attempt. What is reported of it afterwards is dropped.
func (l *eventLoop) finishAttempt(a *attempt, result attemptResult) {
	if a.ended {
		return
	}
	a.ended = true
	l.metrics.attempts[result.outcome].Add(1)
	req := a.request
	req.attemptsInFlight--
	if result.outcome == policy.Served && req.unanswered {
		l.respondServed(req, result)
	}
	l.handleEvent(policy.AttemptEnded{
		Request:     req.decoded.ID,
		Attempt:     a.number,
		Backend:     a.backend,
		Outcome:     result.outcome,
		Latency:     l.clock.now() - a.sentAt,
		RequestOver: !req.unanswered,
	})
	l.forget(req)
}

// respondServed passes a backend's response on to the client.
func (l *eventLoop) respondServed(req *clientRequest, result attemptResult) {
	l.metrics.add(requestsServed)
	header := forwardedHeaders(result.header)
	header.Del(loadHeader) // for gateways, not for clients
	l.respond(req.decoded.ID, clientResponse{status: http.StatusOK, header: header, body: result.body})
}

// cancelAttempt ends an attempt by the engine's decision.
func (l *eventLoop) cancelAttempt(action policy.CancelAttempt) {
	req := l.requests[action.Request]
	if req == nil || action.Attempt >= len(req.attempts) || req.attempts[action.Attempt].ended {
		return
	}
	a := req.attempts[action.Attempt]
	a.cancel()
	outcome := policy.Cancelled
	if l.clock.now() >= a.deadline-timeoutTolerance {
		outcome = policy.TimedOut // the engine learns from it
	}
	l.finishAttempt(a, attemptResult{outcome: outcome})
}

// cancelUnsent ends the attempts of a request whose client has disconnected, as far as they have not been fully written.
// Where a deployment lets no attempt be cancelled, one that waits for its connection would be forwarded for nobody.
func (l *eventLoop) cancelUnsent(req *clientRequest) {
	for _, a := range req.attempts {
		if !a.ended && a.cancelUnsent() {
			l.finishAttempt(a, attemptResult{outcome: policy.NotSent})
		}
	}
}
