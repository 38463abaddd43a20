package gateway

import (
	"container/list"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
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

	// request is the one that is open, for the log; nil: none.
	request atomic.Pointer[exchange]

	// Guarded by table.mu:
	place    *list.Element // in table.idle; nil while a request is open
	since    time.Time     // of the last sign of life
	fresh    bool          // no request has come on it yet
	ending   bool          // its wait for a request is to end
	deadline time.Time     // for reading, as the server wants it; zero: none
}

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
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() == idle && !alive(c.Conn) {
		// A request came as the wait for it ended.
		c.table.begin(c)
		return c.Conn.Read(p)
	}
	if n > 0 && c.phase.Load() == idle {
		c.table.begin(c)
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

// applyDeadline sets the deadline that holds: the server's, or a moment in the past for a connection that is ending. It
// is called under table.mu whenever one of them changes, so that neither undoes the other.
func (c *clientConn) applyDeadline() error {
	if c.ending {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// CloseWrite lets the server end an answer in good order before it closes.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
