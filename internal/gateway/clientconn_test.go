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

// newClientConn is a connection in a table, with its client's end.
func newClientConn(t *testing.T) (near *clientConn, far net.Conn) {
	t.Helper()
	p := newPeer(t)
	far, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	conn, _ := p.accept(t)
	t.Cleanup(func() { far.Close(); conn.Close() })
	return newClientConnections(nil, 10).tryAdd(conn), far
}

// send writes from the client's end, and waits until it has arrived.
func send(t *testing.T, near *clientConn, far net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(far, text); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); isQuiet(near.Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing arrives")
		}
	}
}

// The end of the wait for a request leaves alone one that has arrived, or that has begun: the time of the wait is over,
// not that of the request.
func TestWaitEndsAsRequestComes(t *testing.T) {
	for name, ends := range map[string]func(*clientConn){
		"by the server's time-out": func(near *clientConn) { near.SetReadDeadline(time.Unix(1, 0)) },
		"by a stop":                func(near *clientConn) { near.table.drain(time.Now().Add(testTimeout)) },
		"to make room": func(near *clientConn) {
			near.table.mu.Lock()
			defer near.table.mu.Unlock()
			near.table.closeWhenIdle(near)
		},
	} {
		near, far := newClientConn(t)
		near.table.onConnState(near, http.StateActive)
		near.table.onConnState(near, http.StateIdle)
		send(t, near, far, "G")
		ends(near)
		buffer := make([]byte, 16)
		if n, err := near.Read(buffer); n != 1 || err != nil {
			t.Errorf("%s: a request that has arrived: %d bytes, %v", name, n, err)
		}
		send(t, near, far, "ET")
		if n, err := near.Read(buffer); n != 2 || err != nil {
			t.Errorf("%s: the rest of it: %d bytes, %v", name, n, err)
		}
	}
}

// A request of which a part has been read is refused, and not just closed, where there is no room for it.
func TestHalfRequestMakesRoom(t *testing.T) {
	near, far := newClientConn(t)
	send(t, near, far, "GET /lookup")
	buffer := make([]byte, 64)
	if n, err := near.Read(buffer); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	near.table.mu.Lock()
	evicted := near.table.evict(near)
	near.table.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		_, err := near.Read(buffer)
		near.Close()
		ended <- err
	}()
	far.SetDeadline(time.Now().Add(testTimeout))
	answer, err := io.ReadAll(far)
	if !evicted || err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") {
		t.Errorf("evicted %t; the client got %q, %v", evicted, answer, err)
	}
	if err := await(t, ended, "end"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the server got %v", err)
	}
}

// A deadline that the server sets while a connection is to end doesn't undo the end, and the end is not taken for a
// request.
func TestEndOutlastsServersDeadline(t *testing.T) {
	near, _ := newClientConn(t)
	near.table.onConnState(near, http.StateActive)
	near.table.onConnState(near, http.StateIdle)
	near.table.drain(time.Now().Add(testTimeout))
	near.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := near.Read(make([]byte, 16)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
}
