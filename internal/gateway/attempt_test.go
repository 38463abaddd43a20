package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// newAttempt returns an attempt at backend 1 that has a request to send and so long for it.
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

// After cancel has returned the request has its final answer, and not a byte may leave for it: neither by a dial that
// succeeds later, nor on a connection.
func TestNothingIsSentAfterCancel(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	a := newAttempt(testTimeout)
	a.cancel()
	a.ctx = context.Background() // as if the dial had succeeded all the same
	p.roundTrip(a)
	conn, reader := backend.accept(t)
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("sent after the cancel: %v", err)
	}
	conn.Close()

	a = newAttempt(testTimeout)
	results := startRoundTrip(p, a)
	_, reader = backend.acceptRequest(t)
	a.cancel()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection after the cancel: %v", err)
	}
	await(t, results, "result")
	if p.openConns != 0 {
		t.Errorf("%d connections open", p.openConns)
	}
}
