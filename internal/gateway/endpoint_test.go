package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"amberlb/policy"
)

// A connection that a backend refuses costs no request; a backend that drains gets none.
func TestRefusedConnectionAndDrainingBackendGetNoRequest(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	g := startTestGateway(t, dead, backend)
	dead.listener.Close()
	for range 4 { // none is lost, whichever is picked first
		_, responses := g.sendRequest(t, requestText("POST", "payment", "x"))
		conn, _ := backend.acceptRequest(t)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := await(t, responses, "response"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The poll after the one that told of the drain shows that it was taken in.
	await(t, g.discovery.calls, "first list")
	await(t, g.discovery.calls, "watch")
	g.discovery.answers <- endpointListOf(false, "Terminating", backend)
	await(t, g.discovery.calls, "next watch")
	_, responses := g.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, responses, "response"); resp.StatusCode != 429 || len(backend.conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.conns))
	}
}

// A drain ends the dials to its backend: an attempt that waits for one goes elsewhere, or its request is rejected, and
// nothing is sent when the connection is made.
func TestDrainEndsDial(t *testing.T) {
	t.Parallel()
	backend, other := newFullBacklogBackend(t), newPeer(t)
	g := startTestGatewayWith(t, strings.NewReplacer(`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
	g.publishBackends(t, backend.address)
	_, responses := g.sendRequest(t, requestText("POST", "payment", "x"))
	awaitCondition(t, "the backend is never dialled", func() bool { return isDialing(t, backend.address) })
	list := endpointListOf(true, "Ready", other)
	list.Entries = append(list.Entries,
		EndpointEntry{ID: backend.address, HostPort: backend.address, Zone: "a", Lifecycle: "Terminating"})
	g.discovery.answers <- list
	serveOne(t, other, "ok")
	if resp := await(t, responses, "response"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if isDialing(t, backend.address) {
		t.Error("the dial to the draining backend goes on")
	}
}

// The process behind an old connection is gone once its backend has started anew; a request written there is lost or in
// doubt.
func TestNewIncarnationOrAddressGetsNewConnections(t *testing.T) {
	backend, moved := newPeer(t), newPeer(t)
	p := newPoolsFor(t, backend.address())
	inFlight := startRoundTrip(p, newAttempt(testTimeout))
	backend.acceptRequest(t)
	p.updateEndpoint(1, backend.address(), 5)
	if got := await(t, inFlight, "result"); got.outcome != policy.ConnectionReset {
		t.Errorf("in flight at the old incarnation: outcome %d", got.outcome)
	}
	for n, current := range []*peer{backend, moved} {
		p.updateEndpoint(1, current.address(), 5)
		results := startRoundTrip(p, newAttempt(testTimeout))
		conn, _ := current.acceptRequest(t)
		respondOK(conn, "")
		if got := await(t, results, "result"); got.outcome != policy.Served || p.openConns != 1 {
			t.Errorf("new endpoint %d: outcome %d, %d open", n, got.outcome, p.openConns)
		}
	}
}

// A draining backend gets nothing new, but may finish what it has in flight.
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
		t.Errorf("in flight: outcome %d, %d open", got.outcome, p.openConns)
	}
}
