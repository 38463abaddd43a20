package gateway

import (
	"net/http"

	"amberlb/policy"
)

// responseMargin is how much of a request's deadline, in seconds, is kept for the loop, the write and the way to the
// client.
const responseMargin = 0.005

// startRequest gives a request an id of its own and hands it to the engine. A request over the deployment's limit,
// or under a correlation id that is in use, is answered at once; nothing has been sent for it.
func (l *eventLoop) startRequest(req *clientRequest) {
	if l.deployment.MaxOpenRequests > 0 && len(l.requests) >= l.deployment.MaxOpenRequests {
		l.metrics.add(requestsOverOpenLimit)
		req.response <- clientResponse{status: http.StatusServiceUnavailable}
		return
	}
	if !l.claimCorrelationID(req) {
		l.metrics.add(requestsConflicting)
		req.response <- clientResponse{status: http.StatusConflict}
		return
	}
	l.metrics.add(requestsAccepted)
	req.decoded.ID = l.unusedRequestID()
	req.unanswered = true
	l.requests[req.decoded.ID] = req
	l.handleEvent(req.decoded)
}

// claimCorrelationID reserves the client's id for a request, and returns false if it is in use. An id names one
// request: a second one under it, from whatever client, could be answered by what a backend made for the first. The
// ids of open requests stay reserved; others are free again after a while, or when many come.
func (l *eventLoop) claimCorrelationID(req *clientRequest) bool {
	if _, open := l.openCorrelationIDs[req.correlationID]; open {
		return false
	}
	if !l.recentIDs.add(req.correlationID, req.decoded.SentAt) {
		return false
	}
	l.openCorrelationIDs[req.correlationID] = struct{}{}
	return true
}

// unusedRequestID returns an id that no request of the loop has. Ids are used again once their type's range is over.
func (l *eventLoop) unusedRequestID() policy.RequestID {
	for {
		l.lastRequestID = max(l.lastRequestID+1, 1) // 0 stands for no request
		if _, taken := l.requests[l.lastRequestID]; !taken {
			return l.lastRequestID
		}
	}
}

// dropDisconnected ends a request whose client has closed its connection or its sending, unless it has been answered.
// Attempts that are fully written may still be executed; the engine decides whether they are cancelled.
func (l *eventLoop) dropDisconnected(req *clientRequest) {
	if !req.unanswered {
		return
	}
	l.metrics.add(clientsDisconnected)
	req.unanswered = false
	l.handleEvent(policy.ClientDisconnected{Request: req.decoded.ID})
	l.cancelUnsent(req)
	l.forget(req)
}

// respond gives a request its final answer, if it has none.
func (l *eventLoop) respond(id policy.RequestID, response clientResponse) {
	req := l.requests[id]
	if req == nil || !req.unanswered {
		return
	}
	req.unanswered = false
	req.response <- response // the channel has capacity for one, and one is all that it gets
	l.forget(req)
}

// forget removes a request that needs no answer any more and has no attempt in flight. Before that it does nothing.
func (l *eventLoop) forget(req *clientRequest) {
	if !req.unanswered && req.attemptsInFlight == 0 {
		delete(l.requests, req.decoded.ID)
		delete(l.openCorrelationIDs, req.correlationID)
	}
}
