package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// gated is a way to the gateway on which a test stands between the gateway and
// the kernel: it sees each read before and after it happens.
type gated struct {
	net.Listener
	accepted      func()       // before the gateway has the connection
	refuses       func() error // fails an accept, unless it returns nil
	before, after func(*gatedConn)
	deadline      func(*gatedConn, time.Time) // before a deadline for reading is set
	conns         sync.Map                    // *gatedConn by the client's address
}

type gatedConn struct {
	*net.TCPConn
	way   *gated
	waits atomic.Int32 // for a request or more of it, so far
	armed atomic.Bool
	ended chan struct{} // its wait for a request was ended, once armed
}

func (g *gated) Accept() (net.Conn, error) {
	if g.refuses != nil {
		if err := g.refuses(); err != nil {
			return nil, err
		}
	}
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if g.accepted != nil {
		g.accepted()
	}
	at := &gatedConn{TCPConn: c.(*net.TCPConn), way: g, ended: make(chan struct{})}
	g.conns.Store(c.RemoteAddr().String(), at)
	return at, nil
}

func (c *gatedConn) Read(p []byte) (int, error) {
	if len(p) > 1 { // else the server watches for a client that leaves
		c.waits.Add(1)
	}
	if c.way.before != nil {
		c.way.before(c)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.way.after != nil {
		c.way.after(c)
	}
	return n, err
}

func (c *gatedConn) SetReadDeadline(at time.Time) error {
	if c.way.deadline != nil {
		c.way.deadline(c, at)
	}
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) && c.armed.CompareAndSwap(true, false) {
		close(c.ended)
	}
	return err
}

// SetDeadline bounds the wait for a connection.
func (g *gated) SetDeadline(at time.Time) error { return g.Listener.(*net.TCPListener).SetDeadline(at) }

// holdAccept is a way on which the next accept, once shut is set, says so on waiting and is held until gate is closed.
func holdAccept() (way *gated, shut *atomic.Bool, waiting <-chan struct{}, gate chan<- struct{}) {
	shut = &atomic.Bool{}
	held, closed := make(chan struct{}, 1), make(chan struct{})
	way = &gated{accepted: func() {
		if shut.CompareAndSwap(true, false) {
			held <- struct{}{}
			<-closed
		}
	}}
	return way, shut, held, closed
}

// raced is a gateway with a connection on which a request has been read, but not
// yet begun on, when something else happens to that connection.
func raced(t *testing.T, fresh bool, change func(string) string, backend *peer, happens func(*rig, *gatedConn)) (*rig, net.Conn) {
	t.Helper()
	var r *rig
	var target atomic.Pointer[net.TCPAddr]
	way := &gated{}
	way.after = func(c *gatedConn) {
		if at := target.Load(); at != nil && c.RemoteAddr().String() == at.String() {
			target.Store(nil)
			happens(r, c)
		}
	}
	r = newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, change, backend)
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	if !fresh {
		if _, err := exchangeOn(t, conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		at, _ := way.conns.Load(conn.LocalAddr().String())
		for end := time.Now().Add(patience); at.(*gatedConn).waits.Load() < 2; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gateway never waits for another request")
			}
		}
	}
	target.Store(conn.LocalAddr().(*net.TCPAddr))
	return r, conn
}
