package gateway

import (
	"errors"
	"net"
	"os"
	"time"
)

// capacityPollInterval is the longest time for which awaitCapacity waits before it checks again for a free slot.
const capacityPollInterval = 10 * time.Millisecond

// shortFullWait replaces minEvictionGrace as the wait for a slot while the table stays full.
const shortFullWait = capacityPollInterval

// minMaxSlotWait is the lower bound of clientConnections.maxSlotWait. An answer may be later than the client's timeout by as
// much.
const minMaxSlotWait = 500 * time.Millisecond

// Bounds of the backoff after a failed accept. The backoff doubles with each consecutive failure.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 50 * time.Millisecond
)

// Limits on emptying the kernel's accept queue before the listener closes.
const (
	drainAcceptAttempts = 3                      // number of consecutive timeouts after which the queue counts as empty
	drainAcceptTimeout  = 5 * time.Millisecond   // timeout of a single Accept call
	maxDrainAcceptTime  = 100 * time.Millisecond // time limit for emptying the queue, as connections may keep arriving
)

// Accept returns the next client connection as soon as the table has a slot for it. It closes a connection for which
// no slot becomes free in time (see awaitCapacity). Its only error is net.ErrClosed, which may be wrapped.
func (c *clientConnections) Accept() (net.Conn, error) {
	for {
		netConn, err := c.acceptWithRetry()
		if err != nil {
			return nil, err
		}
		earliestArrival := c.acceptReturned(netConn)
		conn := c.awaitCapacity(netConn, earliestArrival)
		if conn == nil {
			c.metrics.add(connectionsOverLimit)
			netConn.Close()
			continue
		}
		c.metrics.add(connectionsAccepted)
		conn.setUnreadSince(earliestArrival)
		return conn, nil
	}
}

// acceptReturned records that the listener has returned a connection, and returns the earliest time at which the connection
// can have arrived.
func (c *clientConnections) acceptReturned(netConn net.Conn) time.Time {
	now := time.Now()
	if !c.acceptDelay.hasBlocked(now) {
		return c.acceptDelay.acceptReturned(now, 0)
	}
	return c.acceptDelay.acceptReturned(now, c.wakeUpDelay(netConn, now))
}

// awaitCapacity adds a connection to the table as soon as there is a free slot. It returns nil if the table is still
// full after slotWait.
func (c *clientConnections) awaitCapacity(netConn net.Conn, earliestArrival time.Time) *clientConn {
	defer c.slotWanted.Store(false)
	giveUpAt := time.Now().Add(c.slotWait(earliestArrival))
	for {
		conn := c.tryAdd(netConn)
		c.staysFull = conn == nil
		if conn != nil {
			return conn
		}
		if !c.slotWanted.Swap(true) {
			c.endStalled()
		}
		remaining := time.Until(giveUpAt)
		if remaining <= 0 {
			return nil
		}
		select {
		case <-c.slotFreed:
		case <-time.After(min(remaining, capacityPollInterval)):
		}
	}
}

// slotWait returns the longest wait for a slot of a connection that can have arrived at the given time at the earliest.
// After minEvictionGrace, a connection that has been idle since the beginning of the wait may be evicted. After a wait
// without success, the next connections are waited for shortFullWait only, until one gets a slot: those behind them wait
// as well.
// In a lasting crowd, connections that have waited for maxSlotWait in the accept queue are not waited for at all: the time
// of their clients may be over.
func (c *clientConnections) slotWait(earliestArrival time.Time) time.Duration {
	wait := minEvictionGrace
	if c.staysFull {
		wait = shortFullWait
	}
	return min(wait, time.Until(earliestArrival.Add(c.maxSlotWait)))
}

// acceptWithRetry returns the next connection from the kernel's accept queue. An accept fails if the machine or the
// process temporarily lacks a resource, or if the connection has already ended in the queue. In both cases the
// listener still works. Returning the error would end the gateway and lose its open requests. The accept is therefore
// retried after a short backoff, until the listener is closed.
func (c *clientConnections) acceptWithRetry() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		netConn, err := c.acceptOnce()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return netConn, err
		}
		c.metrics.add(acceptsFailed)
		if backoff == minAcceptBackoff {
			c.log.Warn("accepting a connection failed", "error", err)
		}
		time.Sleep(backoff)
	}
}

// acceptOnce accepts a connection. After stopAccepting, it accepts only the connections that wait in the kernel's
// accept queue (see acceptQueued).
func (c *clientConnections) acceptOnce() (net.Conn, error) {
	c.acceptDelay.acceptCalled(time.Now(), c.queue)
	netConn, err := c.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.acceptQueued()
	}
	return netConn, err
}

// stopAccepting makes Accept return the connections that wait in the kernel's accept queue, and then close the
// listener. Closing the listener at once would reset these connections. Only a listener whose Accept can't time out is
// closed at once.
func (c *clientConnections) stopAccepting() {
	if listener, ok := c.Listener.(deadlineListener); ok {
		listener.SetDeadline(aLongTimeAgo) // makes Accept time out at once
		return
	}
	c.Close()
}

// deadlineListener is a listener whose Accept can time out, such as *net.TCPListener.
type deadlineListener interface{ SetDeadline(time.Time) error }

// acceptQueued returns a connection that waits in the kernel's accept queue. It closes the listener and returns
// net.ErrClosed if the queue is empty, or if maxDrainAcceptTime has passed since the first call of acceptQueued. Only
// the goroutine that calls Accept may call acceptQueued.
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
