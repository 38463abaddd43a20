package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gatedListener is a listener for clients on which a test stands between the gateway and the kernel: it sees each read
// before and after it happens. Functions that are nil are not called.
type gatedListener struct {
	net.Listener
	onAccept           func()       // before the gateway has the connection
	acceptError        func() error // fails an accept, unless it returns nil
	beforeRead         func(*gatedConn)
	afterRead          func(*gatedConn)            // unless nothing was read
	beforeReadDeadline func(*gatedConn, time.Time) // before a deadline for reading is set
	conns              sync.Map                    // *gatedConn by the client's address
}

// gatedConn is a connection that a gatedListener has accepted.
type gatedConn struct {
	*net.TCPConn
	listener   *gatedListener
	readsBegun atomic.Int32 // for a request or a part of one
	armed      atomic.Bool
	readEnded  chan struct{} // closed as the wait for a request is ended by a deadline, once armed
}

// Accept waits for a client.
func (g *gatedListener) Accept() (net.Conn, error) {
	if g.acceptError != nil {
		if err := g.acceptError(); err != nil {
			return nil, err
		}
	}
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if g.onAccept != nil {
		g.onAccept()
	}
	gated := &gatedConn{TCPConn: conn.(*net.TCPConn), listener: g, readEnded: make(chan struct{})}
	g.conns.Store(conn.RemoteAddr().String(), gated)
	return gated, nil
}

// SetDeadline bounds the wait for a connection.
func (g *gatedListener) SetDeadline(deadline time.Time) error {
	return g.Listener.(*net.TCPListener).SetDeadline(deadline)
}

// Read reads what the client has sent.
func (c *gatedConn) Read(p []byte) (int, error) {
	if len(p) > 1 { // else the server watches for a client that leaves
		c.readsBegun.Add(1)
	}
	if c.listener.beforeRead != nil {
		c.listener.beforeRead(c)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.listener.afterRead != nil {
		c.listener.afterRead(c)
	}
	return n, err
}

// SetReadDeadline ends the current read too, if the deadline has passed.
func (c *gatedConn) SetReadDeadline(deadline time.Time) error {
	if c.listener.beforeReadDeadline != nil {
		c.listener.beforeReadDeadline(c, deadline)
	}
	err := c.TCPConn.SetReadDeadline(deadline)
	if !deadline.IsZero() && deadline.Before(time.Now()) && c.armed.CompareAndSwap(true, false) {
		close(c.readEnded)
	}
	return err
}

// holdAccept returns a listener on which the next accept, once shut is set, says so on waiting and is held until gate
// is closed.
func holdAccept() (listener *gatedListener, gateClosed *atomic.Bool, waiting <-chan struct{}, gate chan<- struct{}) {
	gateClosed = &atomic.Bool{}
	held := make(chan struct{}, 1)
	gateOpened := make(chan struct{})
	listener = &gatedListener{onAccept: func() {
		if gateClosed.CompareAndSwap(true, false) {
			held <- struct{}{}
			<-gateOpened
		}
	}}
	return listener, gateClosed, held, gateOpened
}

// startRace starts a gateway and opens a connection on which onRead is called once the gateway has read the next
// request, and before it begins on that. Unless newConnection is set, a request has been answered on the connection
// before.
func startRace(t *testing.T, newConnection bool, changeConfig func(string) string, backend *peer,
	onRead func(*testGateway, *gatedConn)) (*testGateway, net.Conn) {
	t.Helper()
	var g *testGateway
	var client atomic.Pointer[net.TCPAddr] // whose next read is the one
	listener := &gatedListener{}
	listener.afterRead = func(c *gatedConn) {
		if address := client.Load(); address != nil && c.RemoteAddr().String() == address.String() {
			client.Store(nil)
			onRead(g, c)
		}
	}
	wrapListener := func(l net.Listener) net.Listener {
		listener.Listener = l
		return listener
	}
	g = startTestGatewayBehind(t, wrapListener, changeConfig, backend)
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if !newConnection {
		if _, err := roundTripOn(t, conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		gated, _ := listener.conns.Load(conn.LocalAddr().String())
		awaitCondition(t, "the gateway never waits for another request",
			func() bool { return gated.(*gatedConn).readsBegun.Load() >= 2 })
	}
	client.Store(conn.LocalAddr().(*net.TCPAddr))
	return g, conn
}
