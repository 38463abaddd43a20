package gateway

import (
	"errors"
	"net"
	"os"
	"time"
)

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed. Its only error is net.ErrClosed.
func (c *clientConnections) Accept() (net.Conn, error) {
	for {
		conn, err := c.acceptWithRetry()
		if err != nil {
			return nil, err
		}
		earliestArrival := c.acceptDelay.acceptReturned(time.Now())
		for remaining := minEvictionGrace; ; remaining -= capacityPollInterval {
			if added := c.tryAdd(conn); added != nil {
				c.metrics.add(connectionsAccepted)
				added.firstRequestDelay = unreadDelay(conn, earliestArrival)
				return added, nil
			}
			if remaining <= 0 {
				break
			}
			select {
			case <-c.slotFreed:
			case <-time.After(capacityPollInterval):
			}
		}
		c.metrics.add(connectionsOverLimit)
		conn.Close()
	}
}

// acceptWithRetry returns the next connection of the kernel's queue. An accept fails for a while where the machine or the
// process lacks something, and for one connection where that has ended in the queue; neither is an end of the
// listener, and a gateway that took it for one would end under its open requests. So it goes on until the listener
// is closed, with short pauses.
func (c *clientConnections) acceptWithRetry() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c.acceptDelay.acceptCalled(time.Now())
		conn, err := c.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			conn, err = c.acceptQueued()
		}
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		c.acceptDelay.acceptFailed(time.Now())
		if c.metrics.add(acceptsFailed); backoff == minAcceptBackoff {
			c.log.Warn("a connection can't be accepted", "error", err)
		}
		time.Sleep(backoff)
	}
}

// stopAccepting ends Accept, once the connections that wait in the kernel's queue have been accepted, and closes the
// listener. To close it at once would reset them.
func (c *clientConnections) stopAccepting() {
	if l, ok := c.Listener.(deadlineListener); ok {
		l.SetDeadline(aLongTimeAgo) // wakes Accept
		return
	}
	c.Close()
}

// deadlineListener is a listener whose wait can be bounded, such as TCP's.
type deadlineListener interface{ SetDeadline(time.Time) error }

// acceptQueued returns a connection that waits in the queue, or closes the listener if there is none. Accept alone calls it.
func (c *clientConnections) acceptQueued() (net.Conn, error) {
	if c.drainStarted.IsZero() {
		c.drainStarted = time.Now()
	}
	for n := 0; n < drainAcceptAttempts && time.Since(c.drainStarted) < maxDrainAcceptTime; n++ {
		c.Listener.(deadlineListener).SetDeadline(time.Now().Add(drainAcceptTimeout))
		conn, err := c.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	c.Close()
	return nil, net.ErrClosed
}
