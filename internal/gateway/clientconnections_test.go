package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Connections that say nothing, however many, must not keep a usual client from being served, and are closed.
func TestSilentConnectionsDoNotKeepClientsOut(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, strings.NewReplacer(`"sockets": 1024`, `"sockets": 128`).Replace, backend)
	var silent []net.Conn
	for range 100 { // the limit is 48
		conn, err := net.Dial("tcp", g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		silent = append(silent, conn)
	}
	_, answers := g.sendRequest(t, requestText("POST", "booking", "x"))
	serveOne(t, backend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for i, conn := range silent {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("silent connection %d: %d bytes, %v", i, n, err)
		}
	}
}

// isTimeout reports whether err is that of a deadline.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// A request that never becomes complete gets an error in time, and a request that waits for its answer is not cut off
// by the same time-out.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, openAnswers := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	complete := requestText("POST", "booking", "pickup")
	for _, text := range []string{complete[:10], complete[:len(complete)-1]} {
		client, _ := net.Dial("tcp", g.address)
		defer client.Close()
		io.WriteString(client, text)
		client.SetReadDeadline(time.Now().Add(testTimeout))
		answer, err := io.ReadAll(client)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
			t.Errorf("after %d bytes: %q, %v", len(text), answer, err)
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // later than the time-out for reading
	if resp := await(t, openAnswers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
}

// evictionTable is a table of connections between a test and a peer.
type evictionTable struct {
	*clientConnections
	peer *peer
}

// newConn returns both ends of a connection that the table does not have yet.
func (e *evictionTable) newConn(t *testing.T) (near, far net.Conn) {
	t.Helper()
	return connPair(t, e.peer)
}

// add returns a connection of the table in the given state, last active so long ago, and its client's end.
func (e *evictionTable) add(t *testing.T, state http.ConnState, age time.Duration) (conn *clientConn, client net.Conn) {
	t.Helper()
	near, client := e.newConn(t)
	conn = e.tryAdd(near)
	if state == http.StateIdle {
		e.onConnState(conn, http.StateActive)
	}
	e.onConnState(conn, state)
	conn.lastActive = conn.lastActive.Add(-age)
	return conn, client
}

// addServed is add, with a server that waits on the connection and so can close it.
func (e *evictionTable) addServed(t *testing.T, state http.ConnState, age time.Duration) *clientConn {
	t.Helper()
	conn, _ := e.add(t, state, age)
	go func() {
		if _, err := conn.Read(make([]byte, 16)); err != nil {
			conn.Close()
			e.onConnState(conn, http.StateClosed)
		}
	}()
	return conn
}

// canAdd tries to enter one more connection, for long enough if it is expected to be. It reports whether it was
// entered, and takes it out again.
func (e *evictionTable) canAdd(t *testing.T, expected bool) bool {
	t.Helper()
	near, _ := e.newConn(t)
	conn := e.tryAdd(near)
	for end := time.Now().Add(minEvictionGrace / 2); expected && conn == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the closing ones end when their servers have seen it
		conn = e.tryAdd(near)
	}
	if conn == nil {
		return false
	}
	e.onConnState(conn, http.StateClosed)
	return true
}

// Newcomers replace the connections that have been idle for the longest, but none on which an unread request has just
// arrived, no open request and no new idle one.
func TestEvictionOrder(t *testing.T) {
	table := &evictionTable{newClientConnections(nil, 100), newPeer(t)}
	arrived, client := table.add(t, http.StateNew, time.Hour)
	send(t, arrived.Conn, client, "G")
	longIdle := table.addServed(t, http.StateIdle, time.Hour)
	incomplete, client := table.add(t, http.StateNew, time.Hour)
	io.WriteString(client, "GE")
	if n, err := incomplete.Read(make([]byte, 16)); n == 0 || err != nil { // the server has the beginning
		t.Fatal(n, err)
	}
	silent := table.addServed(t, http.StateNew, time.Minute)
	open, _ := table.add(t, http.StateActive, 0)
	recent := table.addServed(t, http.StateIdle, evictionGrace/2)
	fresh, _ := table.add(t, http.StateNew, 0)
	// In the order of their last activity: the incomplete request counts from its first byte.
	table.mu.Lock()
	table.idle.MoveAfter(incomplete.idleElement, recent.idleElement)
	table.mu.Unlock()
	for _, step := range []struct {
		name     string
		maxConns int
		added    bool // a newcomer is
		kept     []*clientConn
	}{
		{"below the soft limit", 10, true, []*clientConn{arrived, longIdle, silent, open, recent, incomplete, fresh}},
		{"above the soft limit", 7, true, []*clientConn{arrived, open, recent, incomplete, fresh}},
		{"recent ones stay below the limit", 6, true, []*clientConn{arrived, open, recent, incomplete, fresh}},
		{"at the limit", 5, true, []*clientConn{arrived, open, incomplete, fresh}},
		{"nothing to evict", 4, false, []*clientConn{arrived, open, incomplete, fresh}},
	} {
		table.mu.Lock()
		table.maxConns = step.maxConns
		incomplete.lastActive = time.Now() // however long the steps before have taken
		fresh.lastActive = incomplete.lastActive
		table.mu.Unlock()
		if added := table.canAdd(t, step.added); added != step.added {
			t.Errorf("%s: newcomer added %t", step.name, added)
		}
		table.expectKept(t, step.name, step.kept)
	}
	for conn := range table.conns {
		table.onConnState(conn, http.StateClosed)
	}
	table.maxConns = 1
	near, _ := table.newConn(t)
	if table.tryAdd(near) == nil || table.idle.Len() != 1 {
		t.Errorf("no place when all have gone; %d idle", table.idle.Len())
	}
}

// expectKept checks that the table has these connections and no other, once the servers of those that are closing have
// closed them, and that none of them is closing.
func (e *evictionTable) expectKept(t *testing.T, step string, want []*clientConn) {
	t.Helper()
	awaitCondition(t, step+": closing connections are closed", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.closing == 0
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) != len(want) || e.closing != 0 {
		t.Errorf("%s: %d connections kept, want %d; %d more are closing", step, len(e.conns), len(want), e.closing)
	}
	for i, conn := range want {
		if _, kept := e.conns[conn]; !kept || conn.closing {
			t.Errorf("%s: connection %d was not kept", step, i)
		}
	}
}
