package gateway

import (
	"errors"
	"os"
	"time"
)

// aLongTimeAgo is a deadline in the past, which ends a wait at once.
var aLongTimeAgo = time.Unix(1, 0)

// readBytes reads bytes from the socket. While a request is incomplete, the wait for bytes ends with a timeout if it has lasted
// for maxStall and another client waits for the connection's slot or for memory that the request holds. Otherwise, clients
// that stop in the middle of a request could keep slots and memory until their read timeout.
func (c *clientConn) readBytes(p []byte) (int, error) {
	incomplete := c.phase.load() != phaseIdle
	if incomplete {
		c.beginWait()
	}
	for {
		n, err := c.Conn.Read(p)
		mayWaitOn := incomplete && !c.isWanted() && c.readDeadlineAhead()
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !mayWaitOn {
			return n, err
		}
		c.setWakeAt(time.Now().Add(maxStall))
	}
}

// beginWait records that the wait for the next bytes of an incomplete request begins.
func (c *clientConn) beginWait() {
	c.wakes = true
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.waitingSince = time.Now()
	c.replaceWakeAt(c.waitingSince.Add(maxStall))
	c.applyReadDeadline() // an error needs no handling: the next read fails as well
}

// isWanted reports whether another client waits for the connection's slot, or for memory that its request holds.
func (c *clientConn) isWanted() bool {
	return c.table.slotWanted.Load() || c.incompleteBudget != nil && c.incompleteBudget.hasWaiters()
}

// beginBody records that a request that has taken memory from budget is being read.
func (c *clientConn) beginBody(budget *memoryBudget) { c.incompleteBudget = budget }

// endBody records that the last byte of a request has been read. The watch for a disconnect, which follows, must not end by
// wakeAt.
func (c *clientConn) endBody() {
	c.incompleteBudget = nil
	if c.wakes {
		c.wakes = false
		c.setWakeAt(time.Time{})
	}
}

// setWakeAt sets wakeAt, and applies it to the socket.
func (c *clientConn) setWakeAt(t time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.replaceWakeAt(t)
	c.applyReadDeadline() // an error needs no handling: the next read fails as well
}

// replaceWakeAt sets wakeAt, and counts the connections that wait for the rest of a request. The caller holds table.mu.
func (c *clientConn) replaceWakeAt(t time.Time) {
	if !c.wakeAt.IsZero() {
		c.table.incompleteCount--
	}
	c.wakeAt = t
	if !t.IsZero() {
		c.table.incompleteCount++
	}
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
