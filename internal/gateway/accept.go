package gateway

import (
	"errors"
	"net"
	"os"
	"time"
)

// capacityPollInterval is how often awaitCapacity checks whether the table has a free slot.
const capacityPollInterval = 10 * time.Millisecond

// The backoff after a failed accept, which doubles from the minimum to the maximum.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Limits on emptying the kernel's accept queue before the listener closes.
const (
	drainAcceptAttempts = 3                      // consecutive timeouts after which the queue counts as empty
	drainAcceptTimeout  = 5 * time.Millisecond   // timeout of each of these accepts
	maxDrainAcceptTime  = 100 * time.Millisecond // in total, in case new connections keep arriving
)

// Accept returns the next client connection, once the table has a slot for it. It closes a connection that gets no
// slot in time. The only error it returns is net.ErrClosed.
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

// awaitCapacity adds a connection to the table as soon as there is a free slot. It returns nil if there is none
// within minEvictionGrace, the time that evicting an idle connection may take.
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

// acceptWithRetry returns the next connection from the kernel's accept queue. An accept fails if the machine or the
// process temporarily lacks a resource, or if the connection has already ended in the queue. In neither case has the
// listener failed, and ending the gateway would lose its open requests. So the accept is retried, with a short
// backoff, until the listener is closed.
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

// acceptOnce accepts a connection. Once stopAccepting has been called, it accepts only those that wait in the
// kernel's queue.
func (c *clientConnections) acceptOnce() (net.Conn, error) {
	c.acceptDelay.acceptCalled(time.Now())
	netConn, err := c.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.acceptQueued()
	}
	return netConn, err
}

// stopAccepting closes the listener and ends Accept, after the connections that wait in the kernel's queue have been
// accepted. Closing the listener at once would reset these connections.
func (c *clientConnections) stopAccepting() {
	if listener, ok := c.Listener.(deadlineListener); ok {
		listener.SetDeadline(aLongTimeAgo) // wakes Accept
		return
	}
	c.Close()
}

// deadlineListener is a listener whose Accept can time out, such as *net.TCPListener.
type deadlineListener interface{ SetDeadline(time.Time) error }

// acceptQueued returns a connection that waits in the kernel's queue, or closes the listener if the queue is empty.
// Only the goroutine that calls Accept may call it.
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
