package gateway

import (
	"errors"
	"net"
	"os"
	"time"
)

// capacityPollInterval is the time between two looks whether the table has capacity.
const capacityPollInterval = 10 * time.Millisecond

// The backoff between accepts that fail.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// How the kernel's accept queue is emptied before the listener closes.
const (
	drainAcceptAttempts = 3                      // accepts in a row that find no connection
	drainAcceptTimeout  = 5 * time.Millisecond   // of each
	maxDrainAcceptTime  = 100 * time.Millisecond // in all, where new connections keep coming
)

// Accept returns the next connection that there is capacity for. One for which there is none, and none comes soon, is
// closed. Its only error is net.ErrClosed.
func (c *clientConnections) Accept() (net.Conn, error) {
	for {
		netConn, err := c.acceptWithRetry()
		if err != nil {
			return nil, err
		}
		earliestArrival := c.acceptDelay.acceptReturned(time.Now())
		conn := c.awaitCapacity(netConn)
		if conn == nil {
			c.metrics.add(connectionsOverLimit)
			netConn.Close()
			continue
		}
		c.metrics.add(connectionsAccepted)
		conn.firstRequestDelay = unreadDelay(netConn, earliestArrival)
		return conn, nil
	}
}

// awaitCapacity enters a connection in the table, once it has capacity. It returns nil if there is none within the
// time that an eviction may take.
func (c *clientConnections) awaitCapacity(netConn net.Conn) *clientConn {
	for remaining := minEvictionGrace; ; remaining -= capacityPollInterval {
		conn := c.tryAdd(netConn)
		if conn != nil || remaining <= 0 {
			return conn
		}
		select {
		case <-c.slotFreed:
		case <-time.After(capacityPollInterval):
		}
	}
}

// acceptWithRetry returns the next connection of the kernel's queue. Accepting fails for a while where the machine or
// the process lacks something, and for one connection where that has ended in the queue; neither is an end of the
// listener, and a gateway that took it for one would end under its open requests. So it goes on until the listener is
// closed, with a short backoff.
func (c *clientConnections) acceptWithRetry() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		netConn, err := c.acceptOnce()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return netConn, err
		}
		c.acceptDelay.acceptFailed(time.Now())
		c.metrics.add(acceptsFailed)
		if backoff == minAcceptBackoff {
			c.log.Warn("accepting a connection failed", "error", err)
		}
		time.Sleep(backoff)
	}
}

// acceptOnce accepts a connection, or notices that stopAccepting was called and goes on with the queue alone.
func (c *clientConnections) acceptOnce() (net.Conn, error) {
	c.acceptDelay.acceptCalled(time.Now())
	netConn, err := c.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.acceptQueued()
	}
	return netConn, err
}

// stopAccepting ends Accept, once the connections that wait in the kernel's queue have been accepted, and closes the
// listener. To close it at once would reset them.
func (c *clientConnections) stopAccepting() {
	if listener, ok := c.Listener.(deadlineListener); ok {
		listener.SetDeadline(aLongTimeAgo) // wakes Accept
		return
	}
	c.Close()
}

// deadlineListener is a listener whose Accept can time out, such as TCP's.
type deadlineListener interface{ SetDeadline(time.Time) error }

// acceptQueued returns a connection that waits in the queue, or closes the listener if there is none. Accept alone
// calls it.
func (c *clientConnections) acceptQueued() (net.Conn, error) {
	if c.drainStarted.IsZero() {
		c.drainStarted = time.Now()
	}
	for n := 0; n < drainAcceptAttempts && time.Since(c.drainStarted) < maxDrainAcceptTime; n++ {
		c.Listener.(deadlineListener).SetDeadline(time.Now().Add(drainAcceptTimeout))
		netConn, err := c.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return netConn, err
		}
	}
	c.Close()
	return nil, net.ErrClosed
}
