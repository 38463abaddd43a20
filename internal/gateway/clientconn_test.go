package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// newClientConn returns a connection in a new table, and the client's end of it.
func newClientConn(t *testing.T) (conn *clientConn, client net.Conn) {
	t.Helper()
	near, client := connPair(t, newPeer(t))
	return newClientConnections(nil, 10).tryAdd(near), client
}

// connPair opens a connection to p. It returns the accepted end as near and the dialed end as far.
func connPair(t *testing.T, p *peer) (near, far net.Conn) {
	t.Helper()
	far, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	near, _ = p.accept(t)
	t.Cleanup(func() {
		far.Close()
		near.Close()
	})
	return near, far
}

// newIdleClientConn returns a connection whose last request has been answered, and the client's end of it.
func newIdleClientConn(t *testing.T) (conn *clientConn, client net.Conn) {
	t.Helper()
	conn, client = newClientConn(t)
	conn.table.onConnState(conn, http.StateActive)
	conn.table.onConnState(conn, http.StateIdle)
	return conn, client
}

// send writes text at the far end of a connection, and waits until it has arrived at the near end.
func send(t *testing.T, near, far net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	awaitBytes(t, near)
}

// awaitBytes waits until bytes have arrived on a connection. The kernel may take a moment to deliver them.
func awaitBytes(t *testing.T, conn net.Conn) {
	t.Helper()
	for end := time.Now().Add(testTimeout); isOpenWithoutInput(conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no bytes have arrived on the connection")
		}
	}
}

// The gateway ends the wait for the next request on an idle connection just as a request begins to arrive. The request
// must still be read: the end of the idle time does not limit the time for reading a request.
func TestIdleCloseKeepsConnectionWithArrivedRequest(t *testing.T) {
	for name, endWait := range map[string]func(*clientConn){
		"by the server's deadline": func(conn *clientConn) { conn.SetReadDeadline(time.Unix(1, 0)) },
		"by a shutdown":            func(conn *clientConn) { conn.table.drain(time.Now().Add(testTimeout)) },
		"by an eviction": func(conn *clientConn) {
			conn.table.mu.Lock()
			defer conn.table.mu.Unlock()
			conn.table.closeWhenIdle(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, client := newIdleClientConn(t)
			send(t, conn.Conn, client, "G")
			endWait(conn)
			buffer := make([]byte, 16)
			if n, err := conn.Read(buffer); n != 1 || err != nil {
				t.Errorf("first byte of the request: read %d bytes, %v", n, err)
			}
			send(t, conn.Conn, client, "ET")
			if n, err := conn.Read(buffer); n != 2 || err != nil {
				t.Errorf("next bytes of the request: read %d bytes, %v", n, err)
			}
		})
	}
}

// If a connection with a partly read request is evicted, the gateway must answer the request with an error before it
// closes the connection.
func TestEvictedIncompleteRequestIsRejected(t *testing.T) {
	conn, client := newClientConn(t)
	send(t, conn.Conn, client, "GET /lookup")
	buffer := make([]byte, 64)
	if n, err := conn.Read(buffer); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	conn.table.mu.Lock()
	evicted := conn.table.evict(conn)
	conn.table.mu.Unlock()
	readEnded := make(chan error, 1)
	go func() {
		_, err := conn.Read(buffer)
		conn.Close()
		readEnded <- err
	}()
	client.SetDeadline(time.Now().Add(testTimeout))
	answer, err := io.ReadAll(client)
	if !evicted || err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
		t.Errorf("evicted %t; the client read %q, %v", evicted, answer, err)
	}
	if err := await(t, readEnded, "end of the read"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the server's read returned %v", err)
	}
}

// If the server sets a read deadline on a closing connection, the connection must stay closing: the next read returns a
// timeout at once, and no bytes.
func TestServersDeadlineDoesNotUndoClose(t *testing.T) {
	conn, _ := newIdleClientConn(t)
	conn.table.drain(time.Now().Add(testTimeout))
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := conn.Read(make([]byte, 16)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
