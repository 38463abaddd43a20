package netstats

import (
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// conn counts its payload. Its segments are read from the kernel when the traffic is
// requested, and for the last time as it closes.
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
	c.listener.connClosed(c) // while the kernel still tells the segments
	return c.Conn.Close()
}

// traffic is the connection's traffic so far. Conns is 0, since the listener counts it.
func (c *conn) traffic() Traffic {
	return Traffic{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), Segments: segments(c.Conn)}
}

// segments returns the TCP segments of a connection in both directions, 0 if the
// kernel doesn't tell them.
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
