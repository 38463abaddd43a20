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

// mostAhead is how many bytes a client may send behind a request that is open.
const mostAhead = 16 << 10

// The phases of a connection.
const (
	idle    int32 = iota // nothing has come since it was accepted or last answered
	reading              // a part of a request has
	open                 // a request is open
)

// clientConn is one connection of a client.
//
// It is closed by the server's goroutine that reads it, and by nobody else, since only that one knows what has been
// read: when the client has ended it, when an answer says so, and when a wait for bytes has timed out. Whoever wants an
// idle connection to end marks it as ending, which ends the wait; a request that comes meanwhile is served all
// the same. At a stop's very end the server closes what is left.
type clientConn struct {
	net.Conn
	table *clients

	phase atomic.Int32 // changed under table.mu
	ahead []byte       // what came behind a request that is open; its one reader's own

	// waited is how long its first request may have waited before the connection was taken; 0 for those after it. The
	// server reads it in order: it is set before the connection is served.
	waited time.Duration

	// request is the one that is open, for the log; nil: none.
	request atomic.Pointer[exchange]

	// Guarded by table.mu:
	place    *list.Element // in table.idle; nil while a request is open
	since    time.Time     // of the last sign of life
	fresh    bool          // no request has come on it yet
	ending   bool          // its wait for a request is to end
	deadline time.Time     // for reading, as the server wants it; zero: none
}

// longAgo is a deadline that ends a wait at once.
var longAgo = time.Unix(1, 0)

var errFlood = errors.New("too much behind an open request")

// Read takes note of a request that begins, and keeps what comes behind one that is open: the server watches for a
// client that leaves by reading one byte, and bytes behind the request would end that watch; its request would then
// be sent on for nobody. So they are put aside here and the watch goes on, up to a bound, beyond which the connection
// counts as ended.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.phase.Load() == open {
		return 0, c.watch(p)
	}
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.timedOut(p, err)
	}
	if n > 0 && c.phase.Load() == idle {
		c.table.begin(c)
	}
	return n, err
}

// timedOut looks once more, without waiting, for bytes that came as a wait ended; to close over them would reset the
// connection. If there are none, and a part of a request has come, the client gets an answer.
func (c *clientConn) timedOut(p []byte, timeout error) (int, error) {
	n, err := receive(c.Conn, p, syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) && c.phase.Load() == reading:
		c.refuse(c.table.refusal(c))
		return 0, timeout
	case errors.Is(err, syscall.EAGAIN):
		return 0, timeout
	case n == 0 && err == nil:
		return 0, io.EOF
	}
	return n, err
}

// watch waits for the end of the connection and puts aside what comes before it.
func (c *clientConn) watch(p []byte) error {
	n, err := c.Conn.Read(p)
	for c.ahead = append(c.ahead, p[:n]...); err == nil; {
		if len(c.ahead) >= mostAhead {
			c.table.metrics.add(connectionsFlooded)
			return errFlood
		}
		c.ahead = slices.Grow(c.ahead, mostAhead/4)
		n, err = c.Conn.Read(c.ahead[len(c.ahead):min(cap(c.ahead), mostAhead)])
		c.ahead = c.ahead[:len(c.ahead)+n]
	}
	return err
}

// SetReadDeadline is what the server calls before it waits for bytes.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// applyDeadline sets the deadline that holds: the server's, a moment in the past for a connection that is ending, or a
// stop's for a request that is being read. It is called under table.mu whenever one of them changes, so that none undoes
// another. The server has no deadline while it watches for a client that leaves, and then no other holds either.
func (c *clientConn) applyDeadline() error {
	cutoff := c.table.cutoff
	switch {
	case c.ending:
		return c.Conn.SetReadDeadline(longAgo)
	case c.phase.Load() != idle && !cutoff.IsZero() && cutoff.Before(c.deadline):
		return c.Conn.SetReadDeadline(cutoff)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// lingerTime and mostLinger bound what is taken in after a refusal.
const (
	lingerTime = 250 * time.Millisecond
	mostLinger = 16 << 10 // bytes
)

// refuse answers a request whose head is not waited for any longer; the server would close without a word, and a client
// that has just sent the last byte could not tell that from a loss. What still comes is taken in for a while, since a
// close over unread bytes would reset the connection under the answer.
func (c *clientConn) refuse(status int) {
	c.table.metrics.add(requestsUnfinished)
	c.Conn.SetDeadline(time.Now().Add(lingerTime))
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	c.CloseWrite()
	io.Copy(io.Discard, io.LimitReader(c.Conn, mostLinger)) // an error is the end of it
}

// CloseWrite lets the server end an answer in good order before it closes.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
