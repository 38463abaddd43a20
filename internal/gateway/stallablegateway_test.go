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

// busy is a gateway whose loop a test can hold up.
type busy struct {
	loop    *eventLoop
	address string
	gate    atomic.Pointer[chan struct{}] // what the loop waits for when it hears a list
	held    chan struct{}
}

// newBusy starts one that stands before many backends at one address.
func newBusy(t *testing.T, backend string, way func(net.Listener) net.Listener) *busy {
	t.Helper()
	c, err := parseConfig([]byte(strings.Replace(configText("127.0.0.1:1", testSettings), `"fleetSize": 2, "rank": 1`, `"fleetSize": 1`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	b := &busy{held: make(chan struct{})}
	pools := newConnectionPools(patience, time.Minute, 100)
	b.loop = newEventLoop(&c, pools, nil, func() {
		if gate := b.gate.Swap(nil); gate != nil {
			b.held <- struct{}{}
			<-*gate
		}
	})
	told := Listing{Reset: true}
	for i := range leavers {
		told.Instances = append(told.Instances, Instance{ID: fmt.Sprint(i), HostPort: backend, Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	b.loop.applyListing(told, policy.FullList)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	front := &frontend{loop: b.loop, deployment: &c.Deployment}
	callers := newClientConnections(way(l), 2*leavers)
	server := front.newHTTPServer(callers, patience)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { b.loop.run(ctx) })
	wg.Go(func() { pools.sweepIdle(ctx) })
	wg.Go(func() { server.Serve(callers) })
	t.Cleanup(func() { server.Close(); stop(); wg.Wait(); b.loop.attempts.Wait() })
	return b
}

// hold has the loop stand still until free is called.
func (b *busy) hold(t *testing.T) (free func()) {
	t.Helper()
	gate := make(chan struct{})
	b.gate.Store(&gate)
	b.loop.post(listingReceived{kind: policy.Delta})
	wait(t, b.held, "list")
	free = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(free)
	return free
}

// inboxHas waits until so much waits for the loop.
func (b *busy) inboxHas(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(patience); len(b.loop.inbox) < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d messages for the loop, want %d", len(b.loop.inbox), n)
		}
	}
}

// served has a client that stays sent on and answered.
func (b *busy) served(t *testing.T, id string) {
	t.Helper()
	resp, err := exchangeOn(t, dial(t, b.address, ""), ask("GET", "lookup", "", correlationIDHeader, id, quotaHeader, alone))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
}
