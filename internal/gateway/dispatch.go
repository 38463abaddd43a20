package gateway

import (
	"context"
	"net/http"

	"amberlb/policy"
)

// timeoutTolerance is a time in seconds. An attempt that the engine cancels counts as timed out if at most
// timeoutTolerance is left until the attempt's deadline, or if the deadline has passed.
const timeoutTolerance = 0.001

// transport sends attempts to backends. The event loop calls its methods, which must not block.
type transport interface {
	// updateEndpoint sets the address of a ready backend and the time, in Unix seconds, at which its process started.
	updateEndpoint(id policy.BackendID, address string, startedAt float64)
	// removeEndpoint makes further attempts at a backend fail until updateEndpoint is called for the backend.
	removeEndpoint(id policy.BackendID)
	// startAttempt starts an attempt. onDone is called once, on a goroutine other than the event loop's, when the
	// attempt has a result, reaches its socket deadline or is cancelled.
	startAttempt(a *attempt, onDone func(attemptResult))
}

// startAttempt carries out the engine's decision to send an attempt. If the attempt may no longer be sent (see
// canStart), it ends at once as policy.NotSent.
func (l *eventLoop) startAttempt(action policy.SendAttempt) {
	req := l.requests[action.Request]
	if req == nil {
		l.log.Error("attempt for an unknown request", "request", action.Request)
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
	a.deadlineTimer = l.timers.schedule(a.deadline, attemptDeadline{a})
	l.attempts.Add(1)
	l.transport.startAttempt(a, func(result attemptResult) {
		defer l.attempts.Done()
		a.cancelContext()
		if !l.post(attemptDone{a, result}) {
			result.memory.release()
		}
	})
}

// addAttempt adds an attempt to its request. The attempt's deadline is the request's deadline, or the end of
// action.Timeout if action.Timeout is set and ends first.
func (l *eventLoop) addAttempt(req *clientRequest, action policy.SendAttempt) *attempt {
	now := l.clock.now()
	a := &attempt{
		request:  req,
		number:   len(req.attempts),
		backend:  action.Backend,
		sentAt:   now,
		deadline: req.policyRequest.Deadline,
	}
	if action.Timeout > 0 {
		a.deadline = min(a.deadline, now+action.Timeout)
	}
	a.socketDeadline = l.clock.toTime(a.deadline)
	req.attempts = append(req.attempts, a)
	req.attemptsInFlight++
	return a
}

// canStart reports whether an attempt may be sent: its request is unanswered, the client is connected, the deployment's
// limit on attempts per request is not exceeded, and the deadline has not passed.
func (l *eventLoop) canStart(a *attempt) bool {
	req := a.request
	needsAnswer := req.unanswered && !req.disconnected.Load()
	return needsAnswer && a.number < max(l.deployment.MaxAttempts, 1) && a.deadline > a.sentAt
}

// finishAttempt ends an attempt, and does nothing if the attempt has already ended. If the outcome is policy.Served and
// the request is unanswered, finishAttempt sends the backend's response to the client. It then reports the outcome to
// the engine, and removes the request if the request is done (see removeIfDone).
func (l *eventLoop) finishAttempt(a *attempt, result attemptResult) {
	if a.ended {
		result.memory.release()
		return
	}
	a.ended = true
	l.timers.cancel(a.deadlineTimer)
	l.metrics.attempts[result.outcome].Add(1)
	req := a.request
	req.attemptsInFlight--
	if result.outcome == policy.Served && req.unanswered {
		l.respondServed(req, result)
	} else {
		result.memory.release()
	}
	l.handleEvent(policy.AttemptEnded{
		Request:     req.policyRequest.ID,
		Attempt:     a.number,
		Backend:     a.backend,
		Outcome:     result.outcome,
		Latency:     l.clock.now() - a.sentAt,
		RequestOver: !req.unanswered,
	})
	l.removeIfDone(req)
}

// respondServed forwards a backend's response to the client.
func (l *eventLoop) respondServed(req *clientRequest, result attemptResult) {
	l.metrics.add(requestsServed)
	req.responseMemory = result.memory
	header := forwardedHeaders(result.header)
	header.Del(loadHeader) // the header is meant for gateways only
	l.respond(req.policyRequest.ID, clientResponse{status: http.StatusOK, header: header, body: result.body})
}

// cancelAttempt carries out the engine's decision to cancel an attempt. It does nothing if the request is no longer
// open or the attempt has ended. The outcome is policy.TimedOut if the attempt's deadline has passed or is at most
// timeoutTolerance away, and policy.Cancelled otherwise.
func (l *eventLoop) cancelAttempt(action policy.CancelAttempt) {
	req := l.requests[action.Request]
	if req == nil || action.Attempt >= len(req.attempts) || req.attempts[action.Attempt].ended {
		return
	}
	a := req.attempts[action.Attempt]
	a.cancel()
	outcome := policy.Cancelled
	if l.clock.now() >= a.deadline-timeoutTolerance {
		outcome = policy.TimedOut // unlike a cancel, a timeout adjusts the engine's concurrency limit
	}
	l.finishAttempt(a, attemptResult{outcome: outcome})
}

// cancelUnsentAttempts cancels each attempt of a request unless the request has been fully written to the attempt's
// backend. It is called after the client has disconnected. The engine may leave unsent attempts running. An attempt
// that is being written would then be completed, and an attempt that waits for a connection would go on dialing.
func (l *eventLoop) cancelUnsentAttempts(req *clientRequest) {
	for _, a := range req.attempts {
		if !a.ended && a.cancelUnsent() {
			l.finishAttempt(a, attemptResult{outcome: policy.NotSent})
		}
	}
}
