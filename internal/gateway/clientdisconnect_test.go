package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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
	pools := newConnectionPools(testTimeout, time.Minute, 100)
	b.loop = newEventLoop(&c, pools, nil, func() {
		if gate := b.gate.Swap(nil); gate != nil {
			b.held <- struct{}{}
			<-*gate
		}
	})
	told := EndpointList{Reset: true}
	for i := range leavers {
		told.Entries = append(told.Entries, EndpointEntry{ID: fmt.Sprint(i), HostPort: backend, Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	b.loop.applyEndpointList(told, policy.FullList)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.address = l.Addr().String()
	front := &frontend{loop: b.loop, deployment: &c.Deployment}
	callers := newClientConnections(way(l), 2*leavers)
	server := front.newServer(callers, testTimeout)
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
	await(t, b.held, "list")
	free = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(free)
	return free
}

// inboxHas waits until so much waits for the loop.
func (b *busy) inboxHas(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); len(b.loop.inbox) < n; time.Sleep(time.Millisecond) {
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
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, text)
	return conn.(*net.TCPConn)
}

// served has a client that stays sent on and answered.
func (b *busy) served(t *testing.T, id string) {
	t.Helper()
	resp, err := roundTripOn(t, dial(t, b.address, ""), requestText("GET", "lookup", "", correlationIDHeader, id, quotaHeader, alone))
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
				conns = append(conns, dial(t, b.address, requestText("GET", "lookup", "", quotaHeader, alone)))
			}
			if first {
				b.inboxHas(t, leavers) // they have arrived
			} else {
				for range leavers {
					await(t, came, "first attempt")
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
	conn := dial(t, b.address, requestText("POST", "payment", "x", quotaHeader, alone))
	for end := time.Now().Add(testTimeout); !dialling(t, backend.address) && time.Now().Before(end); {
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
				return &gatedListener{Listener: l, onAccept: func() { <-gate }}
			})
			for range leavers {
				leave(dial(t, b.address, requestText("POST", "booking", "x", quotaHeader, alone)))
			}
			close(gate)
			b.served(t, "stays") // it was accepted after them
			for end := time.Now().Add(testTimeout); len(b.loop.inbox) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := begun.Load(); n > 0 {
				t.Errorf("%d of %d requests were sent on for clients that had left", n, leavers)
			}
		})
	}
}

// Work for a client that has left is wasted: its attempt is called off.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	conn, _ := r.sendRequest(t, requestText("POST", "booking", "x"))
	_, br := backend.accept(t)
	readRequest(t, br)
	conn.Close()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

// A client that leaves while its request waits is noticed whatever it has sent
// behind it, and the request is not sent on. One that has closed its sending alone
// must not be told that it was served.
func TestClientLeavesWhileQueued(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]int{"nothing behind": 0, "one byte behind": 1, "a buffer behind": 5000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			r := startTestGatewayWith(t, withCounter(counter, 0.001, 3, 30*time.Second), backend)
			id := fmt.Sprintf("left-%d", extra)
			conn, answers := r.sendRequest(t, requestText("GET", "lookup", "", correlationIDHeader, id))
			calls, cr := counter.accept(t)
			call, _ := readRequest(t, cr) // the request waits for its units
			io.WriteString(conn, strings.Repeat("x", extra))
			conn.(*net.TCPConn).CloseWrite()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway || !resp.Close {
				t.Errorf("the one that left: status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			total(calls, http.StatusOK, call.URL.Query().Get("add"))
			_, answers = r.sendRequest(t, requestText("GET", "lookup", ""))
			bc, br := backend.accept(t)
			if req, _ := readRequest(t, br); req.Header.Get(correlationIDHeader) == id {
				t.Error("the request of the one that left was sent on")
			}
			total(bc, http.StatusOK, "ok")
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next: status %d", resp.StatusCode)
			}
		})
	}
}

// crowded is a backend whose backlog is full, so that dials to it hang until it is
// freed.
type crowded struct {
	fd      int
	address string
	fillers []net.Conn
}

func newCrowded(t *testing.T) *crowded {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	c := &crowded{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)}
	for {
		conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
		if err != nil {
			return c
		}
		t.Cleanup(func() { conn.Close() })
		c.fillers = append(c.fillers, conn)
	}
}

// accept returns the next connection but those that filled the backlog.
func (c *crowded) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	for {
		fd, _, err := syscall.Accept(c.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(fd), "accepted")
		conn, err := net.FileConn(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if filler := slices.ContainsFunc(c.fillers, func(f net.Conn) bool {
			return f.LocalAddr().String() == conn.RemoteAddr().String()
		}); !filler {
			conn.SetDeadline(time.Now().Add(testTimeout))
			return conn, bufio.NewReader(conn)
		}
	}
}

// dialling tells whether somebody waits for a connection to an address.
func dialling(t *testing.T, address string) bool {
	t.Helper()
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X 02 ", n)) // SYN_SENT
}

// A request whose client has left while its connection to a backend was being
// made is not sent on when that comes up, also where nothing may be cancelled.
func TestClientLeavesWhileDialling(t *testing.T) {
	t.Parallel()
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancel %t", cancel), func(t *testing.T) {
			t.Parallel()
			backend := newCrowded(t)
			r := startTestGatewayWith(t, strings.NewReplacer(`"cancel": true`, fmt.Sprintf(`"cancel": %t`, cancel),
				`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
			r.publishBackends(t, backend.address)
			conn, answers := r.sendRequest(t, requestText("POST", "payment", "x", correlationIDHeader, "left"))
			for end := time.Now().Add(testTimeout); !dialling(t, backend.address) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			conn.(*net.TCPConn).CloseWrite()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("the one that left: status %d", resp.StatusCode)
			}
			for end := time.Now().Add(5 * time.Second); dialling(t, backend.address); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("its dial goes on")
				}
			}
			_, answers = r.sendRequest(t, requestText("POST", "payment", "x", correlationIDHeader, "stays"))
			bc, br := backend.accept(t)
			if req, _ := readRequest(t, br); req.Header.Get(correlationIDHeader) != "stays" {
				t.Errorf("request %q was sent on", req.Header.Get(correlationIDHeader))
			}
			total(bc, http.StatusOK, "ok")
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next: status %d", resp.StatusCode)
			}
		})
	}
}

// A client that leaves just behind the grant that lets its request go takes back
// what has been sent for it.
func TestClientLeavesBehindGrant(t *testing.T) {
	backend, far := newPeer(t), newPeer(t)
	c, err := parseConfig([]byte(withCounter(far, 0.1, 20, 30*time.Second)(configText("127.0.0.1:1", testSettings))))
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(&c, newConnectionPools(testTimeout, time.Minute, 8), newCounterClient(far.address(), testTimeout), func() {})
	l.applyEndpointList(listingOf(true, "Ready", backend), policy.FullList)
	now := l.clock.now()
	x := &clientRequest{correlationID: "one", method: "GET", uri: "/lookup", host: "h", header: http.Header{}, response: make(chan clientResponse, 2),
		decoded: policy.Request{Units: 1, Gateways: 1, Customer: 5, SentAt: now, Deadline: now + 15}}
	l.startRequest(x)
	for _, calls := range l.pendingCalls {
		l.handleMessage(counterCallDone{calls[0], policy.Served, calls[0].amount})
	}
	if len(x.attempts) != 1 {
		t.Fatalf("%d attempts by the grant", len(x.attempts))
	}
	l.handleMessage(clientDisconnected{x})
	if !x.attempts[0].ended || len(x.response) != 0 || len(l.requests) != 0 {
		t.Errorf("attempt ended %t, %d answers, %d live", x.attempts[0].ended, len(x.response), len(l.requests))
	}
	close(l.stopped)
	l.attempts.Wait() // it has been called off, whatever the backend does
}
