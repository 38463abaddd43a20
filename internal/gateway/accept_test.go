package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// wrapWith returns a function that makes gated wrap a gateway's listener.
func wrapWith(gated *gatedListener) func(net.Listener) net.Listener {
	return func(listener net.Listener) net.Listener {
		gated.Listener = listener
		return gated
	}
}

// The gateway evicts a connection after it has read a request from the connection, but before it has started the
// request. The request must be served on that connection, and be sent to the backend only once.
func TestEvictionRacesRequestBeingRead(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	silent := make(chan net.Conn, 100) // more than the limit of client connections, which is below 50
	fewSockets := strings.NewReplacer(`"sockets": 1024`, `"sockets": 128`).Replace
	_, conn := startRace(t, false, fewSockets, backend, func(g *testGateway, c *gatedConn) {
		c.armed.Store(true)
		for range cap(silent) {
			if conn, err := net.Dial("tcp", g.address); err == nil {
				silent <- conn
			}
		}
		close(silent)
		<-c.readEnded
	})
	served := make(chan struct{})
	go func() {
		defer close(served)
		serveOne(t, backend, "paid")
	}()
	if resp, err := roundTripOn(t, conn, requestText("POST", "payment", "cash")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request on the evicted connection: %v, %v", resp, err)
	}
	await(t, served, "attempt")
	for c := range silent {
		c.Close()
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d more connections to the backend: the request was sent more than once", n)
	}
}

// Consecutive failures of accept must not stop the gateway: open requests are answered, and new connections are
// accepted soon after the failures.
func TestAcceptErrorsAreRetried(t *testing.T) {
	t.Parallel()
	const failures = 12 // consecutive failing accepts
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EPERM, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.ETIMEDOUT,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var remaining atomic.Int64 // number of accepts that are still to fail
			gated := &gatedListener{acceptError: func() error {
				if remaining.Add(-1) >= 0 {
					return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return nil
			}}
			g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
			_, openAnswers := g.sendRequest(t, requestText("POST", "payment", "held"))
			openConn, reader := backend.accept(t)
			readRequest(t, reader)
			serve := func() { // serves one request on a new backend connection
				t.Helper()
				conn, reader := backend.accept(t)
				readRequest(t, reader)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}
			remaining.Store(failures) // the accept that has already begun still succeeds
			_, first := g.sendRequest(t, requestText("GET", "lookup", ""))
			serve()
			if resp := await(t, first, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			began := time.Now()
			_, second := g.sendRequest(t, requestText("GET", "lookup", ""))
			serve()
			if resp := await(t, second, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d after the failures", resp.StatusCode)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("answered %v after %d failed accepts", took, failures)
			}
			writeResponse(openConn, http.StatusOK, "paid")
			if resp := await(t, openAnswers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the open request: status %d", resp.StatusCode)
			}
		})
	}
}
