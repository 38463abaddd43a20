package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
)

func TestServed(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	_, answers := r.sendRequest(t, requestText("POST", "booking", "pickup"))
	serveOne(t, backend, "booked\n")
	resp := await(t, answers, "answer")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// What is not understood is turned down: a default could charge the wrong
// customer, or repeat what must not run twice.
func TestMalformed(t *testing.T) {
	t.Parallel()
	r := startTestGateway(t, newPeer(t))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no id", requestText("GET", "lookup", "", correlationIDHeader, ""), 400},
		{"unknown class", requestText("GET", "lookups", ""), 400},
		{"another path", requestText("GET", "lookup", "", "path", "/booking"), 400},
		{"a path with no first part", requestText("GET", "lookup", "", "path", "//lookup"), 400},
		{"unknown plan", requestText("GET", "lookup", "", planHeader, "gold"), 400},
		{"a short customer", requestText("GET", "lookup", "", apiKeyHeader, "b4d65521"), 400},
		{"a customer too high", requestText("GET", "lookup", "", apiKeyHeader, "0000000200000000"), 400},
		{"no time", requestText("GET", "lookup", "", timeLeftHeader, ""), 400},
		{"no time left", requestText("GET", "lookup", "", timeLeftHeader, "0"), 400},
		{"time without end", requestText("GET", "lookup", "", timeLeftHeader, "99999999999999999999"), 400},
		{"no terms", requestText("GET", "lookup", "", quotaHeader, ""), 400},
		{"no number", requestText("GET", "lookup", "", quotaHeader, "units=NaN,spread=2,first=0"), 400},
		{"too many units", requestText("GET", "lookup", "", quotaHeader, "units=5,spread=2,first=0"), 400},
		{"a set beyond the fleet", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=3,first=0"), 400},
		{"a gateway beyond the fleet", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=2,first=2"), 400},
		{"no key", requestText("POST", "booking", "x", idempotencyKeyHeader, ""), 400},
		{"the wrong method", requestText("POST", "lookup", "x"), 405},
		{"a keyed GET", requestText("GET", "booking", ""), 405},
		{"a large body", requestText("POST", "booking", strings.Repeat("x", maxBodyBytes+1)), 413},
		{"a large body in chunks", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") +
			"2\r\nok\r\n0\r\n\r\n", 411},
		{"a set told twice", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=2,spread=1,first=0"), 400},
		{"a header told twice", requestText("GET", "lookup", "", planHeader, "basic\r\n"+planHeader+": basic"), 400},
		{"a GET with a body", requestText("GET", "lookup", "x"), 400},
		{"two lengths", requestText("POST", "booking", "ok", "content-length", "3"), 400},
		{"a negative length", requestText("POST", "booking", "", "Content-Length", "-2"), 400},
		{"HTTP/1.0", strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"endless headers", requestText("GET", "lookup", "", "X", strings.Repeat("x", 4*maxHeaderBytes)), 431},
	} {
		_, answers := r.sendRequest(t, c.text)
		if resp := await(t, answers, "answer to "+c.name); resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: status %d, want %d; closed %t", c.name, resp.StatusCode, c.status, resp.Close)
		}
	}
}

// A length beside chunks may hide a request in the body, or behind it: neither
// may reach a backend.
func TestHiddenRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	hidden := requestText("POST", "booking", "hidden")
	conn, answers := r.sendRequest(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked",
		"Content-Length", fmt.Sprint(5+len(hidden)))+"0\r\n\r\n"+hidden)
	if resp := await(t, answers, "answer"); resp.StatusCode != 411 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if rest, err := io.ReadAll(conn); isTimeout(err) {
		t.Errorf("the connection stays: %q", rest)
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d connections to the backend", n)
	}
}

// One id is one request: another client's under the same is turned down, also
// just after the first has been answered, and the first keeps its answer.
func TestIdTwice(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	_, first := r.sendRequest(t, requestText("POST", "booking", "mine", correlationIDHeader, "one"))
	conn, br := backend.accept(t)
	readRequest(t, br)
	for range 2 {
		_, second := r.sendRequest(t, requestText("GET", "lookup", "", correlationIDHeader, "one"))
		if resp := await(t, second, "answer to the second"); resp.StatusCode != 409 {
			t.Errorf("the second: status %d", resp.StatusCode)
		}
		if len(backend.conns) > 0 {
			t.Error("the second went to the backend")
		}
		if conn != nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			if resp := await(t, first, "answer to the first"); resp.StatusCode != 200 {
				t.Errorf("the first: status %d", resp.StatusCode)
			}
			conn = nil
		}
	}
}

// A backend that says nothing must not hold a request beyond its aim, and its
// late answer must reach nobody.
func TestSilence(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	conn, answers := r.sendRequest(t, requestText("GET", "glance", ""))
	_, br := backend.accept(t)
	readRequest(t, br)
	resp := await(t, answers, "answer")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the given-up attempt's connection: %v", err)
	}
	// The client's connection carries the next request, and that one's answer only.
	io.WriteString(conn, requestText("GET", "lookup", ""))
	serveOne(t, backend, "second")
	next, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || next.StatusCode != 200 {
		t.Fatalf("%v, %v", next, err)
	}
	if body, _ := io.ReadAll(next.Body); string(body) != "second" {
		t.Errorf("body %q", body)
	}
}

// A client that floods the gateway behind its open request ends its connection,
// and its request with it.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	conn, _ := r.sendRequest(t, requestText("GET", "lookup", ""))
	_, br := backend.accept(t)
	readRequest(t, br)
	go io.WriteString(conn, strings.Repeat("x", 4*maxPipelinedBytes)) // ends with the connection
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

// What came behind a request before its answer is the next request, no more and no
// less.
func TestPipelined(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	conn, first := r.sendRequest(t, requestText("GET", "lookup", ""))
	bc, br := backend.accept(t)
	readRequest(t, br)
	second := requestText("POST", "booking", strings.Repeat("y", 6000))
	io.WriteString(conn, second[:1])
	io.WriteString(conn, second[1:])
	io.WriteString(bc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst")
	if resp := await(t, first, "answer"); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	_, br = backend.accept(t)
	if _, body := readRequest(t, br); len(body) != 6000 {
		t.Errorf("%d bytes came on", len(body))
	}
}

// A client that never reads its answer costs no other client one, and holds up a
// stop no longer than the longest request could.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	way := &gatedListener{beforeRead: func(c *gatedConn) { c.SetWriteBuffer(4096) }}
	r := startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way },
		strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 2`, `"objectiveS": 10`, `"objectiveS": 2`).Replace, backend)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	slow, err := d.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	io.WriteString(slow, requestText("GET", "lookup", ""))
	serveOne(t, backend, strings.Repeat("x", maxBodyBytes))
	for range 2 { // on a connection of its own, or on the first again
		_, answers := r.sendRequest(t, requestText("GET", "glance", ""))
		resp := await(t, answers, "another client's answer")
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	r.stop()
	if err := await(t, r.serveErr, "end"); err == nil {
		t.Error("the answer that nobody read was not held at all")
	}
}

// No client holds a request, and so a stop, for longer than its class allows.
func TestPatienceIsBounded(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f := &frontend{loop: &eventLoop{clock: newClock()}, deployment: &c.Deployment}
	for left, most := range map[string]float64{"3600000": 20, "7000": 7} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("GET", "lookup", "", timeLeftHeader, left))))
		if err != nil {
			t.Fatal(err)
		}
		x, _, err := f.decode(httptest.NewRecorder(), r)
		if err != nil {
			t.Fatal(err)
		}
		if got := x.decoded.Deadline - x.decoded.SentAt + responseMargin; got < most-0.001 || got > most+0.001 {
			t.Errorf("%s ms: held for up to %.3f s, want %.3f", left, got, most)
		}
	}
}
