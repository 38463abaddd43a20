package gateway

import (
	"net"
	"time"
)

// setUnreadSince sets unreadSince for a new connection, which can have arrived at the given time at the earliest.
func (c *clientConn) setUnreadSince(earliestArrival time.Time) {
	c.unreadSince = time.Now()
	if !isOpenWithoutInput(c.Conn) {
		c.unreadSince = earliestArrival
	}
}

// beginUnreadSince sets unreadSince for the next request, whose first bytes may have been kept already.
func (c *clientConn) beginUnreadSince() {
	c.unreadSince = time.Now()
	if len(c.unread.bytes) > 0 {
		c.unreadSince = c.unread.since
	}
}

// readSocket reads bytes as readBytes does, and moves unreadSince. Bytes that the socket held before the call may have been
// waiting for as long as those that were read before them. If the socket was empty, the bytes have arrived during the call.
func (c *clientConn) readSocket(p []byte) (int, error) {
	began := time.Now()
	wasEmpty := isOpenWithoutInput(c.Conn)
	n, err := c.readBytes(p)
	if wasEmpty {
		now := time.Now()
		c.unreadSince = laterTime(began, now.Add(-c.table.wakeUpDelay(c.Conn, now)))
	}
	return n, err
}

// wakeUpDelay returns the time for which bytes of a connection, or the connection itself, can have waited when a call that
// has blocked returns them at the given time. On an idle processor, such a call returns at once. On a busy one, its
// goroutine waits for its turn.
func (c *clientConnections) wakeUpDelay(conn net.Conn, now time.Time) time.Duration {
	if c.kernelClock.trusted() {
		return sinceLastReceived(conn)
	}
	return c.delay.recent(now)
}

// compareKernelClock compares the kernel's clock with the process's clock over the time for which a request was open. It
// is called before the next request is read.
func (c *clientConn) compareKernelClock() {
	if c.requestAge.at.IsZero() || len(c.unread.bytes) > 0 {
		return
	}
	age := c.table.kernelClock.receiveAgeOf(c.Conn)
	if !isOpenWithoutInput(c.Conn) {
		return // bytes may have been received before the report
	}
	if !c.table.kernelClock.compare(c.requestAge, age) {
		c.table.log.Info("times of TCP_INFO are not used", "elapsed", age.at.Sub(c.requestAge.at), "reported", age.age-c.requestAge.age)
	}
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
