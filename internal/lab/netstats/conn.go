package netstats

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn is an accepted connection that counts its payload bytes. The number of its segments is read from the kernel
// whenever the traffic is requested, and for the last time just before the connection is closed.
type conn struct {
	net.Conn
	listener *Listener
	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytesIn.Add(uint64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesOut.Add(uint64(n))
	return n, err
}

func (c *conn) Close() error {
	c.listener.connClosed(c) // before the close, since the kernel reports the segments of open connections only
	return c.Conn.Close()
}

// traffic returns the connection's traffic so far. The field Conns is 0, since the listener counts the connections.
func (c *conn) traffic() Traffic {
	return Traffic{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), Segments: segments(c.Conn)}
}

// segments returns the number of TCP segments of a connection in both directions, or 0 if
// the kernel doesn't report it.
func segments(c net.Conn) (count uint64) {
	systemConn, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			count = uint64(info.Segs_in) + uint64(info.Segs_out)
		}
	})
	return count
}
