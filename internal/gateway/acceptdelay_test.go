package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// arrivedConns is a listener whose connections are those of a channel.
type arrivedConns struct {
	conns    chan net.Conn
	onAccept func() // called as Accept begins; nil: nothing is
}

// Accept returns the next connection, or net.ErrClosed once the channel is closed.
func (c *arrivedConns) Accept() (net.Conn, error) {
	if c.onAccept != nil {
		c.onAccept()
	}
	if conn, ok := <-c.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Close does nothing.
func (c *arrivedConns) Close() error { return nil }

// Addr returns no address in particular.
func (c *arrivedConns) Addr() net.Addr { return &net.TCPAddr{} }

// A request that waited in the accept queue, since there was no place for those before it, has used that time of its
// client's timeout: its backend gets what is left. One that came without a wait has lost none.
func TestTimeInAcceptQueueCountsAgainstDeadline(t *testing.T) {
	const clientTimeout = 5 * time.Second
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	peer := newPeer(t)
	arrive := func() net.Conn { // with a request
		near, far := connPair(t, peer)
		send(t, near, far, requestText("GET", "lookup", "", timeLeftHeader, "5000"))
		return near
	}
	arrived := &arrivedConns{conns: make(chan net.Conn, 10)}
	table := newClientConnections(arrived, 1)
	f := &frontend{loop: &eventLoop{clock: newClock()}, deployment: &config.Deployment}
	accept := func() *clientConn {
		conn, err := table.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*clientConn)
	}
	timeLeft := func(conn *clientConn) time.Duration {
		return time.Until(f.requestDeadline(t, conn))
	}
	arrived.conns <- arrive()
	first := accept()
	if left := timeLeft(first); left < 4900*time.Millisecond {
		t.Errorf("no wait: %v of %v are left", left, clientTimeout)
	}
	// Two find no place, for minEvictionGrace each; the third does.
	for range 3 {
		arrived.conns <- arrive()
	}
	began := time.Now()
	time.AfterFunc(2*minEvictionGrace+minEvictionGrace/2, func() {
		table.mu.Lock()
		defer table.mu.Unlock()
		table.remove(first)
	})
	third := accept()
	waited := time.Since(began)
	if left := timeLeft(third); left > clientTimeout-waited+5*time.Millisecond || waited < 2*minEvictionGrace {
		t.Errorf("after a wait of %v, %v of %v are left", waited, left, clientTimeout)
	}
	// There is a place again, and nobody waits: the next one comes while the acceptor has waited for a while.
	table.mu.Lock()
	table.remove(third)
	table.mu.Unlock()
	next := arrive()
	arrived.onAccept = func() {
		time.AfterFunc(20*time.Millisecond, func() { arrived.conns <- next })
	}
	if left := timeLeft(accept()); left < 4900*time.Millisecond {
		t.Errorf("no wait any more: %v of %v are left", left, clientTimeout)
	}
}

// requestDeadline decodes the request that waits on a connection, and returns its deadline.
func (f *frontend) requestDeadline(t *testing.T, conn *clientConn) time.Time {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	r = r.WithContext(context.WithValue(r.Context(), connContextKey{}, conn))
	req, err := f.decode(httptest.NewRecorder(), r)
	if err != nil {
		t.Fatal(err)
	}
	return f.loop.clock.toTime(req.decoded.Deadline)
}
