package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

func newAttempt(timeout time.Duration) *attempt {
	a := &attempt{backend: 1, socketDeadline: time.Now().Add(timeout), request: &clientRequest{method: "POST", uri: "/booking/7?a=%2F",
		host: "origin.svc", header: http.Header{correlationIDHeader: {"id-1"}}, body: []byte("pickup")}}
	a.ctx, a.cancelContext = context.WithCancel(context.Background())
	return a
}

// After cancel has returned the request has its final answer, and not a byte
// may leave for it: neither by a dial that comes up later, nor on a connection.
func TestCalledOff(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	a := newAttempt(testTimeout)
	a.cancel()
	a.ctx = context.Background() // as if the dial had come up all the same
	p.roundTrip(a)
	conn, r := backend.accept(t)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("sent after the call-off: %v", err)
	}
	conn.Close()

	a = newAttempt(testTimeout)
	done := startRoundTrip(p, a)
	_, r = backend.accept(t)
	readRequest(t, r)
	a.cancel()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection after the call-off: %v", err)
	}
	await(t, done, "result")
	if p.openConns != 0 {
		t.Errorf("%d connections open", p.openConns)
	}
}
