package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/policy"
)

// maxStallableClients is the limit of client connections of a stallableGateway.
const maxStallableClients = 2 * disconnectingClients

// stallableGateway is a gateway whose event loop a test can stall.
type stallableGateway struct {
	loop    *eventLoop
	address string
	gate    atomic.Pointer[chan struct{}] // if not nil, the loop stalls at its next list until this channel is closed
	stalled chan struct{}                 // receives a value when the loop is stalled
}

// newStallableGateway starts a gateway. The gateway's endpoint list has disconnectingClients backends, all with the
// given address.
func newStallableGateway(t *testing.T, backend string, wrapListener func(net.Listener) net.Listener) *stallableGateway {
	t.Helper()
	text := strings.Replace(configText("127.0.0.1:1", testSettings), `"fleetSize": 2, "rank": 1`, `"fleetSize": 1`, 1)
	config, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := &stallableGateway{stalled: make(chan struct{})}
	pools := newConnectionPools(testTimeout, time.Minute, 100)
	g.loop = newEventLoop(&config, pools, nil, g.waitAtGate)
	list := EndpointList{Reset: true}
	for i := range disconnectingClients {
		instance := EndpointEntry{ID: fmt.Sprint(i), HostPort: backend, Zone: "a", Lifecycle: "Ready", Weight: 1}
		list.Entries = append(list.Entries, instance)
	}
	g.loop.applyEndpointList(list, policy.FullList)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.address = listener.Addr().String()
	front := newFrontend(&config)
	front.loop = g.loop
	clients := newClientConnections(wrapListener(listener), maxStallableClients)
	server := front.newHTTPServer(clients, testTimeout)
	ctx, stop := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { g.loop.run(ctx) })
	goroutines.Go(func() { pools.sweepIdle(ctx) })
	goroutines.Go(func() { server.Serve(clients) })
	t.Cleanup(func() {
		server.Close()
		stop()
		goroutines.Wait()
		g.loop.attempts.Wait()
	})
	return g
}

// waitAtGate stalls the event loop until the gate is closed, and removes the gate. It does nothing without a gate.
func (g *stallableGateway) waitAtGate() {
	if gate := g.gate.Swap(nil); gate != nil {
		g.stalled <- struct{}{}
		<-*gate
	}
}

// stall stalls the event loop until resume is called.
func (g *stallableGateway) stall(t *testing.T) (resume func()) {
	t.Helper()
	gate := make(chan struct{})
	g.gate.Store(&gate)
	g.loop.post(endpointListReceived{kind: policy.DeltaList})
	await(t, g.stalled, "stall of the event loop")
	resume = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(resume)
	return resume
}

// awaitInbox waits until at least n messages are in the loop's inbox.
func (g *stallableGateway) awaitInbox(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(g.loop.inbox) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d messages in the loop's inbox, want %d", len(g.loop.inbox), n)
		}
	}
}

// expectServed sends a request with the given correlation id and expects it to be served.
func (g *stallableGateway) expectServed(t *testing.T, id string) {
	t.Helper()
	request := requestText("GET", "lookup", "", correlationIDHeader, id, quotaHeader, singleGatewayQuota)
	resp, err := roundTripOn(t, dial(t, g.address, ""), request)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
}
