package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"amberlb/policy"
)

func TestRefusedBackendAndDrain(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	r := startTestGateway(t, dead, backend)
	dead.listener.Close()
	for range 4 { // none is lost, whichever is picked first
		_, answers := r.sendRequest(t, requestText("POST", "payment", "x"))
		conn, br := backend.accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The call after the one that told of the drain shows that it was heard.
	await(t, r.discovery.calls, "first list")
	await(t, r.discovery.calls, "watch")
	r.discovery.answers <- listingOf(false, "Terminating", backend)
	await(t, r.discovery.calls, "next watch")
	_, answers := r.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.conns))
	}
}

// A drain ends the dials to its backend: what waits for one goes elsewhere, or is
// refused, and nothing is sent when the connection comes up.
func TestDrainRacesDial(t *testing.T) {
	t.Parallel()
	backend, other := newCrowded(t), newPeer(t)
	r := startTestGatewayWith(t, strings.NewReplacer(`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
	r.publishBackends(t, backend.address)
	_, answers := r.sendRequest(t, requestText("POST", "payment", "x"))
	for end := time.Now().Add(testTimeout); !dialling(t, backend.address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	told := listingOf(true, "Ready", other)
	told.Instances = append(told.Instances, Instance{ID: backend.address, HostPort: backend.address, Zone: "a", Lifecycle: "Terminating"})
	r.discovery.answers <- told
	serveOne(t, other, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if dialling(t, backend.address) {
		t.Error("the dial to the draining backend goes on")
	}
}

// The process behind an old connection is gone once its backend has started
// anew; a request written there is lost or in doubt.
func TestNewLife(t *testing.T) {
	backend, moved := newPeer(t), newPeer(t)
	p := newPoolsFor(t, backend.address())
	out := startRoundTrip(p, newAttempt(testTimeout))
	_, r := backend.accept(t)
	readRequest(t, r)
	p.updateEndpoint(1, backend.address(), 5)
	if got := await(t, out, "result"); got.outcome != policy.ConnectionReset {
		t.Errorf("out at the old life: outcome %d", got.outcome)
	}
	for n, address := range []string{backend.address(), moved.address()} {
		p.updateEndpoint(1, address, 5)
		done := startRoundTrip(p, newAttempt(testTimeout))
		conn, r := []*peer{backend, moved}[n].accept(t)
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := await(t, done, "result"); got.outcome != policy.Served || p.openConns != 1 {
			t.Errorf("new life %d: outcome %d, %d open", n, got.outcome, p.openConns)
		}
	}
}

// A draining backend gets nothing new, but what it has it may finish.
func TestDrain(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	out := startRoundTrip(p, newAttempt(testTimeout))
	conn, r := backend.accept(t)
	readRequest(t, r)
	p.removeEndpoint(1)
	if got := p.roundTrip(newAttempt(testTimeout)); got.outcome != policy.ConnectFailed {
		t.Errorf("new work: outcome %d", got.outcome)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := await(t, out, "result"); got.outcome != policy.Served || p.openConns != 0 {
		t.Errorf("work in hand: outcome %d, %d open", got.outcome, p.openConns)
	}
}
