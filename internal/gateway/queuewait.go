package gateway

import (
	"net"
	"time"
)

// queueEmpty is how long Accept has to take for the kernel's queue to have been empty when it was called.
const queueEmpty = time.Millisecond

// queueWait bounds how long a connection has waited in the kernel's queue before it was accepted. The kernel does not
// say when a connection came; but one that Accept returns at once can have come at any moment since the queue was last
// empty, and what counts of that is the time that the acceptor spent elsewhere. It is the acceptor's own; the zero value
// is an acceptor that begins.
type queueWait struct {
	returned time.Time     // Accept's last return
	called   time.Time     // and its last call
	behind   time.Duration // spent outside of Accept since the queue was last known to be empty
}

// asked notes that Accept is called.
func (q *queueWait) asked(now time.Time) {
	if !q.returned.IsZero() {
		q.behind += now.Sub(q.returned)
	}
	q.called = now
}

// failed notes that Accept has returned no connection, whatever the queue holds.
func (q *queueWait) failed(now time.Time) { q.returned = now }

// accepted notes that Accept has returned a connection, and returns the earliest moment at which that can have come.
func (q *queueWait) accepted(now time.Time) (earliest time.Time) {
	if now.Sub(q.called) >= queueEmpty {
		q.behind = 0
	}
	q.returned = now
	return now.Add(-q.behind)
}

// waitedUnread is how long what has come on a connection may have waited by now, given when the connection can have
// come at the earliest; 0 if nothing has come.
func waitedUnread(conn net.Conn, earliest time.Time) time.Duration {
	if alive(conn) {
		return 0
	}
	return time.Since(earliest)
}

// takeWaited returns how long the first request has waited, once.
func (c *clientConn) takeWaited() time.Duration {
	waited := c.waited
	c.waited = 0
	return waited
}
