package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
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
