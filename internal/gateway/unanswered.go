package gateway

import (
	"log/slog"
	"time"
)

// Limits of awaitAnswers.
const (
	finalPolls        = 100 // number of checks for answers that are still being written
	finalPollInterval = 10 * time.Millisecond
	maxLoggedRequests = 32 // maximum number of unanswered requests that are logged
)

// unansweredRequest is an open request with the address of its client.
type unansweredRequest struct {
	*clientRequest
	client string // address of the client
}

// unanswered returns requests that have been decoded but whose answers have not been completely written. It returns no
// more requests than limit.
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

// awaitAnswers waits for answers that are still being written at the end of a graceful shutdown, and then logs the
// requests without an answer. The wait is limited by a number of checks instead of a time. A process that was stalled
// until the end of the shutdown can therefore still write its answers.
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
