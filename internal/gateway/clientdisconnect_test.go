package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/policy"
)

const (
	disconnectingClients = 30                         // clients per test; enough to show a race that affects a few
	singleGatewayQuota   = "units=1,spread=1,first=0" // value of quotaHeader for a customer of a single gateway
	stayingID            = "stays"                    // correlation id of a client that does not disconnect
)

// dial connects to address and sends text.
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

// sameListener returns the listener unchanged.
func sameListener(listener net.Listener) net.Listener { return listener }

// rejectingBackend holds each attempt until release is closed, and then rejects the attempt. Once disconnected is set,
// it serves and counts new attempts instead. It serves an attempt with stayingID at once and does not count it.
type rejectingBackend struct {
	received     chan struct{} // receives an element for each attempt that is held
	release      chan struct{}
	disconnected atomic.Bool  // all clients have disconnected
	lateAttempts atomic.Int32 // attempts that began after disconnected was set
}

func newRejectingBackend() *rejectingBackend {
	return &rejectingBackend{received: make(chan struct{}, disconnectingClients), release: make(chan struct{})}
}

// ServeHTTP handles one attempt.
func (b *rejectingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(correlationIDHeader) == stayingID {
		return
	}
	if b.disconnected.Load() {
		b.lateAttempts.Add(1)
		return
	}
	b.received <- struct{}{}
	<-b.release
	w.Header().Set(unprocessedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Clients disconnect while the event loop is stalled, so that the loop handles older messages before the disconnects.
// For these clients, neither a first attempt nor a retry after a rejection may begin.
func TestNoAttemptForDisconnectedClientWhileLoopIsStalled(t *testing.T) {
	t.Parallel()
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprintf("first attempt %t", first), func(t *testing.T) {
			t.Parallel()
			backend := newRejectingBackend()
			server := httptest.NewServer(backend)
			t.Cleanup(server.Close)
			g := newStallableGateway(t, server.Listener.Addr().String(), sameListener)
			var resume func()
			if first {
				resume = g.stall(t)
			}
			var conns []*net.TCPConn
			for range disconnectingClients {
				conns = append(conns, dial(t, g.address, requestText("GET", "lookup", "", quotaHeader, singleGatewayQuota)))
			}
			if first {
				g.awaitInbox(t, disconnectingClients) // a message for each request
			} else {
				for range disconnectingClients {
					await(t, backend.received, "first attempt")
				}
				resume = g.stall(t)
				close(backend.release)
				g.awaitInbox(t, disconnectingClients) // a message for the end of each first attempt
			}
			for _, conn := range conns {
				conn.Close()
			}
			g.awaitInbox(t, 2*disconnectingClients)
			backend.disconnected.Store(true)
			resume()
			g.expectServed(t, stayingID)
			if n := backend.lateAttempts.Load(); n > 0 {
				t.Errorf("%d attempts began for clients that had disconnected", n)
			}
		})
	}
}

// A client disconnects while a connection to the backend is being dialed and the event loop is stalled. The request
// must not be sent on that connection once it is established.
func TestNoAttemptForDisconnectedClientWhileDialingAndLoopIsStalled(t *testing.T) {
	t.Parallel()
	backend := newFullBacklogBackend(t)
	g := newStallableGateway(t, backend.address, sameListener)
	conn := dial(t, g.address, requestText("POST", "payment", "x", quotaHeader, singleGatewayQuota))
	awaitDialing(t, backend.address)
	g.stall(t)
	conn.Close()
	g.awaitInbox(t, 1)
	_, reader := backend.accept(t)
	if b, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read %q, %v from the attempt's connection, want EOF", b, err)
	}
}

// Clients disconnect before their requests are read, while their connections wait to be accepted, some of them behind
// many further requests. No attempt may begin for these clients.
func TestNoAttemptForClientDisconnectedBeforeRead(t *testing.T) {
	t.Parallel()
	for name, disconnect := range map[string]func(*net.TCPConn) error{
		"closed":         (*net.TCPConn).Close,
		"sending closed": (*net.TCPConn).CloseWrite,
		"reset": func(conn *net.TCPConn) error {
			conn.SetLinger(0)
			return conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int32
			backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get(correlationIDHeader) != stayingID {
					attempts.Add(1)
				}
			}))
			t.Cleanup(backend.Close)
			gate := make(chan struct{})
			g := newStallableGateway(t, backend.Listener.Addr().String(), func(listener net.Listener) net.Listener {
				return &gatedListener{Listener: listener, onAccept: func() { <-gate }}
			})
			for n := range disconnectingClients {
				var text strings.Builder
				for range 1 + n { // the close lies behind up to 10 KB of further requests
					text.WriteString(requestText("POST", "booking", "x", quotaHeader, singleGatewayQuota))
				}
				disconnect(dial(t, g.address, text.String()))
			}
			close(gate)
			g.expectServed(t, stayingID) // this connection is accepted after the connections above
			for end := time.Now().Add(testTimeout); len(g.loop.inbox) > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := attempts.Load(); n > 0 {
				t.Errorf("%d of %d requests were forwarded for clients that had disconnected", n, disconnectingClients)
			}
		})
	}
}

// A client disconnects while a backend works on its request. The attempt is cancelled, because nobody waits for its
// result.
func TestDisconnectCancelsAttempt(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	conn, _ := g.sendRequest(t, requestText("POST", "booking", "x"))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	conn.Close()
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read error on the attempt's connection: %v, want EOF", err)
	}
}

// A client disconnects while its request is queued. The gateway must detect the disconnect even if the client has sent
// bytes behind the request, and must not forward the request. The client has closed only its sending side and still
// reads the answer, so the answer must not have the status of a served request.
func TestQueuedRequestOfDisconnectedClientIsNotForwarded(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]int{"nothing behind": 0, "one byte behind": 1, "a buffer behind": 5000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			g := startTestGatewayWith(t, withCounter(counter, 0.001, 3, 30*time.Second), backend)
			id := fmt.Sprintf("disconnected-%d", extra)
			conn, answers := g.sendRequest(t, requestText("GET", "lookup", "", correlationIDHeader, id))
			counterConn, counterReader := counter.accept(t)
			call, _ := readRequest(t, counterReader) // the client's request now waits for the response to this call
			io.WriteString(conn, strings.Repeat("x", extra))
			conn.(*net.TCPConn).CloseWrite()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway || !resp.Close {
				t.Errorf("the disconnected client: status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			writeResponse(counterConn, http.StatusOK, call.URL.Query().Get("add"))
			_, answers = g.sendRequest(t, requestText("GET", "lookup", ""))
			backendConn, backendReader := backend.accept(t)
			if req, _ := readRequest(t, backendReader); req.Header.Get(correlationIDHeader) == id {
				t.Error("the request of the disconnected client was forwarded")
			}
			writeResponse(backendConn, http.StatusOK, "ok")
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next request: status %d", resp.StatusCode)
			}
		})
	}
}

// A client disconnects while a connection to a backend is being dialed. The client's request must not be forwarded when
// the connection is established, even if the deployment doesn't allow attempts to be cancelled.
func TestDisconnectWhileDialingCancelsAttempt(t *testing.T) {
	t.Parallel()
	for _, canCancel := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancel %t", canCancel), func(t *testing.T) {
			t.Parallel()
			backend := newFullBacklogBackend(t)
			g := startTestGatewayWith(t, strings.NewReplacer(`"cancel": true`, fmt.Sprintf(`"cancel": %t`, canCancel),
				`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
			g.publishBackends(t, backend.address)
			conn, answers := g.sendRequest(t, requestText("POST", "payment", "x", correlationIDHeader, "disconnected"))
			awaitDialing(t, backend.address)
			conn.(*net.TCPConn).CloseWrite()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("the disconnected client: status %d", resp.StatusCode)
			}
			for end := time.Now().Add(5 * time.Second); isDialing(t, backend.address); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the dial for the disconnected client was not cancelled")
				}
			}
			_, answers = g.sendRequest(t, requestText("POST", "payment", "x", correlationIDHeader, stayingID))
			backendConn, reader := backend.accept(t)
			if req, _ := readRequest(t, reader); req.Header.Get(correlationIDHeader) != stayingID {
				t.Errorf("request %q was forwarded", req.Header.Get(correlationIDHeader))
			}
			writeResponse(backendConn, http.StatusOK, "ok")
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next request: status %d", resp.StatusCode)
			}
		})
	}
}

// A client disconnects just after the counter's response to a call for a lease has admitted the client's request. The
// attempt that the event loop has started for the request must be cancelled.
func TestDisconnectAfterLeaseCancelsAttempt(t *testing.T) {
	backend, counter := newPeer(t), newPeer(t)
	text := withCounter(counter, 0.1, 20, 30*time.Second)(configText("127.0.0.1:1", testSettings))
	config, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	pools := newConnectionPools(testTimeout, time.Minute, 8)
	l := newEventLoop(&config, pools, newCounterClient(counter.address(), testTimeout), func() {})
	l.applyEndpointList(endpointListOf(true, "Ready", backend), policy.FullList)
	req := newLoopRequest(l, "GET", "/lookup", policy.Request{Customer: 5})
	l.startRequest(req)
	for _, calls := range l.pendingCalls {
		l.handleMessage(counterCallDone{calls[0], policy.Served, calls[0].amount})
	}
	if len(req.attempts) != 1 {
		t.Fatalf("the lease started %d attempts, want 1", len(req.attempts))
	}
	l.handleMessage(clientDisconnected{req})
	if !req.attempts[0].ended || len(req.response) != 0 || len(l.requests) != 0 {
		t.Errorf("attempt ended %t, %d answers, %d open", req.attempts[0].ended, len(req.response), len(l.requests))
	}
	close(l.stopped)
	l.attempts.Wait() // returns although the backend is silent, because the attempt is cancelled
}
