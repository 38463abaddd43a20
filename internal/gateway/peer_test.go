package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// testTimeout bounds every wait of a test; none is expected to last so long.
const testTimeout = 20 * time.Second

// peer is the other side of the gateway's connections: it hands each one to the test, and closes what is left at the
// end of the test.
type peer struct {
	listener net.Listener
	conns    chan net.Conn
}

// newPeer listens on a free address of loopback.
func newPeer(t *testing.T) *peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: listener, conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			p.conns <- conn
		}
	}()
	return p
}

func (p *peer) address() string { return p.listener.Addr().String() }

// accept returns the next connection, with a deadline, and a reader of it.
func (p *peer) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := await(t, p.conns, "a connection")
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// acceptRequest accepts a connection and reads the request on it.
func (p *peer) acceptRequest(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := p.accept(t)
	readRequest(t, reader)
	return conn, reader
}

// readRequest reads one request and its body.
func readRequest(t *testing.T, reader *bufio.Reader) (*http.Request, []byte) {
	t.Helper()
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return req, body
}

// respondOK writes a response of status 200. A connection that the gateway has closed may fail it.
func respondOK(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveOne serves one request on a new connection, with headers for clients and for gateways.
func serveOne(t *testing.T, backend *peer, body string) {
	t.Helper()
	conn, _ := backend.acceptRequest(t)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
}

// await returns the next value of a channel.
func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-ch:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

// awaitCondition returns once a condition holds, and else fails the test with a message.
func awaitCondition(t *testing.T, message string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// freeAddress returns an address of loopback that nobody uses, for a client whose connection is to be known
// beforehand.
func freeAddress(t *testing.T) *net.TCPAddr {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr)
}
