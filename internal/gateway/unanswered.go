package gateway

import (
	"log/slog"
	"time"
)

// Limits for the requests that are unanswered at the end of a graceful shutdown.
const (
	finalPolls        = 100 // checks for answers that are still being written
	finalPollInterval = 10 * time.Millisecond
	maxLoggedRequests = 32 // limit on the log lines about single requests
)

// unansweredRequest is an open request together with its client.
type unansweredRequest struct {
	*clientRequest
	client string // the client's address
}

// unanswered returns requests that have been decoded and not answered, at most limit.
func (c *clientConnections) unanswered(limit int) []unansweredRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []unansweredRequest
	for conn := range c.conns {
		if len(requests) == limit {
			break
		}
		if req := conn.request.Load(); req != nil {
			requests = append(requests, unansweredRequest{clientRequest: req, client: conn.RemoteAddr().String()})
		}
	}
	return requests
}

// awaitAnswers waits for answers that are still being written, and logs the requests that are left without one. It
// counts checks instead of time: a process that was stalled until the end gets as many chances to run as any other.
func (s *server) awaitAnswers() {
	for range finalPolls {
		if len(s.clientConnections.unanswered(1)) == 0 {
			return
		}
		time.Sleep(finalPollInterval)
	}
	for _, req := range s.clientConnections.unanswered(maxLoggedRequests) {
		s.logUnanswered(req)
	}
}

// logUnanswered logs a request that the shutdown leaves without a complete answer.
func (s *server) logUnanswered(req unansweredRequest) {
	openFor := toDuration(s.frontend.loop.clock.now() - req.policyRequest.SentAt)
	s.log.Error("shutdown: a request is left without its complete answer", slog.Group("request",
		"id", req.correlationID,
		"class", s.config.ClassNames[req.policyRequest.Class],
		"client", req.client,
		"open", openFor))
}
