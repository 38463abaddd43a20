package gateway

import (
	"net/http"

	"amberlb/policy"
)

// responseMargin is the time in seconds before the client's deadline that is reserved for handling the result in the
// event loop, for writing the answer and for delivering the answer to the client.
const responseMargin = 0.005

// startRequest assigns an internal id to a request and hands the request to the engine. It rejects the request instead,
// before any attempt, if the deployment's limit of open requests is reached, the correlation id is in use, or the id of a
// further request could not be remembered.
func (l *eventLoop) startRequest(req *clientRequest) {
	switch {
	case l.deployment.MaxOpenRequests > 0 && len(l.requests) >= l.deployment.MaxOpenRequests:
		l.turnAway(req, requestsOverOpenLimit, clientResponse{status: http.StatusServiceUnavailable})
	case l.correlationIDInUse(req.correlationID):
		l.turnAway(req, requestsConflicting, clientResponse{status: http.StatusConflict})
	case !l.recentIDs.hasRoom(len(l.requests), l.clock.now()):
		l.turnAway(req, requestsOverIDLimit, l.unavailable())
	default:
		l.metrics.add(requestsAccepted)
		req.policyRequest.ID = l.unusedRequestID()
		req.unanswered = true
		l.requests[req.policyRequest.ID] = req
		l.openCorrelationIDs[req.correlationID] = struct{}{}
		l.handleEvent(req.policyRequest)
	}
}

// turnAway answers a request that is not handed to the engine, and counts it.
func (l *eventLoop) turnAway(req *clientRequest, reason metric, response clientResponse) {
	l.metrics.add(reason)
	req.response <- response
	req.removeOwner()
}

// unavailable returns the answer to a request that is rejected for lack of capacity.
func (l *eventLoop) unavailable() clientResponse {
	return clientResponse{status: http.StatusServiceUnavailable, retryAfter: l.deployment.LongestRetryAfter()}
}

// correlationIDInUse reports whether a correlation id belongs to an open request, or to a recent one that was forwarded. A
// correlation id identifies a single request: a second request with the same id, from any client, might get the response
// that a backend made for the first request, or be executed again. The id of a request that was never forwarded is free
// as soon as the request has ended.
func (l *eventLoop) correlationIDInUse(id string) bool {
	_, open := l.openCorrelationIDs[id]
	return open || l.recentIDs.has(id)
}

// unusedRequestID returns an id that no request of the loop has. The ids wrap around at the end of their type's
// range.
func (l *eventLoop) unusedRequestID() policy.RequestID {
	for {
		l.lastRequestID = max(l.lastRequestID+1, 1) // the id 0 means no request
		if _, taken := l.requests[l.lastRequestID]; !taken {
			return l.lastRequestID
		}
	}
}

// dropDisconnected ends a request whose client has closed its connection or its sending side, unless the request has
// been answered. Attempts that are not fully written are cancelled. Backends may execute the other attempts; the engine
// decides whether to cancel them.
func (l *eventLoop) dropDisconnected(req *clientRequest) {
	if !req.unanswered {
		return
	}
	l.metrics.add(clientsDisconnected)
	req.unanswered = false
	l.handleEvent(policy.ClientDisconnected{Request: req.policyRequest.ID})
	l.cancelUnsentAttempts(req)
	l.removeIfDone(req)
}

// respond gives a request its final answer. It does nothing if the request has been answered or its client has
// disconnected.
func (l *eventLoop) respond(id policy.RequestID, response clientResponse) {
	req := l.requests[id]
	if req == nil || !req.unanswered {
		return
	}
	req.unanswered = false
	req.response <- response // the send never blocks: the channel has capacity 1, and each request gets one answer
	l.removeIfDone(req)
}

// removeIfDone removes a request that needs no answer any more and has no attempt in flight. It does nothing for other
// requests, including those that it has removed before.
func (l *eventLoop) removeIfDone(req *clientRequest) {
	isOpen := l.requests[req.policyRequest.ID] == req
	if isOpen && !req.unanswered && req.attemptsInFlight == 0 {
		delete(l.requests, req.policyRequest.ID)
		delete(l.openCorrelationIDs, req.correlationID)
		if req.wasForwarded() {
			l.recentIDs.add(req.correlationID, l.clock.now())
		}
		for _, scheduled := range req.timers {
			l.timers.cancel(scheduled)
		}
		req.removeOwner()
	}
}
