package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"amberlb/policy"
)

// The outcome of an attempt decides whether its request may be retried. Each row is one line of the protocol's table of
// backend responses.
func TestResponseOutcomes(t *testing.T) {
	longBody := strings.Repeat("x", maxBodyBytes+1)
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	for _, c := range []struct {
		name     string
		response string
		want     policy.Outcome
		body     string
		reusable bool // whether the connection may be reused afterwards
	}{
		{"served",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			policy.Served, "ok", true},
		{"served in chunks",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			policy.Served, "ok", true},
		{"served, then closed",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
			policy.Served, "ok", false},
		{"interim response first",
			interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			policy.Served, "ok", true},
		{"as many interim responses as allowed",
			strings.Repeat(interim, maxInterimResponses-1) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			policy.Served, "ok", true},
		{"too many interim responses",
			strings.Repeat(interim, maxInterimResponses) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			policy.Failed, "", false},
		{"error",
			"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
			policy.Failed, "", true},
		{"rejected",
			"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			policy.Rejected, "", true},
		{"rejected as too late",
			"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			policy.Rejected, "", true},
		{"503 without proof",
			"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
			policy.Failed, "", true},
		{"504 without proof",
			"HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
			policy.Failed, "", true},
		{"500 is never proof",
			"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
			policy.Failed, "", true},
		{"closed without a response",
			"",
			policy.ConnectionReset, "", false},
		{"header cut short",
			"HTTP/1.1 200 OK\r\nContent-Le",
			policy.ConnectionReset, "", false},
		{"body cut short",
			"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"body too long",
			"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + longBody,
			policy.ConnectionReset, "", false},
		{"endless headers",
			"HTTP/1.1 200 OK\r\nX: " + longBody + longBody,
			policy.ConnectionReset, "", false},
		{"body delimited by the close only",
			"HTTP/1.1 200 OK\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"two lengths",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"negative length",
			"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"malformed chunk",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"length of 3 GB",
			"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
			policy.ConnectionReset, "", false},
		{"surplus bytes after the response",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
			policy.Served, "ok", false},
		{"not HTTP",
			"SSH-2.0\r\n\r\n",
			policy.ConnectionReset, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newPeer(t)
			p := newPoolsFor(t, backend.address())
			results := startRoundTrip(p, newAttempt(testTimeout))
			conn, _ := backend.acceptRequest(t)
			go func() {
				io.WriteString(conn, c.response)
				if !c.reusable {
					conn.(*net.TCPConn).CloseWrite()
				}
			}()
			got := await(t, results, "result")
			if got.outcome != c.want || string(got.body) != c.body {
				t.Errorf("outcome %d, body of %d bytes; want %d and %q", got.outcome, len(got.body), c.want, c.body)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if reusable := len(p.endpoints[1].idleConns) == 1 && p.openConns == 1; reusable != c.reusable {
				t.Errorf("connection kept for reuse: %t, %d open", reusable, p.openConns)
			}
		})
	}
}

// A backend gets the client's request unchanged except for the header with the time left.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	a := newAttempt(testTimeout)
	a.request.header[idempotencyKeyHeader] = []string{"key-1"}
	a.request.body = bytes.Repeat([]byte{0, 255, '\r', '\n'}, maxBodyBytes/4)
	results := startRoundTrip(p, a)
	conn, reader := backend.accept(t)
	got, body := readRequest(t, reader)
	if got.Method != "POST" || got.RequestURI != a.request.uri || got.Host != "origin.svc" ||
		!bytes.Equal(body, a.request.body) ||
		got.Header.Get(correlationIDHeader) != "id-1" || got.Header.Get(idempotencyKeyHeader) != "key-1" ||
		got.Header.Get(timeLeftHeader) == "" {
		t.Errorf("backend got %s %s with %d bytes of body and header %v", got.Method, got.RequestURI, len(body), got.Header)
	}
	respondOK(conn, "")
	await(t, results, "result")
}

// The connections of a host that has stopped responding stay open, so only the attempt's deadline ends the wait for a
// response. The connection must be closed at the deadline.
func TestSilentBackendTimesOut(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	got := p.roundTrip(newAttempt(50 * time.Millisecond))
	if got.outcome != policy.TimedOut || p.openConns != 0 {
		t.Errorf("outcome %d, %d connections open", got.outcome, p.openConns)
	}
	conn, _ := backend.acceptRequest(t)
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read from the connection of a timed-out attempt: %v, want EOF", err)
	}
}

// If a connection is reset after the last byte of a request, the backend may have executed the request. In that case, a
// request that is not idempotent must fail: neither the engine nor the pools may retry the request. The answer must not
// have the status of a rejected request, because that status promises that nothing was executed.
func TestResetAfterLastByteIsRetriedOnlyWithIdempotencyKey(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		class  string
		status int
	}{
		{"payment", http.StatusBadGateway},
		{"booking", http.StatusOK}, // idempotent by key: may be retried in its dedupe scope and dedupe window
	} {
		t.Run(c.class, func(t *testing.T) {
			backend := newPeer(t)
			g := startTestGateway(t, backend)
			_, answers := g.sendRequest(t, requestText("POST", c.class, "x"))
			conn, _ := backend.acceptRequest(t)
			conn.Close()
			if c.status == http.StatusOK {
				serveOne(t, backend, "ok")
			}
			if resp := await(t, answers, "answer"); resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
			if n := len(backend.conns); n > 0 {
				t.Errorf("%d additional connections accepted", n)
			}
		})
	}
}

// A response that arrives after the attempt has timed out or the client has disconnected is dropped: a request gets one
// final answer at most.
func TestResponseAfterTimeoutOrDisconnectIsDropped(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name       string
		endAttempt func(*eventLoop, *clientRequest)
	}{
		{"attempt deadline", func(l *eventLoop, req *clientRequest) { attemptDeadline{req.attempts[0]}.fire(l) }},
		{"client disconnects", func(l *eventLoop, req *clientRequest) { l.handleMessage(clientDisconnected{req}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newPeer(t)
			p := newConnectionPools(testTimeout, time.Minute, 8)
			l := newEventLoop(&config, p, nil, func() {})
			l.applyEndpointList(endpointListOf(true, "Ready", backend), policy.FullList)
			req := newLoopRequest(l, "POST", "/payment", policy.Request{Class: 2})
			l.startRequest(req)
			_, reader := backend.acceptRequest(t)
			c.endAttempt(l, req)
			answers := len(req.response)
			memory, err := p.memory.reserve(t.Context(), time.Now(), 4)
			if err != nil {
				t.Fatal(err)
			}
			served := attemptResult{outcome: policy.Served, header: http.Header{}, body: []byte("late"), memory: memory}
			l.handleMessage(attemptDone{req.attempts[0], served})
			if len(req.response) != answers || len(l.requests) != 0 || req.attemptsInFlight != 0 {
				t.Errorf("%d answers, want %d; %d open requests", len(req.response), answers, len(l.requests))
			}
			if n := p.memory.held.Load(); n != 0 {
				t.Errorf("%d bytes are held for the dropped response", n)
			}
			if _, err := reader.ReadByte(); err != io.EOF {
				t.Errorf("read from the attempt's connection: %v, want EOF", err)
			}
			close(l.stopped) // lets the transport's onDone return
			l.attempts.Wait()
		})
	}
}

// The response to a request whose client has disconnected is dropped, and its memory released, if the attempt could not
// be cancelled.
func TestResponseForDisconnectedClientIsDropped(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", strings.Replace(testSettings, `"cancel": true`, `"cancel": false`, 1))))
	if err != nil {
		t.Fatal(err)
	}
	backend := newPeer(t)
	p := newConnectionPools(testTimeout, time.Minute, 8)
	l := newEventLoop(&config, p, nil, func() {})
	l.applyEndpointList(endpointListOf(true, "Ready", backend), policy.FullList)
	req := newLoopRequest(l, "POST", "/payment", policy.Request{Class: 2})
	l.startRequest(req)
	conn, _ := backend.acceptRequest(t)
	req.attempts[0].markWritten() // the backend has the whole request, but the transport may not have recorded it yet
	l.handleMessage(clientDisconnected{req})
	if req.attempts[0].ended {
		t.Fatal("the attempt was cancelled")
	}
	respondOK(conn, longBody)
	l.handleMessage(await(t, l.inbox, "end of the attempt"))
	if n := p.memory.held.Load(); len(req.response) != 0 || len(l.requests) != 0 || n != 0 {
		t.Errorf("%d answers, %d open requests, %d bytes held", len(req.response), len(l.requests), n)
	}
	if peak := p.memory.peak.Load(); peak < int64(len(longBody)) {
		t.Errorf("at most %d bytes were held", peak)
	}
	l.attempts.Wait()
}
