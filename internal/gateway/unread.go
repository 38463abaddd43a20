package gateway

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// Limits on the bytes that were received behind the current request and not read by the HTTP server yet.
const (
	maxUnreadBytes        = 20 << 10 // number of bytes at which the client is treated as disconnected
	unreservedUnreadBytes = 4 << 10  // number of bytes that need no memory of a budget; clientConnBytes allows for them
)

// errTooManyUnread is returned if a client has sent more bytes behind a request than are kept.
var errTooManyUnread = errors.New("too many bytes behind an open request")

// unreadBytes holds the bytes of a connection that were received behind the current request. The goroutine that reads
// the connection owns it. The zero value is empty.
type unreadBytes struct {
	bytes  []byte
	since  time.Time   // earliest time at which the first of the bytes can have arrived
	memory reservation // for the bytes beyond unreservedUnreadBytes
}

// arrive records that the next bytes can have arrived at the given time at the earliest.
func (u *unreadBytes) arrive(earliest time.Time) {
	if len(u.bytes) == 0 {
		u.since = earliest
	}
}

// drop drops the first n bytes, and frees the memory after the last byte.
func (u *unreadBytes) drop(n int) {
	u.bytes = u.bytes[n:]
	if len(u.bytes) == 0 {
		u.free()
	}
}

// free drops the bytes and frees their memory.
func (u *unreadBytes) free() {
	u.bytes = nil
	u.memory.release()
}

// grow makes room for at least n further bytes. It returns errTooManyUnread if there would be more than maxUnreadBytes,
// or if no memory is free for more than unreservedUnreadBytes.
func (u *unreadBytes) grow(n int, budget *memoryBudget) error {
	needed := len(u.bytes) + n
	if needed <= cap(u.bytes) {
		return nil
	}
	capacity := unreservedUnreadBytes
	if needed > unreservedUnreadBytes {
		capacity = maxUnreadBytes
	}
	if needed > capacity {
		return errTooManyUnread
	}
	if capacity > unreservedUnreadBytes && u.memory.budget == nil {
		memory, free := budget.tryReserve(int64(capacity))
		if !free {
			return errTooManyUnread
		}
		u.memory = memory
	}
	u.bytes = append(make([]byte, 0, capacity), u.bytes...)
	return nil
}

// add appends bytes.
func (u *unreadBytes) add(p []byte, budget *memoryBudget) error {
	if len(p) == 0 {
		return nil
	}
	if err := u.grow(len(p), budget); err != nil {
		return err
	}
	u.bytes = append(u.bytes, p...)
	return nil
}

// receiveFrom calls read once, and appends the bytes that it reads.
func (u *unreadBytes) receiveFrom(read func(p []byte) (int, error), budget *memoryBudget) error {
	if err := u.grow(1, budget); err != nil {
		return err
	}
	n, err := read(u.bytes[len(u.bytes):cap(u.bytes)])
	u.bytes = u.bytes[:len(u.bytes)+n]
	return err
}

// watchForClose keeps the bytes that arrive behind an open request, until a read fails or no more bytes are kept, and
// returns the error. A read fails when the connection has ended or its read deadline has passed.
func (c *clientConn) watchForClose(p []byte) error {
	if c.clientGone {
		return io.EOF
	}
	n, err := c.Conn.Read(p) // a single byte needs no buffer
	if err != nil {
		return err
	}
	now := time.Now()
	c.unread.arrive(now.Add(-c.table.wakeUpDelay(c.Conn, now)))
	if err := c.unread.add(p[:n], c.table.memory); err != nil {
		return c.flooded(err)
	}
	for {
		if err := c.unread.receiveFrom(c.Conn.Read, c.table.memory); err != nil {
			return c.flooded(err)
		}
	}
}

// flooded counts a connection that ends because of errTooManyUnread, and returns the error.
func (c *clientConn) flooded(err error) error {
	if errors.Is(err, errTooManyUnread) {
		c.table.metrics.add(connectionsFlooded)
	}
	return err
}

// lookForClose receives what has arrived behind a complete request, without blocking, and records whether the client has
// closed its connection or its sending side. The end of a connection can't be seen before the bytes in front of it have
// been received. A client whose bytes are too many to be kept counts as gone, since its end could lie behind them.
func (c *clientConn) lookForClose() {
	if c.clientGone || isOpenWithoutInput(c.Conn) {
		return
	}
	c.unread.arrive(c.unreadSince)
	receiveNow := func(p []byte) (int, error) {
		n, err := receive(c.Conn, p, syscall.MSG_DONTWAIT)
		if n == 0 && err == nil {
			return 0, io.EOF
		}
		return n, err
	}
	for {
		err := c.unread.receiveFrom(receiveNow, c.table.memory)
		switch {
		case err == nil, errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		default:
			c.clientGone = true
			c.flooded(err)
			return
		}
	}
}
