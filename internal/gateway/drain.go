package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

// drain ends the connections that are idle, now and as they become so. New ones
// are left, since a request is about to come on them. Requests that are not whole
// by cutoff are refused.
func (c *clientConnections) drain(readCutoff time.Time) {
	c.mu.Lock()
	c.readCutoff = readCutoff
	for conn := range c.conns {
		conn.applyReadDeadline()
	}
	c.mu.Unlock()
	c.closeIdle(func(conn *clientConn) bool { return !conn.isNew })
}

// incompleteStatus is the status for a request of which the rest is not waited for.
func (c *clientConnections) incompleteStatus(conn *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.closing || !c.readCutoff.IsZero() && !time.Now().Before(c.readCutoff) {
		return http.StatusServiceUnavailable // the gateway has no place or no time for it: trying again is harmless
	}
	return http.StatusRequestTimeout
}

// closeNew ends the connections on which no request has begun.
func (c *clientConnections) closeNew() { c.closeIdle(func(*clientConn) bool { return true }) }

func (c *clientConnections) closeIdle(matches func(*clientConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for e := c.idle.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(*clientConn); conn.phase.Load() == phaseIdle && matches(conn) {
			c.closeWhenIdle(conn)
		}
	}
}

// awaitClosed waits until no connection is left, for so long at most, and ends those
// that are still new.
func (c *clientConnections) awaitClosed(timeout time.Duration) bool {
	for expired := time.After(timeout); ; {
		c.closeNew()
		c.mu.Lock()
		remaining := len(c.conns)
		c.mu.Unlock()
		if remaining == 0 {
			return true
		}
		select {
		case <-c.slotFreed:
		case <-time.After(drainPollInterval):
		case <-expired:
			return false
		}
	}
}

// unanswered lists requests that have been taken and not answered, so many at most.
func (c *clientConnections) unanswered(limit int) []unansweredRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var requests []unansweredRequest
	for conn := range c.conns {
		if req := conn.request.Load(); req != nil && len(requests) < limit {
			requests = append(requests, unansweredRequest{clientRequest: req, client: conn.RemoteAddr().String()})
		}
	}
	return requests
}

// LogValue tells how many connections there are, by phase.
func (c *clientConnections) LogValue() slog.Value {
	var phases [phaseOpen + 1]int
	c.mu.Lock()
	for conn := range c.conns {
		phases[conn.phase.Load()]++
	}
	c.mu.Unlock()
	return slog.GroupValue(slog.Int("idle", phases[phaseIdle]), slog.Int("reading", phases[phaseReading]), slog.Int("open", phases[phaseOpen]))
}
