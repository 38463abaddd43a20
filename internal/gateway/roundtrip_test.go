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

// What comes back decides whether a request may be sent again: each row is one
// line of the protocol's table.
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes+1)
	for _, c := range []struct {
		name, reply string
		want        policy.Outcome
		body        string
		kept        bool // the connection
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.Served, "ok", true},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", policy.Served, "ok", true},
		{"served, then closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", policy.Served, "ok", false},
		{"an interim answer first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", policy.Served, "ok", true},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", policy.Failed, "", true},
		{"turned away", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected, "", true},
		{"over already", "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Rejected, "", true},
		{"503 without proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", policy.Failed, "", true},
		{"504 without proof", "HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", policy.Failed, "", true},
		{"500 never proves it", "HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", policy.Failed, "", true},
		{"closed without a word", "", policy.ConnectionReset, "", false},
		{"head cut short", "HTTP/1.1 200 OK\r\nContent-Le", policy.ConnectionReset, "", false},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", policy.ConnectionReset, "", false},
		{"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long, policy.ConnectionReset, "", false},
		{"headers without end", "HTTP/1.1 200 OK\r\nX: " + long + long, policy.ConnectionReset, "", false},
		{"an end told by the connection alone", "HTTP/1.1 200 OK\r\n\r\nok", policy.ConnectionReset, "", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", policy.ConnectionReset, "", false},
		{"a length that is no number", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", policy.ConnectionReset, "", false},
		{"a bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nok", policy.ConnectionReset, "", false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", policy.ConnectionReset, "", false},
		{"more than belongs to it", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", policy.Served, "ok", false},
		{"no HTTP", "SSH-2.0\r\n\r\n", policy.ConnectionReset, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newPeer(t)
			p := newPoolsFor(t, backend.address())
			done := startRoundTrip(p, newAttempt(testTimeout))
			conn, r := backend.accept(t)
			readRequest(t, r)
			go func() {
				io.WriteString(conn, c.reply)
				if !c.kept {
					conn.(*net.TCPConn).CloseWrite()
				}
			}()
			got := await(t, done, "result")
			if got.outcome != c.want || string(got.body) != c.body {
				t.Errorf("outcome %d, body of %d bytes; want %d and %q", got.outcome, len(got.body), c.want, c.body)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if kept := len(p.endpoints[1].idleConns) == 1 && p.openConns == 1; kept != c.kept {
				t.Errorf("connection kept: %t, %d open", kept, p.openConns)
			}
		})
	}
}

func TestRequestUnchanged(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	a := newAttempt(testTimeout)
	a.request.header[idempotencyKeyHeader] = []string{"key-1"}
	a.request.body = bytes.Repeat([]byte{0, 255, '\r', '\n'}, maxBodyBytes/4)
	done := startRoundTrip(p, a)
	conn, r := backend.accept(t)
	req, body := readRequest(t, r)
	if req.Method != "POST" || req.RequestURI != a.request.uri || req.Host != "origin.svc" || !bytes.Equal(body, a.request.body) ||
		req.Header.Get(correlationIDHeader) != "id-1" || req.Header.Get(idempotencyKeyHeader) != "key-1" || req.Header.Get(timeLeftHeader) == "" {
		t.Errorf("got %s %s with %d bytes and %v", req.Method, req.RequestURI, len(body), req.Header)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	await(t, done, "result")
}

// A machine that went silent keeps its connections open: only our clock ends
// the wait, and the connection with it.
func TestSilentBackend(t *testing.T) {
	backend := newPeer(t)
	p := newPoolsFor(t, backend.address())
	got := p.roundTrip(newAttempt(50 * time.Millisecond))
	if got.outcome != policy.TimedOut || p.openConns != 0 {
		t.Errorf("outcome %d, %d open", got.outcome, p.openConns)
	}
	conn, r := backend.accept(t)
	readRequest(t, r)
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection of a given-up attempt: %v", err)
	}
}

// A refusal promises that nothing ran. An unsafe or keyed request that may have
// run fails instead, and is not sent again by anything below the module either.
func TestBreakAfterLastByte(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"payment": 502, "booking": 200} {
		backend := newPeer(t)
		r := startTestGateway(t, backend)
		_, answers := r.sendRequest(t, requestText("POST", class, "x"))
		conn, br := backend.accept(t)
		readRequest(t, br)
		conn.Close()
		if status == 200 {
			serveOne(t, backend, "ok") // in its group and within its window a keyed request may go out again
		}
		if resp := await(t, answers, "answer"); resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, status)
		}
		if n := len(backend.conns); n > 0 {
			t.Errorf("%s: %d more connections", class, n)
		}
	}
}

// What comes of an attempt after its time-out or cancel reaches nobody: the request
// has its one answer.
func TestAnswerRacesTimeOut(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	for name, ends := range map[string]func(*eventLoop, *clientRequest){
		"the time-out of the attempt": func(l *eventLoop, x *clientRequest) { l.fireTimer(timerEntry{attempt: x.attempts[0]}) },
		"a client that leaves":        func(l *eventLoop, x *clientRequest) { l.handleMessage(clientDisconnected{x}) },
	} {
		backend := newPeer(t)
		p := newConnectionPools(testTimeout, time.Minute, 8)
		l := newEventLoop(&c, p, nil, func() {})
		l.applyEndpointList(listingOf(true, "Ready", backend), policy.FullList)
		now := l.clock.now()
		x := &clientRequest{correlationID: "one", method: "POST", uri: "/payment", host: "h", header: http.Header{}, response: make(chan clientResponse, 2),
			decoded: policy.Request{Class: 2, Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15}}
		l.startRequest(x)
		_, br := backend.accept(t)
		readRequest(t, br)
		ends(l, x)
		owed := len(x.response)
		l.handleMessage(attemptDone{x.attempts[0], attemptResult{outcome: policy.Served, header: http.Header{}, body: []byte("late")}})
		if len(x.response) != owed || len(l.requests) != 0 || x.attemptsInFlight != 0 {
			t.Errorf("%s: %d answers for %d, %d requests live", name, len(x.response), owed, len(l.requests))
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: the attempt's connection: %v", name, err)
		}
		close(l.stopped) // lets the attempt end
		l.attempts.Wait()
	}
}
