package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gatedListener is a listener for clients that calls a test's hooks during accepts, reads and writes, between the gateway
// and the kernel. Hooks may be nil.
type gatedListener struct {
	net.Listener
	onAccept           func()       // called before Accept returns an accepted connection
	acceptError        func() error // called before each accept; an error fails the accept
	beforeRead         func(*gatedConn)
	afterRead          func(*gatedConn)            // called after a read that returned bytes
	beforeWrite        func()                      // called before a write
	beforeReadDeadline func(*gatedConn, time.Time) // called before a read deadline is set
	conns              sync.Map                    // maps the client's address to the accepted *gatedConn
}

// gatedConn is a connection that a gatedListener has accepted. When armed is set, the next read deadline in the past
// closes readEnded and resets armed.
type gatedConn struct {
	*net.TCPConn
	listener   *gatedListener
	readsBegun atomic.Int32 // number of reads for a request, without the reads that watch for a disconnect
	armed      atomic.Bool
	readEnded  chan struct{} // closed when a read deadline in the past is set while armed is set
}

// Accept returns the next connection, as a gatedConn.
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

// SetDeadline sets the deadline of Accept.
func (g *gatedListener) SetDeadline(deadline time.Time) error {
	return g.Listener.(*net.TCPListener).SetDeadline(deadline)
}

// Read reads from the client and calls the listener's hooks.
func (c *gatedConn) Read(p []byte) (int, error) {
	if len(p) > 1 { // a read of 1 byte is the server's watch for a disconnect
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

// Write calls the listener's hook and writes to the client.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.listener.beforeWrite != nil {
		c.listener.beforeWrite()
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the read deadline. A deadline in the past ends the current read. If armed is set, a deadline in
// the past also closes readEnded.
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

// holdAccept returns a listener that holds the next connection that it accepts after hold is set. When the connection
// has been accepted, the listener sends a value on held, and Accept returns when the test has closed release.
func holdAccept() (listener *gatedListener, hold *atomic.Bool, held <-chan struct{}, release chan<- struct{}) {
	hold = &atomic.Bool{}
	isHeld := make(chan struct{}, 1)
	released := make(chan struct{})
	listener = &gatedListener{onAccept: func() {
		if hold.CompareAndSwap(true, false) {
			isHeld <- struct{}{}
			<-released
		}
	}}
	return listener, hold, isHeld, released
}

// startRace starts a gateway and opens a connection to it. It calls onRead when the gateway has read the first bytes of
// the next request on that connection, before the gateway handles these bytes. Unless newConnection is set, the
// connection has served a request before.
func startRace(t *testing.T, newConnection bool, changeConfig func(string) string, backend *peer,
	onRead func(*testGateway, *gatedConn)) (*testGateway, net.Conn) {
	t.Helper()
	var g *testGateway
	var client atomic.Pointer[net.TCPAddr] // address of the client whose next bytes cause a call of onRead
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
		awaitCondition(t, "the gateway does not wait for the next request",
			func() bool { return gated.(*gatedConn).readsBegun.Load() >= 2 })
	}
	client.Store(conn.LocalAddr().(*net.TCPAddr))
	return g, conn
}
