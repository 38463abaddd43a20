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

// A request that the gateway has read, but not yet begun on, when its connection is
// to end to make room is served there, once.
func TestMakeRoomRacesRequestThatIsRead(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	silent := make(chan net.Conn, 100)
	_, conn := startRace(t, false, strings.NewReplacer(`"sockets": 1024`, `"sockets": 128`).Replace, backend, func(r *testGateway, c *gatedConn) {
		c.armed.Store(true)
		for range cap(silent) { // the bound is below 50
			if conn, err := net.Dial("tcp", r.address); err == nil {
				silent <- conn
			}
		}
		close(silent)
		<-c.readEnded
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		serveOne(t, backend, "paid")
	}()
	if resp, err := roundTripOn(t, conn, requestText("POST", "payment", "cash")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request that had been read: %v, %v", resp, err)
	}
	await(t, answered, "attempt")
	for c := range silent {
		c.Close()
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d more connections to the backend: it ran twice", n)
	}
}

// An accept that fails, for a moment or for a while, ends nothing: what is open is answered, and new connections are
// accepted soon after.
func TestFailingAcceptEndsNothing(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.ETIMEDOUT} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var failures atomic.Int64
			way := &gatedListener{acceptError: func() error {
				if failures.Add(-1) >= 0 {
					return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return nil
			}}
			r := startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchangedConfig, backend)
			_, held := r.sendRequest(t, requestText("POST", "payment", "held"))
			conn, br := backend.accept(t)
			readRequest(t, br)
			serve := func() { // on a connection of its own
				conn, br := backend.accept(t)
				readRequest(t, br)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}
			failures.Store(12) // the accept that is under way comes first
			_, first := r.sendRequest(t, requestText("GET", "lookup", ""))
			serve()
			if resp := await(t, first, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			began := time.Now()
			_, second := r.sendRequest(t, requestText("GET", "lookup", ""))
			serve()
			if resp := await(t, second, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d after the failures", resp.StatusCode)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("accepted %v after 12 failures", took)
			}
			total(conn, http.StatusOK, "paid")
			if resp := await(t, held, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the held request: status %d", resp.StatusCode)
			}
		})
	}
}
