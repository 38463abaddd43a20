package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

// drainPollInterval is the time between two searches for idle connections at the end of a graceful shutdown.
const drainPollInterval = 100 * time.Millisecond

// drain closes connections that are idle, now and as they become so. New ones are left, since a request is about to come
// on them. Requests that are not complete by readCutoff are rejected.
func (c *clientConnections) drain(readCutoff time.Time) {
	c.setReadCutoff(readCutoff)
	c.closeIdle(func(conn *clientConn) bool { return !conn.isNew })
}

// setReadCutoff bounds the reading of requests, those that have begun included.
func (c *clientConnections) setReadCutoff(readCutoff time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCutoff = readCutoff
	for conn := range c.conns {
		conn.applyReadDeadline()
	}
}

// incompleteStatus returns the status for a request whose rest is not waited for.
func (c *clientConnections) incompleteStatus(conn *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pastCutoff := !c.readCutoff.IsZero() && !time.Now().Before(c.readCutoff)
	if conn.closing || pastCutoff {
		return http.StatusServiceUnavailable // the gateway lacks capacity or time for it: a retry is harmless
	}
	return http.StatusRequestTimeout
}

// closeAllIdle closes connections that are idle, now and as they become so, new ones included.
func (c *clientConnections) closeAllIdle() { c.closeIdle(func(*clientConn) bool { return true }) }

// closeIdle closes the idle connections that match, and from now on each that becomes idle.
func (c *clientConnections) closeIdle(matches func(*clientConn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for e := c.idle.Front(); e != nil; e = e.Next() {
		conn := e.Value.(*clientConn)
		if conn.phase.load() == phaseIdle && matches(conn) {
			c.closeWhenIdle(conn)
		}
	}
}

// awaitClosed closes idle connections, new ones included, until none is left. It returns false if some are left after
// timeout.
func (c *clientConnections) awaitClosed(timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		c.closeAllIdle()
		if c.count() == 0 {
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

// count returns the number of connections.
func (c *clientConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// LogValue lists the number of connections by phase.
func (c *clientConnections) LogValue() slog.Value {
	phases := c.countByPhase()
	attrs := make([]slog.Attr, 0, connPhaseCount)
	for phase := range connPhaseCount {
		attrs = append(attrs, slog.Int(phase.String(), phases[phase]))
	}
	return slog.GroupValue(attrs...)
}

// countByPhase returns the number of connections in each phase.
func (c *clientConnections) countByPhase() (counts [connPhaseCount]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		counts[conn.phase.load()]++
	}
	return counts
}
