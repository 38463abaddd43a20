// Package netstats counts the traffic of a listener: payload, TCP segments and
// connections, so that a run can tell what its gateways cost a network.
package netstats

import (
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is waited after an accept that failed.
const acceptRetryDelay = 10 * time.Millisecond

// Listener counts the traffic of the connections that it accepts. Its methods
// may be called from many goroutines.
type Listener struct {
	net.Listener

	mu            sync.Mutex
	openConns     map[*conn]struct{}
	closedTraffic Traffic // of closed connections, but Conns of all
	closed        bool
}

// Listen wraps a listener. Segments stay 0 for connections that are not TCP.
func Listen(listener net.Listener) *Listener {
	return &Listener{Listener: listener, openConns: make(map[*conn]struct{})}
}

// ListenLoopback listens on a port of loopback that the system chooses.
func ListenLoopback() (*Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Listen(listener), nil
}

// Accept waits for the next connection, whose traffic counts until it is closed.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		accepted.Close()
		return nil, net.ErrClosed
	}
	l.openConns[c] = struct{}{}
	l.closedTraffic.Conns++
	return c, nil
}

// Serve accepts connections until the listener is closed, and handles each on a
// goroutine of its own, for which serving waits. handle closes its connection.
func (l *Listener) Serve(serving *sync.WaitGroup, handle func(net.Conn)) {
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // the process is out of file descriptors, most likely
			continue
		}
		serving.Go(func() { handle(accepted) })
	}
}

// Traffic is the traffic of all connections so far, open or closed.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.closedTraffic
	for c := range l.openConns {
		total = total.Plus(c.traffic())
	}
	return total
}

// ResetConns closes all open connections with a reset. The listener goes on.
func (l *Listener) ResetConns() {
	for _, c := range l.open() {
		if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
			tcpConn.SetLinger(0)
		}
		c.Close()
	}
}

// open returns the open connections.
func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.openConns))
	for c := range l.openConns {
		conns = append(conns, c)
	}
	return conns
}

// CloseAll closes the listener and resets all its connections. It returns nil if the
// listener is closed already.
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

// connClosed moves a connection's traffic to that of the closed ones, once.
func (l *Listener) connClosed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.openConns[c]; open {
		delete(l.openConns, c)
		l.closedTraffic = l.closedTraffic.Plus(c.traffic())
	}
}
