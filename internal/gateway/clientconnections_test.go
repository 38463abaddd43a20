package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Connections that say nothing, however many, must not keep a usual client
// from being served, and end by themselves.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGatewayWith(t, strings.NewReplacer(`"sockets": 256`, `"sockets": 128`).Replace, backend)
	var silent []net.Conn
	for range 100 { // the bound is below 40
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	_, answers := r.sendRequest(t, requestText("POST", "booking", "x"))
	serveOne(t, backend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("silent connection %d: %d bytes, %v", i, n, err)
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// What never becomes a whole request gets an error in time, and a
// request that waits for its answer is not cut off for it.
func TestHalfRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	_, held := r.sendRequest(t, requestText("GET", "lookup", ""))
	conn, br := backend.accept(t)
	readRequest(t, br)
	whole := requestText("POST", "booking", "pickup")
	for _, text := range []string{whole[:10], whole[:len(whole)-1]} {
		c, _ := net.Dial("tcp", r.address)
		defer c.Close()
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
			t.Errorf("after %d bytes: %q, %v", len(text), answer, err)
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // later than the time-out for reading
	if resp := await(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was held: status %d", resp.StatusCode)
	}
}

// Room is made by ending what has been idle for the longest, but nothing that
// an unread request has just arrived on, no open request and no new idle one.
func TestMakeRoom(t *testing.T) {
	p := newPeer(t)
	c := newClientConnections(nil, 100)
	dial := func() (near, far net.Conn) {
		far, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		near, _ = p.accept(t)
		t.Cleanup(func() { far.Close(); near.Close() })
		return near, far
	}
	// A server waits on those that are to end.
	served := func(s http.ConnState, age time.Duration, pair func(http.ConnState, time.Duration) (*clientConn, net.Conn)) *clientConn {
		near, _ := pair(s, age)
		go func() {
			if _, err := near.Read(make([]byte, 16)); err != nil {
				near.Close()
				c.onConnState(near, http.StateClosed)
			}
		}()
		return near
	}
	pair := func(s http.ConnState, age time.Duration) (near *clientConn, far net.Conn) {
		conn, far := dial()
		near = c.tryAdd(conn)
		if s == http.StateIdle {
			c.onConnState(near, http.StateActive)
		}
		c.onConnState(near, s)
		near.lastActive = near.lastActive.Add(-age)
		return near, far
	}
	arrived, far := pair(http.StateNew, time.Hour)
	io.WriteString(far, "G")
	for end := time.Now().Add(testTimeout); isQuiet(arrived.Conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the byte is on its way through the kernel
	}
	resting := served(http.StateIdle, time.Hour, pair)
	half, far := pair(http.StateNew, time.Hour)
	io.WriteString(far, "GE")
	if n, err := half.Read(make([]byte, 16)); n == 0 || err != nil { // the server has the beginning
		t.Fatal(n, err)
	}
	silent := served(http.StateNew, time.Minute, pair)
	working, _ := pair(http.StateActive, 0)
	recent := served(http.StateIdle, evictionGrace/2, pair)
	fresh, _ := pair(http.StateNew, 0)
	// In the order of their last sign of life: the half request counts from its first byte.
	c.mu.Lock()
	c.idle.MoveAfter(half.idleElement, recent.idleElement)
	c.mu.Unlock()
	for i, step := range []struct {
		most int
		room bool
		kept []*clientConn
	}{
		{10, true, []*clientConn{arrived, resting, silent, working, recent, half, fresh}}, // below the soft bound
		{7, true, []*clientConn{arrived, working, recent, half, fresh}},
		{6, true, []*clientConn{arrived, working, recent, half, fresh}}, // room enough for what was quiet for less than 2 s
		{5, true, []*clientConn{arrived, working, half, fresh}},         // none at all
		{4, false, []*clientConn{arrived, working, half, fresh}},
	} {
		c.mu.Lock()
		c.maxConns = step.most
		half.lastActive, fresh.lastActive = time.Now(), time.Now() // however long the steps before have taken
		c.mu.Unlock()
		next, _ := dial()
		got := c.tryAdd(next)
		for end := time.Now().Add(minEvictionGrace / 2); step.room && got == nil && time.Now().Before(end); {
			time.Sleep(time.Millisecond) // what is ending needs its server for it
			got = c.tryAdd(next)
		}
		if (got != nil) != step.room {
			t.Errorf("step %d: room %t", i, got != nil)
		}
		if got != nil {
			c.onConnState(got, http.StateClosed)
		}
		c.mu.Lock()
		if len(c.conns) != len(step.kept) || c.closing != 0 {
			t.Errorf("step %d: %d connections kept, want %d; %d more are ending", i, len(c.conns), len(step.kept), c.closing)
		}
		for n, conn := range step.kept {
			if _, kept := c.conns[conn]; !kept || conn.closing {
				t.Errorf("step %d: connection %d was not kept", i, n)
			}
		}
		c.mu.Unlock()
	}
	for conn := range c.conns {
		c.onConnState(conn, http.StateClosed)
	}
	c.maxConns = 1
	next, _ := dial()
	if c.tryAdd(next) == nil || c.idle.Len() != 1 {
		t.Errorf("no room when all have gone; %d idle", c.idle.Len())
	}
}
