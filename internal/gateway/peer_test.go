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

// testTimeout bounds every wait in a test. No wait is expected to take that long.
const testTimeout = 20 * time.Second

// peer is a listener that a test uses as a backend, a counter or the accepting side of any connection. It sends each
// accepted connection on conns, and closes the connections at the end of the test.
type peer struct {
	listener net.Listener
	conns    chan net.Conn
}

// newPeer listens on a free loopback address.
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

// accept returns the next connection and a reader for it. It sets a deadline of testTimeout on the connection.
func (p *peer) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn := await(t, p.conns, "a connection")
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

// acceptRequest accepts a connection and reads a request from it.
func (p *peer) acceptRequest(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := p.accept(t)
	readRequest(t, reader)
	return conn, reader
}

// readRequest reads a request with its body.
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

// respondOK writes a response with status 200. It ignores errors, because the gateway may have closed the connection.
func respondOK(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveOne serves one request on a new connection. The response has a header for the client and a header that only the
// gateway reads.
func serveOne(t *testing.T, backend *peer, body string) {
	t.Helper()
	conn, _ := backend.acceptRequest(t)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
}

// await returns the next value from a channel. It fails the test if no value arrives within testTimeout. The failure
// message contains the description of the value.
func await[T any](t *testing.T, ch <-chan T, description string) T {
	t.Helper()
	select {
	case value := <-ch:
		return value
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for: %s", description)
		panic("unreachable")
	}
}

// awaitCondition waits until a condition holds. It fails the test with a message if that takes longer than
// testTimeout.
func awaitCondition(t *testing.T, message string, holds func() bool) {
	t.Helper()
	awaitWithin(t, testTimeout, message, holds)
}

// awaitWithin waits until a condition holds. It fails the test with a message if that takes longer than timeout.
func awaitWithin(t *testing.T, timeout time.Duration, message string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

// freeAddress returns an unused loopback address, for a client whose address the test has to know in advance.
func freeAddress(t *testing.T) *net.TCPAddr {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr)
}
