package gateway

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

// Limits on reading from a connection after its incomplete request has been rejected.
const (
	lingerTime     = 250 * time.Millisecond
	maxLingerBytes = 16 << 10 // bytes
)

// clientConn is one connection of a client.
//
// While the gateway serves, a connection is closed only by the HTTP server's goroutine that reads the connection,
// because no other goroutine knows which bytes have been read. This goroutine closes the connection when the client has
// closed it, when the answer has the header "Connection: close", and when a wait for bytes has timed out. Other
// goroutines call closeWhenIdle, which sets closing and ends the wait for a request. A request that arrives at that
// moment is still served. At the end of a graceful shutdown, http.Server.Close closes the connections that are left.
type clientConn struct {
	net.Conn
	table *clientConnections

	phase atomicConnPhase // written under table.mu

	// Owned by the goroutine that reads the connection:
	framer     requestFramer
	unread     unreadBytes
	headMemory reservation // for the head of the current request, until takeHeadMemory
	clientGone bool        // the client has closed the connection or its sending side behind the current request
	wakes      bool        // wakeAt has been set for the current request
	rejected   bool        // the current request has been rejected before its end; nothing more is read

	// incompleteBudget is the budget from which the request that is being read has taken memory; nil at other times.
	incompleteBudget *memoryBudget

	// Owned by the goroutine that serves the connection:
	rejections *rate.Limiter // for the answers that serve nothing; nil before the first one
	pause      time.Duration // wait before the next request is read

	// unreadSince is the earliest time at which the bytes that have been read last can have arrived (see readSocket). It is
	// set before the connection is served, and then used only by the goroutine that serves the connection.
	unreadSince time.Time

	// requestAge is the receiveAge at the end of the current request. It has the same owner as unreadSince.
	requestAge receiveAge

	// request is the open request, which is logged if a graceful shutdown leaves it unanswered; nil if no request is
	// open.
	request atomic.Pointer[clientRequest]

	// Guarded by table.mu:
	idleElement  *list.Element // element of table.idle; nil while a request is open
	lastActive   time.Time     // latest time of the accept, an answer or the beginning of a request
	isNew        bool          // no request has been read from the connection yet
	closing      bool          // the wait for a request ends at once, so that the server closes the connection
	readDeadline time.Time     // read deadline set by the server or extended by markReading; zero: none
	wakeAt       time.Time     // time at which a wait for bytes of a request is interrupted (see readBytes); zero: none
	waitingSince time.Time     // beginning of the wait for bytes while wakeAt is set
}

// Read reads bytes from the client. It records when a request begins to arrive, and returns bytes of one request only
// until that request has been answered. It keeps the bytes that arrive behind the request.
//
// While a request is open, the HTTP server reads a single byte to detect a client that disconnects. A byte that the
// client sends behind the request would end that read, and the server would not detect a later disconnect: the request
// would be forwarded although its client no longer waits. Read therefore keeps the bytes behind an open request and
// keeps watching the connection. A client that sends maxUnreadBytes is treated as disconnected.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.phase.load() == phaseOpen {
		return 0, c.watchForClose(p)
	}
	if c.rejected {
		return 0, io.EOF // the HTTP server reads the rest of a body before it closes the connection
	}
	if c.framer.isComplete() {
		c.compareKernelClock()
		c.framer.reset()
		c.beginUnreadSince()
		c.pauseBeforeRequest()
	}
	if len(c.unread.bytes) > 0 {
		return c.readUnread(p)
	}
	n, err := c.readSocket(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readTimedOut(p, err)
	}
	if n == 0 {
		return 0, err
	}
	return c.passOn(p[:n])
}

// readUnread reads bytes of the current request that were received before.
func (c *clientConn) readUnread(p []byte) (int, error) {
	p = p[:min(len(p), len(c.unread.bytes))]
	readsHead := c.beginPart()
	n := c.framer.advance(c.unread.bytes[:len(p)])
	copy(p, c.unread.bytes[:n])
	c.unread.drop(n)
	if err := c.endPart(readsHead); err != nil {
		return 0, err
	}
	return n, nil
}

// passOn returns the number of received bytes that belong to the current part of the request, and keeps the others.
func (c *clientConn) passOn(received []byte) (int, error) {
	readsHead := c.beginPart()
	n := c.framer.advance(received)
	c.unread.arrive(c.unreadSince)
	if err := c.unread.add(received[n:], c.table.memory); err != nil {
		c.clientGone = true // bytes are lost, so no further request can be read
		c.flooded(err)
	}
	if err := c.endPart(readsHead); err != nil {
		return 0, err
	}
	return n, nil
}

// beginPart records that bytes of the current request have arrived, and reports whether they belong to its head.
func (c *clientConn) beginPart() (readsHead bool) {
	if c.phase.load() == phaseIdle {
		c.table.markReading(c)
	}
	return !c.framer.headEnds
}

// endPart is called before bytes of a request are given to the HTTP server, which parses the bytes of a head as soon as
// it gets them. It reserves the memory of a head first, and looks for a disconnect behind a complete request.
func (c *clientConn) endPart(readsHead bool) error {
	if readsHead {
		if err := c.admitHead(); err != nil {
			return err
		}
	}
	if c.framer.isComplete() {
		c.endBody()
		c.lookForClose()
		c.requestAge = c.table.kernelClock.receiveAgeOf(c.Conn)
	}
	return nil
}

// readTimedOut reads once more, without blocking, in case bytes arrived as the wait timed out: closing a connection
// with unread bytes would reset the connection. It returns io.EOF if the client has closed the connection or its
// sending side. If no bytes have arrived and the connection is open, readTimedOut rejects a request that has been read
// in part, and then returns the given timeout error.
func (c *clientConn) readTimedOut(p []byte, timeout error) (int, error) {
	n, err := receive(c.Conn, p, syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		if c.phase.load() == phaseReading {
			c.rejectIncomplete(c.timeoutStatus())
		}
		return 0, timeout
	case n == 0 && err == nil:
		return 0, io.EOF
	}
	return n, err
}

// timeoutStatus returns the HTTP status for a request whose rest did not arrive in time, and counts a request that was
// given up early, since another one waited for its memory or its slot.
func (c *clientConn) timeoutStatus() int {
	if c.readDeadlineAhead() {
		c.table.metrics.add(requestsStalled)
		return http.StatusServiceUnavailable
	}
	return c.table.incompleteStatus(c)
}

// rejectIncomplete answers a request that is still incomplete when the gateway stops waiting for the rest, or whose head
// is not passed on. The HTTP server would close the connection without an answer. A client that has just sent the last
// byte could not distinguish that close from the loss of its request. After the answer, rejectIncomplete reads and
// discards bytes for lingerTime at most: closing a connection with unread bytes resets it, and the client might lose the
// answer.
func (c *clientConn) rejectIncomplete(status int) {
	c.table.metrics.add(requestsIncomplete)
	c.rejected = true
	c.Conn.SetDeadline(time.Now().Add(lingerTime))
	retryAfter := ""
	if status == http.StatusServiceUnavailable && c.table.retryAfter != "" {
		retryAfter = "Retry-After: " + c.table.retryAfter + "\r\n"
	}
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status,
		http.StatusText(status), retryAfter)
	c.CloseWrite()
	if c.table.slotWanted.Load() && isOpenWithoutInput(c.Conn) {
		return // there are no unread bytes, and another client needs the slot
	}
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // the error needs no handling: it only ends the read
}

// CloseWrite closes the sending side of the connection. The HTTP server calls CloseWrite after the last answer, before
// closing the connection, so that the client receives the whole answer.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
