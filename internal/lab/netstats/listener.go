// Package netstats counts the traffic of a listener: payload, TCP segments and
// connections, so that a run can tell what its gateways cost a network.
package netstats

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// segmentHeaderBytes is what a segment has beside its payload: IPv4 20, TCP 20,
// timestamps 12.
const segmentHeaderBytes = 52

const acceptRetryDelay = 10 * time.Millisecond // after an accept that failed

// Traffic is what passed over the connections of a listener, both ways.
type Traffic struct {
	BytesIn, BytesOut uint64 // payload bytes read and written by the listener's side
	Segments          uint64 // TCP segments both ways by TCP_INFO, pure acknowledgements among them
	Conns             uint64 // connections accepted
}

// Bytes returns the bytes on the wire, headers included. What follows a
// connection's close (its FIN and the acknowledgement) is not in it.
func (t Traffic) Bytes() uint64 { return t.BytesIn + t.BytesOut + segmentHeaderBytes*t.Segments }

// Listener counts the traffic of the connections that it accepts. Its methods
// may be called from many goroutines.
type Listener struct {
	net.Listener

	mu            sync.Mutex
	openConns     map[*conn]struct{}
	closedTraffic Traffic // of closed connections, and Conns of all
	closed        bool
}

// Listen wraps l. Segments stay 0 for connections that are not TCP.
func Listen(l net.Listener) *Listener {
	return &Listener{Listener: l, openConns: make(map[*conn]struct{})}
}

// Accept waits for the next connection, which counts until it is closed.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		nc.Close()
		return nil, net.ErrClosed
	}
	l.openConns[c] = struct{}{}
	l.closedTraffic.Conns++
	return c, nil
}

// Serve hands every connection to handle, on a goroutine of its own that serving
// waits for, until the listener is closed.
func (l *Listener) Serve(serving *sync.WaitGroup, handle func(net.Conn)) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // out of descriptors, most likely
			continue
		}
		serving.Go(func() { handle(nc) })
	}
}

// Traffic sums live and ended connections.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.closedTraffic
	for c := range l.openConns {
		t.addConn(c)
	}
	return t
}

// ResetConns ends all live connections with a reset; the listener goes on.
func (l *Listener) ResetConns() {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.openConns))
	for c := range l.openConns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if tc, ok := c.Conn.(*net.TCPConn); ok {
			tc.SetLinger(0)
		}
		c.Close()
	}
}

// CloseAll closes the listener and resets all its connections.
func (l *Listener) CloseAll() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	err := l.Listener.Close()
	l.ResetConns()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Plus is the traffic of both.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{BytesIn: t.BytesIn + o.BytesIn, BytesOut: t.BytesOut + o.BytesOut, Segments: t.Segments + o.Segments, Conns: t.Conns + o.Conns}
}

func (t *Traffic) addConn(c *conn) {
	*t = t.Plus(Traffic{BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(), Segments: segments(c.Conn)})
}

// conn counts its payload. Its segments are read from the kernel when asked for,
// and for the last time as it closes.
type conn struct {
	net.Conn
	listener          *Listener
	bytesIn, bytesOut atomic.Uint64
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

// Close moves the connection's counts to those of the ended ones, once.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if _, open := l.openConns[c]; open {
		delete(l.openConns, c)
		l.closedTraffic.addConn(c)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// segments returns the TCP segments of a connection both ways, 0 if the kernel
// doesn't tell.
func segments(c net.Conn) (n uint64) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = uint64(info.Segs_in) + uint64(info.Segs_out)
		}
	})
	return n
}
