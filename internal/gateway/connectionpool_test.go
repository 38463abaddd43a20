package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"amberlb/policy"
)

func TestNeverConnected(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	backend.listener.Close()
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("refused: outcome %d", got.outcome)
	}
	p.removeEndpoint(1)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed || p.openConns != 0 {
		t.Errorf("not listed: outcome %d, %d open", got.outcome, p.openConns)
	}
}

// A backend may close an idle connection. A request written to it would end as
// a reset and could not be sent again; so the socket is looked at first.
func TestClosedIdleConnection(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	done := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	await(t, done, "result")
	conn.Close()
	until := time.Now().Add(testTimeout)
	for idle := p.endpoints[1].idleConns[0]; isQuiet(idle.Conn) && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // the end of the connection is on its way through the kernel
	}
	done = startRoundTrip(p, newAttempt(testTimeout))
	conn, r = backend.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := await(t, done, "result"); got.outcome != policy.Served {
		t.Errorf("outcome %d", got.outcome)
	}
}

// A second copy of an answer may follow the first a little later: no other
// request may be sent there meanwhile, lest the copy be taken for its answer.
func TestLateCopy(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	done := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	await(t, done, "result")
	p.mu.Lock()
	p.endpoints[1].idleConns[0].idleSince = time.Now().Add(reuseDelay) // so that the next surely comes within it
	p.mu.Unlock()
	done = startRoundTrip(p, newAttempt(testTimeout))
	other, r := backend.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	if got := await(t, done, "result"); string(got.body) != "second" {
		t.Errorf("body %q", got.body)
	}
}

// Where no more connections may be had, one that has not settled gives way to a
// new one; it is not used all the same.
func TestLateCopyWithoutRoom(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	done := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	total(conn, http.StatusOK, "first")
	await(t, done, "result")
	p.mu.Lock()
	p.endpoints[1].idleConns[0].idleSince = time.Now().Add(reuseDelay) // so that the next surely comes within it
	p.mu.Unlock()
	done = startRoundTrip(p, newAttempt(testTimeout))
	other, r := backend.accept(t)
	readRequest(t, r)
	total(conn, http.StatusOK, "first")
	total(other, http.StatusOK, "second")
	if got := await(t, done, "result"); string(got.body) != "second" || p.openConns != 1 {
		t.Errorf("body %q, %d open", got.body, p.openConns)
	}
}

// An idle connection outlives the time-outs of the attempts it carried: a new one
// costs its backend work.
func TestReuseAfterOldDeadline(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	done := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	for i := range 2 {
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := await(t, done, "result"); got.outcome != policy.Served {
			t.Errorf("attempt %d: outcome %d", i, got.outcome)
		}
		p.endpoints[1].idleConns[0].SetDeadline(time.Now().Add(-time.Second)) // as if the first had been long ago
		if i == 0 {
			time.Sleep(2 * reuseDelay)
			done = startRoundTrip(p, newAttempt(testTimeout))
		}
	}
	if len(backend.conns) != 0 || p.openConns != 1 {
		t.Errorf("%d more connections, %d open", len(backend.conns), p.openConns)
	}
}

func TestIdleLimitAndMostOpen(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	first := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("past the most connections: outcome %d", got.outcome)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	await(t, first, "result")
	// An idle connection elsewhere gives way to one that is needed.
	other := newPeer(t)
	p.updateEndpoint(2, other.address(), 0)
	a := newAttempt(testTimeout)
	a.backend = 2
	first = startRoundTrip(p, a)
	conn, r = other.accept(t)
	readRequest(t, r)
	if len(p.endpoints[1].idleConns) != 0 || p.openConns != 1 {
		t.Errorf("%d idle, %d open", len(p.endpoints[1].idleConns), p.openConns)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	await(t, first, "result")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeIdleBefore(p.endpoints[2], time.Now().Add(-time.Hour)); p.openConns != 1 {
		t.Errorf("a fresh connection was closed")
	}
	if p.closeIdleBefore(p.endpoints[2], time.Now().Add(time.Hour)); p.openConns != 0 || len(p.endpoints[2].idleConns) != 0 {
		t.Errorf("%d open after the idle limit", p.openConns)
	}
}

func newPoolsFor(t *testing.T, address string) *connectionPools {
	p := newConnectionPools(testTimeout, time.Minute, 8)
	p.updateEndpoint(1, address, 0)
	t.Cleanup(func() { p.removeEndpoint(1) })
	return p
}

func startRoundTrip(p *connectionPools, a *attempt) <-chan attemptResult {
	done := make(chan attemptResult, 1)
	go func() { done <- p.roundTrip(a) }()
	return done
}
