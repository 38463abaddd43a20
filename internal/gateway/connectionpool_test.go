package gateway

import (
	"testing"
	"time"

	"amberlb/policy"
)

// newPoolsFor returns pools with backend 1 at an address.
func newPoolsFor(t *testing.T, address string) *connectionPools {
	p := newConnectionPools(testTimeout, time.Minute, 8)
	p.updateEndpoint(1, address, 0)
	t.Cleanup(func() { p.removeEndpoint(1) })
	return p
}

// startRoundTrip runs an attempt on a goroutine of its own.
func startRoundTrip(p *connectionPools, a *attempt) <-chan attemptResult {
	results := make(chan attemptResult, 1)
	go func() { results <- p.roundTrip(a) }()
	return results
}

// markRecentlyUsed makes the first idle connection to backend 1 one that has been used just now, so that the next attempt
// surely comes within its reuseDelay.
func markRecentlyUsed(p *connectionPools) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[1].idleConns[0].idleSince = time.Now().Add(reuseDelay)
}

func TestAttemptWithoutConnectionIsConnectFailed(t *testing.T) {
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

// A backend may close an idle connection. A request written to it would end as a reset and could not be retried; so the
// socket is examined first.
func TestIdleConnectionClosedByBackendIsNotReused(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	respondOK(conn, "")
	await(t, results, "result")
	conn.Close()
	idle := p.endpoints[1].idleConns[0]
	// The end of the connection is on its way through the kernel.
	awaitCondition(t, "the idle connection never ends", func() bool { return !isQuiet(idle.Conn) })
	results = startRoundTrip(p, newAttempt(testTimeout))
	conn, _ = backend.acceptRequest(t)
	respondOK(conn, "")
	if got := await(t, results, "result"); got.outcome != policy.Served {
		t.Errorf("outcome %d", got.outcome)
	}
}

// A duplicate of a response may follow a little later: no other request may be sent on the connection meanwhile, lest
// the duplicate be read as its response.
func TestDuplicateResponseIsNotReadAsTheNext(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	respondOK(conn, "first")
	await(t, results, "result")
	markRecentlyUsed(p)
	results = startRoundTrip(p, newAttempt(testTimeout))
	other, _ := backend.acceptRequest(t)
	respondOK(conn, "first")
	respondOK(other, "second")
	if got := await(t, results, "result"); string(got.body) != "second" {
		t.Errorf("body %q", got.body)
	}
}

// At the limit of connections, one that may not be reused yet is evicted for a new one; it is not reused all the same.
func TestDuplicateResponseAtConnectionLimit(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	respondOK(conn, "first")
	await(t, results, "result")
	markRecentlyUsed(p)
	results = startRoundTrip(p, newAttempt(testTimeout))
	other, _ := backend.acceptRequest(t)
	respondOK(conn, "first")
	respondOK(other, "second")
	if got := await(t, results, "result"); string(got.body) != "second" || p.openConns != 1 {
		t.Errorf("body %q, %d open", got.body, p.openConns)
	}
}

// An idle connection outlives the deadlines of the attempts that it carried: a new one costs its backend work.
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
		p.endpoints[1].idleConns[0].SetDeadline(time.Now().Add(-time.Second)) // as if the first had been long ago
		if i == 0 {
			time.Sleep(2 * reuseDelay)
			results = startRoundTrip(p, newAttempt(testTimeout))
		}
	}
	if len(backend.conns) != 0 || p.openConns != 1 {
		t.Errorf("%d more connections, %d open", len(backend.conns), p.openConns)
	}
}

func TestIdleTimeoutAndConnectionLimit(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	p.maxConns = 1
	results := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("over the connection limit: outcome %d", got.outcome)
	}
	respondOK(conn, "")
	await(t, results, "result")
	// An idle connection to another backend is evicted for one that is needed.
	other := newPeer(t)
	p.updateEndpoint(2, other.address(), 0)
	a := newAttempt(testTimeout)
	a.backend = 2
	results = startRoundTrip(p, a)
	conn, _ = other.acceptRequest(t)
	if len(p.endpoints[1].idleConns) != 0 || p.openConns != 1 {
		t.Errorf("%d idle, %d open", len(p.endpoints[1].idleConns), p.openConns)
	}
	respondOK(conn, "")
	await(t, results, "result")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleBefore(p.endpoints[2], time.Now().Add(-time.Hour))
	if p.openConns != 1 {
		t.Errorf("a fresh connection was closed")
	}
	p.closeIdleBefore(p.endpoints[2], time.Now().Add(time.Hour))
	if p.openConns != 0 || len(p.endpoints[2].idleConns) != 0 {
		t.Errorf("%d open after the idle timeout", p.openConns)
	}
}
