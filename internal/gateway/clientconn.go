package gateway

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// maxPipelinedBytes is the number of bytes that a client may send behind an open request, before its answer.
const maxPipelinedBytes = 16 << 10

// Limits on reading from a connection after its incomplete request has been rejected.
const (
	lingerTime     = 250 * time.Millisecond
	maxLingerBytes = 16 << 10 // bytes
)

// clientConn is one connection of a client.
//
// Only the HTTP server's goroutine that reads a connection closes it, because no other goroutine knows what has been
// read. It closes the connection when the client has ended it, when the response says so, and when a wait for bytes
// has timed out. Other goroutines end an idle connection by setting closing, which ends the wait for a request. If a
// request arrives at the same time, it is served all the same. The connections that are left at the very end of a
// graceful shutdown are closed by http.Server.Close.
type clientConn struct {
	net.Conn
	table *clientConnections

	phase     atomicConnPhase // written under table.mu
	pipelined []byte          // bytes received behind an open request; owned by the reading goroutine

	// firstRequestDelay is how long the first request may have waited before the connection was accepted; 0 for later
	// requests. It needs no lock: it is set before the connection is served, and then used only by the goroutine that
	// serves it.
	firstRequestDelay time.Duration

	// request is the open request, for the log; nil if none is open.
	request atomic.Pointer[clientRequest]

	// Guarded by table.mu:
	idleElement  *list.Element // in table.idle; nil while a request is open
	lastActive   time.Time     // when it was accepted, began to send a request or got its answer, whichever was last
	isNew        bool          // no request has been read from it yet
	closing      bool          // its wait for a request is to end, so that the server closes it
	readDeadline time.Time     // set by the server, extended by markReading; zero: none
}

// aLongTimeAgo is a deadline in the past, which ends a wait at once.
var aLongTimeAgo = time.Unix(1, 0)

var errPipelineTooLong = errors.New("too many bytes behind an open request")

// Read notes that a request begins to arrive, and buffers the bytes that arrive behind an open request. While a
// request is open, the server reads a single byte to notice a client that disconnects. A byte sent behind the request
// would end that read, and the server would not notice a later disconnect: the request would be forwarded although
// nobody waits for it. So such bytes are buffered here and the watch continues. A client that sends maxPipelinedBytes
// is treated as disconnected.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.phase.load() == phaseOpen {
		return 0, c.watchForClose(p)
	}
	if len(c.pipelined) > 0 {
		n := copy(p, c.pipelined)
		c.pipelined = c.pipelined[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readTimedOut(p, err)
	}
	if n > 0 && c.phase.load() == phaseIdle {
		c.table.markReading(c)
	}
	return n, err
}

// readTimedOut reads once more, without blocking, in case bytes arrived as the wait timed out: closing a connection
// with unread bytes would reset it. If nothing has arrived but a part of a request had been read before, the client
// gets an error response.
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

// watchForClose blocks until the connection ends, and buffers the bytes that arrive before that.
func (c *clientConn) watchForClose(p []byte) error {
	n, err := c.Conn.Read(p)
	c.pipelined = append(c.pipelined, p[:n]...)
	for err == nil {
		if len(c.pipelined) >= maxPipelinedBytes {
			c.table.metrics.add(connectionsFlooded)
			return errPipelineTooLong
		}
		c.pipelined = slices.Grow(c.pipelined, maxPipelinedBytes/4)
		unused := c.pipelined[len(c.pipelined):min(cap(c.pipelined), maxPipelinedBytes)]
		n, err = c.Conn.Read(unused)
		c.pipelined = c.pipelined[:len(c.pipelined)+n]
	}
	return err
}

// SetReadDeadline is called by the HTTP server before it waits for bytes. The wait may end earlier; see
// applyReadDeadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the read deadline of the socket. This is the server's deadline, with two exceptions: a
// closing connection gets a deadline in the past, and a request that is being read gets the shutdown's readCutoff if
// that comes first. It is called under table.mu whenever one of these changes, so that no deadline overwrites
// another. While the server watches for a client that disconnects, it has no deadline, and the exceptions don't apply
// either.
func (c *clientConn) applyReadDeadline() error {
	readCutoff := c.table.readCutoff
	switch {
	case c.closing:
		return c.Conn.SetReadDeadline(aLongTimeAgo)
	case c.phase.load() != phaseIdle && !readCutoff.IsZero() && readCutoff.Before(c.readDeadline):
		return c.Conn.SetReadDeadline(readCutoff)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// rejectIncomplete answers a request whose header the gateway no longer waits for. The server would close the
// connection without a response, and a client that has just sent the last byte could not tell that from a lost
// request. Bytes that still arrive are read for lingerTime, because closing a connection with unread bytes resets it,
// and the client might lose the response.
func (c *clientConn) rejectIncomplete(status int) {
	c.table.metrics.add(requestsIncomplete)
	c.Conn.SetDeadline(time.Now().Add(lingerTime))
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	c.CloseWrite()
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // an error only ends the reading
}

// CloseWrite closes the sending side of the connection. The HTTP server calls it after a response, before it closes
// the connection, so that the client receives the whole response.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// takeFirstRequestDelay returns firstRequestDelay at the first call, and 0 at later calls.
func (c *clientConn) takeFirstRequestDelay() time.Duration {
	delay := c.firstRequestDelay
	c.firstRequestDelay = 0
	return delay
}
