package gateway

import (
	"net"
	"testing"
	"time"

	"amberlb/policy"
)

// newPoolsFor returns connectionPools with backend 1 at the given address.
func newPoolsFor(t *testing.T, address string) *connectionPools {
	p := newConnectionPools(testTimeout, time.Minute, 8)
	p.updateEndpoint(1, address, 0)
	t.Cleanup(func() { p.removeEndpoint(1) })
	return p
}

// startRoundTrip runs an attempt on a new goroutine and returns a channel with its result.
func startRoundTrip(p *connectionPools, a *attempt) <-chan attemptResult {
	results := make(chan attemptResult, 1)
	go func() { results <- p.roundTrip(a) }()
	return results
}

// markRecentlyUsed makes the first idle connection to backend 1 look as if it had just been used. The idle time begins
// reuseDelay in the future, so that the connection is still too recently used if the next attempt is a little late.
func markRecentlyUsed(p *connectionPools) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[1].idleConns[0].idleSince = time.Now().Add(reuseDelay)
}

// serveAttempt sends an attempt, which the backend serves on a new connection. It returns the backend's end of the
// connection.
func serveAttempt(t *testing.T, p *connectionPools, backend *peer, body string) net.Conn {
	t.Helper()
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	respondOK(conn, body)
	if got := await(t, results, "result"); got.outcome != policy.Served {
		t.Errorf("outcome %d", got.outcome)
	}
	return conn
}

// resultBehindDuplicate returns the result of an attempt whose response is "second". Before it, a duplicate of the
// response "first" to the attempt before comes on the connection of that one, which has just been used.
func resultBehindDuplicate(t *testing.T, p *connectionPools, backend *peer) attemptResult {
	t.Helper()
	conn := serveAttempt(t, p, backend, "first")
	markRecentlyUsed(p)
	results := startRoundTrip(p, newAttempt(testTimeout))
	other, _ := backend.acceptRequest(t)
	respondOK(conn, "first")
	respondOK(other, "second")
	return await(t, results, "result")
}

func TestAttemptWithoutConnectionIsConnectFailed(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	backend.listener.Close()
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("connection refused: outcome %d", got.outcome)
	}
	p.removeEndpoint(1)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed || p.openConns != 0 {
		t.Errorf("backend not listed: outcome %d, %d connections open", got.outcome, p.openConns)
	}
}

// A backend may close an idle connection. A request written to a closed connection would end as a reset and could not
// be retried, so the pool checks the socket before it reuses the connection.
func TestIdleConnectionClosedByBackendIsNotReused(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	serveAttempt(t, p, backend, "").Close()
	idle := p.endpoints[1].idleConns[0]
	// The kernel may take a moment to deliver the close.
	awaitCondition(t, "the idle connection was never closed", func() bool { return !isOpenWithoutInput(idle.Conn) })
	serveAttempt(t, p, backend, "") // on a new connection
}

// A backend may send a duplicate of a response shortly after the response. If another request had been sent on the
// connection between the response and the duplicate, the duplicate would be read as the response to that request.
func TestDuplicateResponseIsNotReadAsNextResponse(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	if got := resultBehindDuplicate(t, p, backend); string(got.body) != "second" {
		t.Errorf("body %q", got.body)
	}
}

// At the connection limit, a connection that has been idle for less than reuseDelay is not reused, but evicted for a
// new connection.
func TestDuplicateResponseAtConnectionLimit(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	if got := resultBehindDuplicate(t, p, backend); string(got.body) != "second" || p.openConns != 1 {
		t.Errorf("body %q, %d connections open", got.body, p.openConns)
	}
}

// An idle connection can be reused after the deadlines of earlier attempts on it have passed. Otherwise connections
// would be replaced needlessly, and each new connection costs the backend work.
func TestReuseAfterPastDeadline(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, reader := backend.accept(t)
	for i := range 2 {
		readRequest(t, reader)
		respondOK(conn, "")
		if got := await(t, results, "result"); got.outcome != policy.Served {
			t.Errorf("attempt %d: outcome %d", i, got.outcome)
		}
		p.endpoints[1].idleConns[0].SetDeadline(time.Now().Add(-time.Second)) // like the deadline of an earlier attempt
		if i == 0 {
			time.Sleep(2 * reuseDelay)
			results = startRoundTrip(p, newAttempt(testTimeout))
		}
	}
	if len(backend.conns) != 0 || p.openConns != 1 {
		t.Errorf("%d additional connections accepted, %d open", len(backend.conns), p.openConns)
	}
}

func TestIdleTimeoutAndConnectionLimit(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("at the connection limit: outcome %d", got.outcome)
	}
	respondOK(conn, "")
	await(t, results, "result")
	// An idle connection is evicted for a new connection to another backend.
	other := newPeer(t)
	p.updateEndpoint(2, other.address(), 0)
	a := newAttempt(testTimeout)
	a.backend = 2
	results = startRoundTrip(p, a)
	conn, _ = other.acceptRequest(t)
	if len(p.endpoints[1].idleConns) != 0 || p.openConns != 1 {
		t.Errorf("%d connections idle, %d open", len(p.endpoints[1].idleConns), p.openConns)
	}
	respondOK(conn, "")
	await(t, results, "result")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleBefore(p.endpoints[2], time.Now().Add(-time.Hour))
	if p.openConns != 1 {
		t.Errorf("a connection was closed before its idle timeout")
	}
	p.closeIdleBefore(p.endpoints[2], time.Now().Add(time.Hour))
	if p.openConns != 0 || len(p.endpoints[2].idleConns) != 0 {
		t.Errorf("%d connections open after the idle timeout", p.openConns)
	}
}
