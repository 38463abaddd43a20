// Package netstats counts the payload bytes, TCP segments and connections of a listener, so
// that an experiment can report how much network traffic its gateways cause.
package netstats

import (
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// Listener is a net.Listener that counts the traffic of the connections that it accepts. Its
// methods may be called concurrently.
type Listener struct {
	net.Listener

	mu            sync.Mutex
	openConns     map[*conn]struct{}
	closedTraffic Traffic // traffic of the closed connections; the field Conns also counts open connections
	closed        bool
}

// Listen wraps a listener so that its traffic is counted. Segments are counted for TCP connections only.
func Listen(listener net.Listener) *Listener {
	return &Listener{Listener: listener, openConns: make(map[*conn]struct{})}
}

// ListenLoopback listens on a port of 127.0.0.1 that the system chooses.
func ListenLoopback() (*Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Listen(listener), nil
}

// Accept waits for the next connection and returns it. The traffic of the connection is counted until it is closed.
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

// Serve accepts connections until the listener is closed, and calls the function handle for each
// connection on its own goroutine, which is added to serving. The function must close the connection.
func (l *Listener) Serve(serving *sync.WaitGroup, handle func(net.Conn)) {
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // most likely the process has no free file descriptor
			continue
		}
		serving.Go(func() { handle(accepted) })
	}
}

// Traffic returns the traffic so far of all connections, including closed connections.
func (l *Listener) Traffic() Traffic {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.closedTraffic
	for c := range l.openConns {
		total = total.Plus(c.traffic())
	}
	return total
}

// ResetConns resets all open connections. The listener keeps accepting new connections.
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
// listener was already closed.
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

// connClosed adds the traffic of a connection that is being closed to closedTraffic. Further calls for the same
// connection do nothing.
func (l *Listener) connClosed(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.openConns[c]; open {
		delete(l.openConns, c)
		l.closedTraffic = l.closedTraffic.Plus(c.traffic())
	}
}
