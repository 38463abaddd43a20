package gateway

import (
	"log/slog"
	"net/http"
	"time"
)

// drainPollInterval is the longest time for which awaitClosed waits before it looks for idle connections again.
const drainPollInterval = 100 * time.Millisecond

// drain closes the idle connections. It leaves a connection open if no request has been read from the connection yet,
// because the first request is about to arrive. After the call, each connection is closed when its requests have been
// answered. Requests that are incomplete at readCutoff are rejected.
func (c *clientConnections) drain(readCutoff time.Time) {
	c.setReadCutoff(readCutoff)
	c.closeIdle(func(conn *clientConn) bool { return !conn.isNew })
}

// setReadCutoff sets the time at which incomplete requests are rejected. The time also applies to requests that have
// already begun to arrive.
func (c *clientConnections) setReadCutoff(readCutoff time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCutoff = readCutoff
	for conn := range c.conns {
		conn.applyReadDeadline()
	}
}

// incompleteStatus returns the HTTP status with which an incomplete request on a connection is rejected.
func (c *clientConnections) incompleteStatus(conn *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pastCutoff := !c.readCutoff.IsZero() && !time.Now().Before(c.readCutoff)
	if conn.closing || pastCutoff {
		return http.StatusServiceUnavailable // the gateway needs the slot or is shutting down: the client may retry
	}
	return http.StatusRequestTimeout
}

// closeAllIdle closes all idle connections, even if no request has been read from them yet. After the call, each
// connection is closed when its requests have been answered.
func (c *clientConnections) closeAllIdle() { c.closeIdle(func(*clientConn) bool { return true }) }

// closeIdle closes the idle connections for which matches returns true. After the call, each connection is closed when
// its requests have been answered.
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

// awaitClosed closes all idle connections (see closeAllIdle) until no connection is left. It returns false if
// connections are left after the timeout.
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

// LogValue returns the number of connections in each phase.
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
