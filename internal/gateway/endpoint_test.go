package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"amberlb/policy"
)

// A request whose connection is refused is sent to another backend. A draining backend gets no requests.
func TestRefusedConnectionAndDrainingBackendGetNoRequest(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	g := startTestGateway(t, dead, backend)
	dead.listener.Close()
	for range 4 { // no request may fail, whichever backend is picked first
		_, answers := g.sendRequest(t, requestText("POST", "payment", "x"))
		conn, _ := backend.acceptRequest(t)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// When the gateway polls again after the response that reports the drain, the gateway has received the drain.
	await(t, g.discovery.queries, "first list")
	await(t, g.discovery.queries, "watch")
	g.discovery.responses <- endpointListOf(false, "Terminating", backend)
	await(t, g.discovery.queries, "next watch")
	_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.conns))
	}
}

// When a backend begins to drain, dials to it must end at once. Otherwise an attempt that waits for a slow dial would
// be sent to the draining backend. The request must be retried elsewhere or rejected instead.
func TestDrainEndsDial(t *testing.T) {
	t.Parallel()
	backend, other := newFullBacklogBackend(t), newPeer(t)
	g := startTestGatewayWith(t, strings.NewReplacer(`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
	g.publishBackends(t, backend.address)
	_, answers := g.sendRequest(t, requestText("POST", "payment", "x"))
	awaitCondition(t, "the backend was never dialed", func() bool { return isDialing(t, backend.address) })
	list := endpointListOf(true, "Ready", other)
	list.Entries = append(list.Entries,
		EndpointEntry{ID: backend.address, HostPort: backend.address, Zone: "a", Lifecycle: "Terminating"})
	g.discovery.responses <- list
	serveOne(t, other, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if isDialing(t, backend.address) {
		t.Error("the dial to the draining backend has not ended")
	}
}

// When a backend restarts or moves, its old connections must not be reused: the process behind them is gone. A request
// written to an old connection would be lost, or it would be unknown whether the request was executed.
func TestNewIncarnationOrAddressGetsNewConnections(t *testing.T) {
	backend, moved := newPeer(t), newPeer(t)
	p := newPoolsFor(t, backend.address())
	inFlight := startRoundTrip(p, newAttempt(testTimeout))
	backend.acceptRequest(t)
	restartedAt := unixSeconds(time.Now())
	p.updateEndpoint(1, backend.address(), restartedAt)
	if got := await(t, inFlight, "result"); got.outcome != policy.ConnectionReset {
		t.Errorf("attempt in flight at the old incarnation: outcome %d", got.outcome)
	}
	for n, current := range []*peer{backend, moved} {
		p.updateEndpoint(1, current.address(), restartedAt)
		results := startRoundTrip(p, newAttempt(testTimeout))
		conn, _ := current.acceptRequest(t)
		respondOK(conn, "")
		if got := await(t, results, "result"); got.outcome != policy.Served || p.openConns != 1 {
			t.Errorf("new endpoint %d: outcome %d, %d connections open", n, got.outcome, p.openConns)
		}
	}
}

// The list tells of a new process only after connections to it have been dialed at the old address. The attempts on these
// connections go on, and the connections are used again, while those to the old process are closed. A process whose clock
// was set back is a new one as well.
func TestConnectionsToNewProcessAreKept(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	toOld := startRoundTrip(p, newAttempt(testTimeout))
	backend.acceptRequest(t)
	restartedAt := unixSeconds(time.Now())
	toNew := startRoundTrip(p, newAttempt(testTimeout))
	conn, reader := backend.acceptRequest(t)
	p.updateEndpoint(1, backend.address(), restartedAt)
	if got := await(t, toOld, "result at the old process"); got.outcome != policy.ConnectionReset {
		t.Errorf("attempt at the old process: outcome %d", got.outcome)
	}
	respondOK(conn, "")
	if got := await(t, toNew, "result at the new process"); got.outcome != policy.Served || p.openConns != 1 {
		t.Errorf("attempt at the new process: outcome %d, %d connections open", got.outcome, p.openConns)
	}
	time.Sleep(2 * reuseDelay)
	results := startRoundTrip(p, newAttempt(testTimeout))
	readRequest(t, reader)
	respondOK(conn, "")
	await(t, results, "result on the same connection")
	p.updateEndpoint(1, backend.address(), 0)
	if p.openConns != 1 {
		t.Error("a start long ago was taken for a restart")
	}
	toNew = startRoundTrip(p, newAttempt(testTimeout))
	time.Sleep(2 * reuseDelay)
	p.updateEndpoint(1, backend.address(), restartedAt-3600)
	if updated := p.endpoints[1]; updated.startedAt != restartedAt-3600 {
		t.Errorf("the endpoint is still that of the process that started at %v", updated.startedAt)
	}
	p.retireAll()
	await(t, toNew, "result")
}

// A draining backend gets no new attempts, but may finish its attempts in flight.
func TestDrainingBackendFinishesAttemptsInFlight(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	inFlight := startRoundTrip(p, newAttempt(testTimeout))
	conn, _ := backend.acceptRequest(t)
	p.removeEndpoint(1)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("new attempt: outcome %d", got.outcome)
	}
	respondOK(conn, "")
	if got := await(t, inFlight, "result"); got.outcome != policy.Served || p.openConns != 0 {
		t.Errorf("attempt in flight: outcome %d, %d connections open", got.outcome, p.openConns)
	}
}
