package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/policy"
)

const (
	leavers = 30 // a race that is lost once in many clients is seen
	alone   = "units=1,spread=1,first=0"
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
	server := front.newServer(callers, patience)
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

func dial(t *testing.T, address, text string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, text)
	return conn.(*net.TCPConn)
}

// served has a client that stays sent on and answered.
func (b *busy) served(t *testing.T, id string) {
	t.Helper()
	resp, err := exchangeOn(t, dial(t, b.address, ""), ask("GET", "lookup", "", correlationIDHeader, id, quotaHeader, alone))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp, err)
	}
}

func unchangedWay(l net.Listener) net.Listener { return l }

// A client that has left is known to have, however much waits for the loop: no
// attempt begins for it, be it the first one, or a further one after a backend has
// turned the first away.
func TestClientLeavesWhileTheLoopIsBusy(t *testing.T) {
	t.Parallel()
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first attempt %t", first), func(t *testing.T) {
			t.Parallel()
			var after atomic.Bool // all have left
			var begun atomic.Int32
			came, answer := make(chan struct{}, leavers), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch id := r.Header.Get(correlationIDHeader); {
				case id == "stays":
				case after.Load():
					begun.Add(1)
				default:
					came <- struct{}{}
					<-answer
					w.Header().Set(unprocessedHeader, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			t.Cleanup(backend.Close)
			b := newBusy(t, backend.Listener.Addr().String(), unchangedWay)
			var free func()
			var conns []*net.TCPConn
			if first {
				free = b.hold(t)
			}
			for range leavers {
				conns = append(conns, dial(t, b.address, ask("GET", "lookup", "", quotaHeader, alone)))
			}
			if first {
				b.inboxHas(t, leavers) // they have arrived
			} else {
				for range leavers {
					wait(t, came, "first attempt")
				}
				free = b.hold(t)
				close(answer)
				b.inboxHas(t, leavers) // they have been turned away
			}
			for _, c := range conns {
				c.Close()
			}
			b.inboxHas(t, 2*leavers)
			after.Store(true)
			free()
			b.served(t, "stays")
			if n := begun.Load(); n > 0 {
				t.Errorf("%d attempts began for clients that had left", n)
			}
		})
	}
}

// Nor does one whose connection comes up meanwhile.
func TestClientLeavesWhileDiallingAndTheLoopIsBusy(t *testing.T) {
	t.Parallel()
	backend := newCrowded(t)
	b := newBusy(t, backend.address, unchangedWay)
	conn := dial(t, b.address, ask("POST", "payment", "x", quotaHeader, alone))
	for end := time.Now().Add(patience); !dialling(t, backend.address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	b.hold(t)
	conn.Close()
	b.inboxHas(t, 1)
	_, br := backend.accept(t)
	if b, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %q, %v", b, err)
	}
}

// A client that had left before its request was read is not asked for either: its
// connection may have waited long to be accepted.
func TestClientLeftBeforeItsRequestIsRead(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).Close, "sending closed": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error { c.SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var begun atomic.Int32
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(correlationIDHeader) != "stays" {
					begun.Add(1)
				}
			}))
			t.Cleanup(backend.Close)
			gate := make(chan struct{})
			b := newBusy(t, backend.Listener.Addr().String(), func(l net.Listener) net.Listener {
				return &gated{Listener: l, accepted: func() { <-gate }}
			})
			for range leavers {
				leave(dial(t, b.address, ask("POST", "booking", "x", quotaHeader, alone)))
			}
			close(gate)
			b.served(t, "stays") // it was accepted after them
			for end := time.Now().Add(patience); len(b.loop.inbox) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := begun.Load(); n > 0 {
				t.Errorf("%d of %d requests were sent on for clients that had left", n, leavers)
			}
		})
	}
}
