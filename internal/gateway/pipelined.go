package gateway

import (
	"bytes"
	"errors"
	"io"
)

// Limits on the bytes behind an open request.
const (
	maxPipelinedBytes        = 16 << 10 // number of bytes at which the client is treated as disconnected
	unreservedPipelinedBytes = 4 << 10  // number of bytes that need no memory of a budget; clientConnBytes allows for them
)

var errPipelineTooLong = errors.New("too many bytes behind an open request")

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
