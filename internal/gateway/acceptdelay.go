package gateway

import (
	"net"
	"time"
)

// emptyQueueThreshold is how long Accept has to take for the kernel's queue to have been empty when it was called.
const emptyQueueThreshold = time.Millisecond

// acceptDelay bounds how long a connection has waited in the kernel's queue before it was accepted. The kernel does not
// say when a connection came; but one that Accept returns at once can have come at any moment since the queue was last
// empty, and what counts of that is the time that the acceptor spent elsewhere. It is the acceptor's own; the zero value
// is an acceptor that begins.
type acceptDelay struct {
	lastReturn time.Time     // Accept's last return
	lastCall   time.Time     // and its last call
	busyTime   time.Duration // spent outside of Accept since the queue was last known to be empty
}

// acceptCalled notes that Accept is called.
func (q *acceptDelay) acceptCalled(now time.Time) {
	if !q.lastReturn.IsZero() {
		q.busyTime += now.Sub(q.lastReturn)
	}
	q.lastCall = now
}

// acceptFailed notes that Accept has returned no connection, whatever the queue holds.
func (q *acceptDelay) acceptFailed(now time.Time) { q.lastReturn = now }

// acceptReturned notes that Accept has returned a connection, and returns the earliest moment at which that can have come.
func (q *acceptDelay) acceptReturned(now time.Time) (earliest time.Time) {
	if now.Sub(q.lastCall) >= emptyQueueThreshold {
		q.busyTime = 0
	}
	q.lastReturn = now
	return now.Add(-q.busyTime)
}

// unreadDelay is how long what has come on a connection may have waited by now, given when the connection can have
// come at the earliest; 0 if nothing has come.
func unreadDelay(conn net.Conn, earliest time.Time) time.Duration {
	if isQuiet(conn) {
		return 0
	}
	return time.Since(earliest)
}

// takeFirstRequestDelay returns how long the first request has waited, once.
func (c *clientConn) takeFirstRequestDelay() time.Duration {
	delay := c.firstRequestDelay
	c.firstRequestDelay = 0
	return delay
}
