package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"amberlb/policy"
)

// newAttempt returns an attempt at backend 1, with a request to send and the given timeout.
func newAttempt(timeout time.Duration) *attempt {
	a := &attempt{
		backend:        1,
		socketDeadline: time.Now().Add(timeout),
		request: &clientRequest{
			method: "POST",
			uri:    "/booking/7?a=%2F",
			host:   "origin.svc",
			header: http.Header{correlationIDHeader: {"id-1"}},
			body:   []byte("pickup"),
		},
	}
	a.ctx, a.cancelContext = context.WithCancel(context.Background())
	return a
}

// Once cancel has returned, the request can get its final answer. No further byte of the request may be sent, neither
// on a connection that a pending dial opens later, nor on the attempt's current connection.
func TestNothingIsSentAfterCancel(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	a := newAttempt(testTimeout)
	a.cancel()
	a.ctx = context.Background() // lets the dial succeed despite the cancel
	p.roundTrip(a)
	conn, reader := backend.accept(t)
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read from a connection dialed after the cancel: %v, want EOF", err)
	}
	conn.Close()

	a = newAttempt(testTimeout)
	results := startRoundTrip(p, a)
	_, reader = backend.acceptRequest(t)
	a.cancel()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read from the connection in use after the cancel: %v, want EOF", err)
	}
	await(t, results, "result")
	if p.openConns != 0 {
		t.Errorf("%d connections are still open", p.openConns)
	}
}

// The goroutine that watches a client for a disconnect may not have had its turn yet when an attempt gets its connection.
// The request of a client that has closed its connection must not be written then.
func TestAttemptAsksClientsSocketBeforeItIsSent(t *testing.T) {
	near, far := connPair(t, newPeer(t))
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	for _, closed := range []bool{false, true} {
		if closed {
			far.Close()
			awaitCondition(t, "the close has not arrived", func() bool { return peerClosed(near) })
		}
		a := newAttempt(testTimeout)
		a.request.clientConn = near
		results := startRoundTrip(p, a)
		conn, reader := backend.accept(t)
		if closed {
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("read from the attempt's connection: %v, want EOF", err)
			}
		} else {
			readRequest(t, reader)
			respondOK(conn, "")
			conn.Close()
		}
		want := policy.Served
		if closed {
			want = policy.ConnectFailed
		}
		if got := await(t, results, "result"); got.outcome != want || a.request.disconnected.Load() != closed {
			t.Errorf("client closed %t: outcome %v, disconnected %t", closed, got.outcome, a.request.disconnected.Load())
		}
	}
}
