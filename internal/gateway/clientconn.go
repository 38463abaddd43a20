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

// maxPipelinedBytes is how many bytes a client may send behind a request that is open.
const maxPipelinedBytes = 16 << 10

// The bounds of what is read after an incomplete request has been rejected.
const (
	lingerTime     = 250 * time.Millisecond
	maxLingerBytes = 16 << 10 // bytes
)

// clientConn is one connection of a client.
//
// It is closed by the server's goroutine that reads it, and by nobody else, since only that one knows what has been
// read: when the client has ended it, when an answer says so, and when a wait for bytes has timed out. Whoever wants an
// idle connection to end sets closing, which ends the wait; a request that comes meanwhile is served all the same. At
// the very end of a graceful shutdown the server closes what is left.
type clientConn struct {
	net.Conn
	table *clientConnections

	phase     atomicConnPhase // changed under table.mu
	pipelined []byte          // bytes that came behind a request that is open; owned by the reader

	// firstRequestDelay is how long the first request may have waited before the connection was accepted; 0 for those
	// after it. The server reads it in order: it is set before the connection is served.
	firstRequestDelay time.Duration

	// request is the one that is open, for the log; nil: none.
	request atomic.Pointer[clientRequest]

	// Guarded by table.mu:
	idleElement  *list.Element // in table.idle; nil while a request is open
	lastActive   time.Time     // when bytes last came or an answer was completed
	isNew        bool          // no request has come on it yet
	closing      bool          // its wait for a request is to end
	readDeadline time.Time     // as the server set it; zero: none
}

// aLongTimeAgo is a deadline that ends a wait at once.
var aLongTimeAgo = time.Unix(1, 0)

var errPipelineTooLong = errors.New("too much behind an open request")

// Read notes when a request begins, and keeps the bytes that come behind one that is open: the server watches for a
// client that disconnects by reading one byte, and bytes behind the request would end that watch; its request would
// then be forwarded for nobody. So they are buffered here and the watch goes on, up to a bound, beyond which the
// connection counts as ended.
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

// readTimedOut looks once more, without waiting, for bytes that came as a wait ended; to close over them would reset the
// connection. If there are none, and a part of a request has come, the client gets an answer.
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

// watchForClose waits for the end of the connection and buffers the bytes that come before it.
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

// SetReadDeadline is what the server calls before it waits for bytes. See applyReadDeadline for what else bounds the
// wait.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// applyReadDeadline sets the deadline that holds: the server's, a moment in the past for a connection that is closing,
// or a shutdown's for a request that is being read. It is called under table.mu whenever one of them changes, so that
// none undoes another. The server has no deadline while it watches for a client that disconnects, and then no other
// holds either.
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

// rejectIncomplete answers a request whose head is not waited for any longer; the server would close without an answer,
// and a client that has just sent the last byte could not tell that from a loss. What still comes is read for a while,
// since a close over unread bytes would reset the connection under the answer.
func (c *clientConn) rejectIncomplete(status int) {
	c.table.metrics.add(requestsIncomplete)
	c.Conn.SetDeadline(time.Now().Add(lingerTime))
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	c.CloseWrite()
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // an error is the end of it
}

// CloseWrite lets the server end an answer in good order before it closes.
func (c *clientConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// takeFirstRequestDelay returns firstRequestDelay for the connection's first request, and 0 for those after it.
func (c *clientConn) takeFirstRequestDelay() time.Duration {
	delay := c.firstRequestDelay
	c.firstRequestDelay = 0
	return delay
}
