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
	pipelined       []byte      // bytes received behind an open request
	pipelinedMemory reservation // for the bytes beyond unreservedPipelinedBytes

	// firstRequestDelay is the longest time that the first request can have waited before the connection was accepted;
	// 0 for later requests. The field needs no lock: it is set before the connection is served, and then used only by
	// the goroutine that serves the connection.
	firstRequestDelay time.Duration

	// bodyBudget is the budget from which the body that is being read has taken memory; nil at other times.
	bodyBudget atomic.Pointer[memoryBudget]

	// request is the open request, which is logged if a graceful shutdown leaves it unanswered; nil if no request is
	// open.
	request atomic.Pointer[clientRequest]

	// Guarded by table.mu:
	idleElement  *list.Element // element of table.idle; nil while a request is open
	lastActive   time.Time     // latest time of the accept, an answer or the beginning of a request
	isNew        bool          // no request has been read from the connection yet
	closing      bool          // the wait for a request ends at once, so that the server closes the connection
	readDeadline time.Time     // read deadline set by the server or extended by markReading; zero: none
	wakeAt       time.Time     // time at which a wait for bytes of a body is interrupted (see readBytes); zero: none
}

// Read reads bytes from the client. It records when a request begins to arrive, and buffers the bytes that arrive
// behind an open request.
//
// While a request is open, the HTTP server reads a single byte to detect a client that disconnects. A byte that the
// client sends behind the request would end that read, and the server would not detect a later disconnect: the request
// would be forwarded although its client no longer waits. Read therefore buffers the bytes behind an open request and
// keeps watching the connection. A client that sends maxPipelinedBytes is treated as disconnected.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.phase.load() == phaseOpen {
		return 0, c.watchForClose(p)
	}
	if len(c.pipelined) > 0 {
		return c.readPipelined(p), nil
	}
	n, err := c.readBytes(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readTimedOut(p, err)
	}
	if n > 0 && c.phase.load() == phaseIdle {
		c.table.markReading(c)
	}
	return n, err
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
			c.rejectIncomplete(c.table.incompleteStatus(c))
		}
		return 0, timeout
	case n == 0 && err == nil:
		return 0, io.EOF
	}
	return n, err
}

// rejectIncomplete answers a request whose header is still incomplete when the gateway stops waiting for the rest. The
// HTTP server would close the connection without an answer. A client that has just sent the last byte could not
// distinguish that close from the loss of its request. After the answer, rejectIncomplete reads and discards bytes
// for lingerTime at most: closing a connection with unread bytes resets it, and the client might lose the answer.
func (c *clientConn) rejectIncomplete(status int) {
	c.table.metrics.add(requestsIncomplete)
	c.Conn.SetDeadline(time.Now().Add(lingerTime))
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	c.CloseWrite()
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

// takeFirstRequestDelay returns firstRequestDelay and sets it to 0.
func (c *clientConn) takeFirstRequestDelay() time.Duration {
	delay := c.firstRequestDelay
	c.firstRequestDelay = 0
	return delay
}
