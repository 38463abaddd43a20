package gateway

import (
	"log/slog"
	"time"
)

// What is done at the end of a graceful shutdown for requests without their answer.
const (
	finalPolls        = 100 // looks for answers that are still being written
	finalPollInterval = 10 * time.Millisecond
	maxLoggedRequests = 32 // bounds the log lines about single requests
)

// unansweredRequest is a request that is open on a client's connection.
type unansweredRequest struct {
	*clientRequest
	client string // the client's address
}

// unanswered lists requests that have been decoded and not answered, limit at most.
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

// awaitResponses waits for requests without their answer, and logs those that are left. It counts looks and not time: a
// process that was held up until the end is given as many chances to run as any other.
func (s *server) awaitResponses() {
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

// logUnanswered logs a request that the shutdown leaves without its answer.
func (s *server) logUnanswered(req unansweredRequest) {
	openFor := seconds(s.frontend.loop.clock.now() - req.decoded.SentAt)
	s.log.Error("shutdown: a request is left without its complete answer", slog.Group("request",
		"id", req.correlationID,
		"class", s.config.ClassNames[req.decoded.Class],
		"client", req.client,
		"open", openFor))
}
