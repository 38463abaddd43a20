package gateway

import (
	"net"
	"time"
)

// emptyQueueThreshold is how long Accept has to take for the kernel's queue to have been empty when it was called.
const emptyQueueThreshold = time.Millisecond

// acceptDelay bounds how long a connection has waited in the kernel's queue before it was accepted. The kernel does not
// say when a connection came; but one that Accept returns at once can have come at any moment since the queue was last
// empty, and what counts of that is the time that the acceptor spent elsewhere. It is owned by the goroutine that
// accepts; the zero value is that of an acceptor that begins.
type acceptDelay struct {
	lastReturn time.Time     // when Accept last returned; zero: never
	lastCall   time.Time     // when Accept was last called
	busyTime   time.Duration // spent outside of Accept since the queue was last known to be empty
}

// acceptCalled notes that Accept is called.
func (d *acceptDelay) acceptCalled(now time.Time) {
	if !d.lastReturn.IsZero() {
		d.busyTime += now.Sub(d.lastReturn)
	}
	d.lastCall = now
}

// acceptFailed notes that Accept has returned no connection, whatever the queue holds.
func (d *acceptDelay) acceptFailed(now time.Time) { d.lastReturn = now }

// acceptReturned notes that Accept has returned a connection, and returns the earliest moment at which that can have
// come.
func (d *acceptDelay) acceptReturned(now time.Time) (earliest time.Time) {
	if now.Sub(d.lastCall) >= emptyQueueThreshold {
		d.busyTime = 0
	}
	d.lastReturn = now
	return now.Add(-d.busyTime)
}

// unreadDelay returns how long bytes that have come on a connection may have waited by now, given when the connection
// can have come at the earliest; 0 if none have come.
func unreadDelay(conn net.Conn, earliest time.Time) time.Duration {
	if isQuiet(conn) {
		return 0
	}
	return time.Since(earliest)
}
