package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gatedListener is a way to the gateway on which a test stands between the gateway and
// the kernel: it sees each read before and after it happens.
type gatedListener struct {
	net.Listener
	onAccept              func()       // before the gateway has the connection
	acceptError           func() error // fails an accept, unless it returns nil
	beforeRead, afterRead func(*gatedConn)
	beforeReadDeadline    func(*gatedConn, time.Time) // before a deadline for reading is set
	conns                 sync.Map                    // *gatedConn by the client's address
}

type gatedConn struct {
	*net.TCPConn
	listener   *gatedListener
	readsBegun atomic.Int32 // for a request or more of it, so far
	armed      atomic.Bool
	readEnded  chan struct{} // its wait for a request was ended, once armed
}

func (g *gatedListener) Accept() (net.Conn, error) {
	if g.acceptError != nil {
		if err := g.acceptError(); err != nil {
			return nil, err
		}
	}
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if g.onAccept != nil {
		g.onAccept()
	}
	at := &gatedConn{TCPConn: c.(*net.TCPConn), listener: g, readEnded: make(chan struct{})}
	g.conns.Store(c.RemoteAddr().String(), at)
	return at, nil
}

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

func (c *gatedConn) SetReadDeadline(at time.Time) error {
	if c.listener.beforeReadDeadline != nil {
		c.listener.beforeReadDeadline(c, at)
	}
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) && c.armed.CompareAndSwap(true, false) {
		close(c.readEnded)
	}
	return err
}

// SetDeadline bounds the wait for a connection.
func (g *gatedListener) SetDeadline(at time.Time) error {
	return g.Listener.(*net.TCPListener).SetDeadline(at)
}

// holdAccept is a way on which the next accept, once shut is set, says so on waiting and is held until gate is closed.
func holdAccept() (way *gatedListener, shut *atomic.Bool, waiting <-chan struct{}, gate chan<- struct{}) {
	shut = &atomic.Bool{}
	held, closed := make(chan struct{}, 1), make(chan struct{})
	way = &gatedListener{onAccept: func() {
		if shut.CompareAndSwap(true, false) {
			held <- struct{}{}
			<-closed
		}
	}}
	return way, shut, held, closed
}

// startRace is a gateway with a connection on which a request has been read, but not
// yet begun on, when something else happens to that connection.
func startRace(t *testing.T, newConnection bool, changeConfig func(string) string, backend *peer, onRead func(*testGateway, *gatedConn)) (*testGateway, net.Conn) {
	t.Helper()
	var r *testGateway
	var target atomic.Pointer[net.TCPAddr]
	way := &gatedListener{}
	way.afterRead = func(c *gatedConn) {
		if at := target.Load(); at != nil && c.RemoteAddr().String() == at.String() {
			target.Store(nil)
			onRead(r, c)
		}
	}
	r = startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, changeConfig, backend)
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if !newConnection {
		if _, err := roundTripOn(t, conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		at, _ := way.conns.Load(conn.LocalAddr().String())
		for end := time.Now().Add(testTimeout); at.(*gatedConn).readsBegun.Load() < 2; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gateway never waits for another request")
			}
		}
	}
	target.Store(conn.LocalAddr().(*net.TCPAddr))
	return r, conn
}
