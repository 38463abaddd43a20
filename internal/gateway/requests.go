package gateway

import (
	"context"
	"net/http"

	"amberlb/policy"
)

const (
	responseMargin   = 0.005 // seconds of a request's deadline kept for the loop, the write and the way to the client
	timeoutTolerance = 0.001 // seconds: an attempt cancelled so close to its deadline has timed out
)

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
	l.timers.schedule(a.deadline, attemptDeadline{a})
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
