package gateway

import (
	"net"
	"time"
)

// emptyQueueThreshold is a duration of an Accept call. If a call takes this long or longer, the kernel's accept queue
// was empty when the call began.
const emptyQueueThreshold = time.Millisecond

// acceptDelay computes an upper bound on the time that a connection has waited in the kernel's accept queue. The
// kernel does not report when a connection arrived. A connection that Accept returns at once may have arrived at any
// time since the queue was last known to be empty. Of that period, only the time between Accept calls counts, because
// Accept does not block while connections wait. An acceptDelay is owned by the goroutine that calls Accept. The zero
// value is ready to use.
type acceptDelay struct {
	lastReturn time.Time     // when Accept last returned; zero: never
	lastCall   time.Time     // when Accept was last called
	busyTime   time.Duration // time between Accept calls since the queue was last known to be empty
}

// acceptCalled records that Accept is about to be called.
func (d *acceptDelay) acceptCalled(now time.Time) {
	if !d.lastReturn.IsZero() {
		d.busyTime += now.Sub(d.lastReturn)
	}
	d.lastCall = now
}

// acceptFailed records that Accept has returned an error. An error does not show whether the queue was empty.
func (d *acceptDelay) acceptFailed(now time.Time) { d.lastReturn = now }

// acceptReturned records that Accept has returned a connection, and returns the earliest time at which the connection
// can have arrived.
func (d *acceptDelay) acceptReturned(now time.Time) (earliest time.Time) {
	if now.Sub(d.lastCall) >= emptyQueueThreshold {
		d.busyTime = 0
	}
	d.lastReturn = now
	return now.Add(-d.busyTime)
}

// unreadDelay returns the longest time that the unread bytes of a connection can have waited. The argument earliest is
// the earliest time at which the connection can have arrived. The result is 0 if the connection is open and has no
// unread bytes.
func unreadDelay(conn net.Conn, earliest time.Time) time.Duration {
	if isOpenWithoutInput(conn) {
		return 0
	}
	return time.Since(earliest)
}
