package gateway

import (
	"net/http"

	"amberlb/policy"
)

// responseMargin is the time in seconds before the client's deadline that is reserved for handling the result in the
// event loop, for writing the answer and for delivering the answer to the client.
const responseMargin = 0.005

// startRequest assigns an internal id to a request and hands the request to the engine. It rejects the request instead,
// before any attempt, if the deployment's limit of open requests is reached or the correlation id is in use.
func (l *eventLoop) startRequest(req *clientRequest) {
	if l.deployment.MaxOpenRequests > 0 && len(l.requests) >= l.deployment.MaxOpenRequests {
		l.metrics.add(requestsOverOpenLimit)
		req.response <- clientResponse{status: http.StatusServiceUnavailable}
		req.removeOwner()
		return
	}
	if !l.claimCorrelationID(req) {
		l.metrics.add(requestsConflicting)
		req.response <- clientResponse{status: http.StatusConflict}
		req.removeOwner()
		return
	}
	l.metrics.add(requestsAccepted)
	req.policyRequest.ID = l.unusedRequestID()
	req.unanswered = true
	l.requests[req.policyRequest.ID] = req
	l.handleEvent(req.policyRequest)
}

// claimCorrelationID reserves the correlation id of a request, and returns false if the id is in use. A correlation id
// identifies a single request: a second request with the same id, from any client, might get the response that a
// backend made for the first request. The id of an open request stays reserved. The id of a finished request becomes
// free again when recentIDs no longer holds it.
func (l *eventLoop) claimCorrelationID(req *clientRequest) bool {
	if _, open := l.openCorrelationIDs[req.correlationID]; open {
		return false
	}
	if !l.recentIDs.add(req.correlationID, req.policyRequest.SentAt) {
		return false
	}
	l.openCorrelationIDs[req.correlationID] = struct{}{}
	return true
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
		for _, scheduled := range req.timers {
			l.timers.cancel(scheduled)
		}
		req.removeOwner()
	}
}
