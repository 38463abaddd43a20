package gateway

import (
	"bytes"
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

// Limits on the bytes behind an open request.
const (
	maxPipelinedBytes        = 16 << 10 // number of bytes at which the client is treated as disconnected
	unreservedPipelinedBytes = 4 << 10  // number of bytes that need no memory of a budget; clientConnBytes allows for them
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

// aLongTimeAgo is a deadline in the past, which ends a wait at once.
var aLongTimeAgo = time.Unix(1, 0)

var errPipelineTooLong = errors.New("too many bytes behind an open request")

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

// readBytes reads bytes from the socket. While a body is read that holds memory of a budget, the wait for bytes ends
// with a timeout as soon as it has lasted for maxBodyStall and another request waits for memory. Otherwise, clients that
// stop in the middle of a body could keep the memory until their read timeout.
func (c *clientConn) readBytes(p []byte) (int, error) {
	for {
		budget := c.bodyBudget.Load()
		if budget != nil {
			c.setWakeAt(time.Now().Add(maxBodyStall))
		}
		n, err := c.Conn.Read(p)
		mayWaitOn := budget != nil && !budget.hasWaiters() && c.readDeadlineAhead()
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !mayWaitOn {
			return n, err
		}
	}
}

// beginBody records that a body that has taken memory from budget is being read.
func (c *clientConn) beginBody(budget *memoryBudget) { c.bodyBudget.Store(budget) }

// endBody records that no body is being read any more.
func (c *clientConn) endBody() {
	if c.bodyBudget.Swap(nil) != nil {
		c.setWakeAt(time.Time{})
	}
}

// setWakeAt sets wakeAt, and applies it to the socket.
func (c *clientConn) setWakeAt(t time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.wakeAt = t
	c.applyReadDeadline() // an error needs no handling: the next read fails as well
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

// readPipelined reads from the bytes that were received behind the last request, and frees their memory after the last
// byte.
func (c *clientConn) readPipelined(p []byte) int {
	n := copy(p, c.pipelined)
	c.pipelined = c.pipelined[n:]
	if len(c.pipelined) == 0 {
		c.freePipelined()
	}
	return n
}

// freePipelined frees the memory of the bytes that were received behind the last request.
func (c *clientConn) freePipelined() {
	c.pipelined = nil
	c.pipelinedMemory.release()
}

// growPipelined makes room for further bytes behind an open request. It returns errPipelineTooLong if there are
// maxPipelinedBytes, or if no memory is free for more than unreservedPipelinedBytes.
func (c *clientConn) growPipelined() error {
	if len(c.pipelined) < cap(c.pipelined) {
		return nil
	}
	capacity := unreservedPipelinedBytes
	if len(c.pipelined) >= unreservedPipelinedBytes {
		capacity = maxPipelinedBytes
	}
	if len(c.pipelined) >= capacity {
		return errPipelineTooLong
	}
	if capacity > unreservedPipelinedBytes {
		c.pipelinedMemory.release()
		memory, free := c.table.memory.tryReserve(int64(capacity))
		if !free {
			return errPipelineTooLong
		}
		c.pipelinedMemory = memory
	}
	c.pipelined = append(make([]byte, 0, capacity), c.pipelined...)
	return nil
}

// watchForClose buffers the bytes that arrive behind an open request, until a read fails or there is no room for further
// bytes, and returns the error. A read fails when the connection has ended or its read deadline has passed.
func (c *clientConn) watchForClose(p []byte) error {
	c.endBody() // the body has been read to its end, and wakeAt must not end the watch
	if _, err := c.Conn.Read(p); err != nil {
		return err
	}
	if err := c.addPipelined(bytes.NewReader(p)); err != nil {
		return err
	}
	for {
		if err := c.addPipelined(c.Conn); err != nil {
			return err
		}
	}
}

// addPipelined reads once from source, and adds the bytes to those that were received behind an open request.
func (c *clientConn) addPipelined(source io.Reader) error {
	if err := c.growPipelined(); err != nil {
		c.table.metrics.add(connectionsFlooded)
		return err
	}
	n, err := source.Read(c.pipelined[len(c.pipelined):cap(c.pipelined)])
	c.pipelined = c.pipelined[:len(c.pipelined)+n]
	return err
}

// SetReadDeadline stores the read deadline that the HTTP server sets, and applies it to the socket. The deadline of the
// socket may be earlier; see applyReadDeadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the read deadline of the socket to effectiveReadDeadline, or to wakeAt if that is earlier. The
// caller holds table.mu.
//
// applyReadDeadline must be called after each change of closing, readCutoff, readDeadline or wakeAt. Apart from
// rejectIncomplete, nothing else may set the read deadline of the socket. While the server watches the client of an
// open request for a disconnect, closing is false and readDeadline and wakeAt are zero, so the socket has no read
// deadline.
func (c *clientConn) applyReadDeadline() error {
	return c.Conn.SetReadDeadline(earlierDeadline(c.effectiveReadDeadline(), c.wakeAt))
}

// effectiveReadDeadline returns readDeadline, with two exceptions. A closing connection gets a deadline in the past,
// whatever readDeadline is. A connection on which a request is being read gets readCutoff if readCutoff is before
// readDeadline. The caller holds table.mu.
func (c *clientConn) effectiveReadDeadline() time.Time {
	readCutoff := c.table.readCutoff
	switch {
	case c.closing:
		return aLongTimeAgo
	case c.phase.load() != phaseIdle && !readCutoff.IsZero() && readCutoff.Before(c.readDeadline):
		return readCutoff
	}
	return c.readDeadline
}

// readDeadlineBefore returns effectiveReadDeadline if it is before the given time, and the given time otherwise.
func (c *clientConn) readDeadlineBefore(t time.Time) time.Time {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return earlierDeadline(t, c.effectiveReadDeadline())
}

// readDeadlineAhead reports whether effectiveReadDeadline has not passed yet.
func (c *clientConn) readDeadlineAhead() bool {
	now := time.Now()
	return !c.readDeadlineBefore(now).Before(now)
}

// earlierDeadline returns the earlier of two deadlines. A zero time means that there is no deadline.
func earlierDeadline(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
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
