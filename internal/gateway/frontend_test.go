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

// A backend's response reaches the client without the headers that are meant for gateways.
func TestServedResponseReachesClient(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, answers := g.sendRequest(t, requestText("POST", "booking", "pickup"))
	serveOne(t, backend, "booked\n")
	resp := await(t, answers, "answer")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil ||
		resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// The gateway rejects an invalid request and closes its connection. It does not replace the invalid value by a default:
// a default could charge the wrong customer, or cause a retry of a request that must not execute twice. Operators and
// clients rely on the status and the error text of the answer. In rows without an error text, net/http itself rejects
// the request, and the test checks only the status and the close.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	g := startTestGateway(t, newPeer(t))
	const quotaOutOfRange = "X-Call-Terms: units, spread or first is missing or out of range"
	for _, c := range []struct {
		name    string
		request string
		status  int
		body    string
	}{
		{"no id", requestText("GET", "lookup", "", correlationIDHeader, ""), 400, "X-Correlation-Id is missing or too long"},
		{"an unknown class", requestText("GET", "lookups", ""), 400, "X-Service-Class names no class"},
		{"another path", requestText("GET", "lookup", "", "path", "/booking"), 400, "the path is not one of the class"},
		{"a path with no first segment", requestText("GET", "lookup", "", "path", "//lookup"), 400, "the path is not one of the class"},
		{"an unknown plan", requestText("GET", "lookup", "", planHeader, "gold"), 400, "X-Tier names no plan"},
		{"a short customer id", requestText("GET", "lookup", "", apiKeyHeader, "b4d65521"), 400, "X-Api-Key is not the number of a customer"},
		{"a customer id too high", requestText("GET", "lookup", "", apiKeyHeader, "0000000200000000"), 400,
			"X-Api-Key is not the number of a customer"},
		{"no timeout", requestText("GET", "lookup", "", timeLeftHeader, ""), 400, "X-Time-Left-Ms is not a time in milliseconds"},
		{"no time left", requestText("GET", "lookup", "", timeLeftHeader, "0"), 400, "X-Time-Left-Ms is not a time in milliseconds"},
		{"an excessive timeout", requestText("GET", "lookup", "", timeLeftHeader, "99999999999999999999"), 400,
			"X-Time-Left-Ms is not a time in milliseconds"},
		{"no quota attributes", requestText("GET", "lookup", "", quotaHeader, ""), 400, quotaOutOfRange},
		{"units that are not a number", requestText("GET", "lookup", "", quotaHeader, "units=NaN,spread=2,first=0"), 400, quotaOutOfRange},
		{"too many units", requestText("GET", "lookup", "", quotaHeader, "units=5,spread=2,first=0"), 400, quotaOutOfRange},
		{"more gateways than the fleet", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=3,first=0"), 400, quotaOutOfRange},
		{"a gateway beyond the fleet", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=2,first=2"), 400, quotaOutOfRange},
		{"no idempotency key", requestText("POST", "booking", "x", idempotencyKeyHeader, ""), 400, "Idempotency-Key is missing"},
		{"the wrong method", requestText("POST", "lookup", "x"), 405, "method POST does not fit the class"},
		{"a GET with a key", requestText("GET", "booking", ""), 405, "method GET does not fit the class"},
		{"a large body", requestText("POST", "booking", strings.Repeat("x", maxBodyBytes+1)), 413, "the body is too long"},
		{"a chunked body", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "2\r\nok\r\n0\r\n\r\n", 411,
			"a body needs a Content-Length"},
		{"a duplicate quota key", requestText("GET", "lookup", "", quotaHeader, "units=1,spread=2,spread=1,first=0"), 400,
			"X-Call-Terms: spread stands more than once"},
		{"a duplicate header", requestText("GET", "lookup", "", planHeader, "basic\r\n"+planHeader+": basic"), 400,
			"X-Tier stands more than once"},
		{"a GET with a body", requestText("GET", "lookup", "x"), 400, "a GET has no body"},
		{"two different lengths", requestText("POST", "booking", "ok", "content-length", "3"), 400, ""},
		{"a negative length", requestText("POST", "booking", "", "Content-Length", "-2"), 400, ""},
		{"HTTP/1.0", strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1), 505, "HTTP/1.1 is wanted"},
		{"oversized headers", requestText("GET", "lookup", "", "X", strings.Repeat("x", 4*maxHeaderBytes)), 431, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, answers := g.sendRequest(t, c.request)
			resp := await(t, answers, "answer")
			if resp.StatusCode != c.status || !resp.Close {
				t.Errorf("status %d, want %d; closed %t", resp.StatusCode, c.status, resp.Close)
			}
			if body, err := io.ReadAll(resp.Body); c.body != "" && (string(body) != c.body+"\n" || err != nil) {
				t.Errorf("body %q, %v; want %q", body, err, c.body)
			}
		})
	}
}

// A request with both a Content-Length and chunked encoding may hide another request in its body or behind its body.
// Neither the request nor the hidden request may reach a backend.
func TestRequestHiddenByChunksIsNotForwarded(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	hidden := requestText("POST", "booking", "hidden")
	conn, answers := g.sendRequest(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked",
		"Content-Length", fmt.Sprint(5+len(hidden)))+"0\r\n\r\n"+hidden)
	if resp := await(t, answers, "answer"); resp.StatusCode != 411 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if rest, err := io.ReadAll(conn); isTimeout(err) {
		t.Errorf("the connection stays open; read %q", rest)
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d connections to the backend", n)
	}
}

// A correlation id identifies a single request. A second request with the same id is rejected while the first request
// is open and just after the first has been answered. The first request must still get its answer.
func TestDuplicateCorrelationIDIsRejected(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, first := g.sendRequest(t, requestText("POST", "booking", "mine", correlationIDHeader, "one"))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	expectConflict := func() {
		t.Helper()
		_, second := g.sendRequest(t, requestText("GET", "lookup", "", correlationIDHeader, "one"))
		if resp := await(t, second, "answer to the second"); resp.StatusCode != 409 {
			t.Errorf("the second: status %d", resp.StatusCode)
		}
		if len(backend.conns) > 0 {
			t.Error("the second was forwarded to the backend")
		}
	}
	expectConflict()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
	if resp := await(t, first, "answer to the first"); resp.StatusCode != 200 {
		t.Errorf("the first: status %d", resp.StatusCode)
	}
	expectConflict()
}

// A silent backend must not keep a request open beyond the latency objective of its class. The gateway must close the
// connection of the abandoned attempt, so that a late response reaches no client.
func TestSilentBackendDelaysNoAnswerBeyondLatencyObjective(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	conn, answers := g.sendRequest(t, requestText("GET", "glance", ""))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	resp := await(t, answers, "answer")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read error on the abandoned attempt's connection: %v, want EOF", err)
	}
	// The client's connection stays usable, and the next request gets the response to its own attempt.
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

// If a client sends too many bytes behind its open request, its connection is closed and the request's attempt is
// cancelled.
func TestFloodBehindOpenRequestClosesConnection(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	conn, _ := g.sendRequest(t, requestText("GET", "lookup", ""))
	_, reader := backend.accept(t)
	readRequest(t, reader)
	go io.WriteString(conn, strings.Repeat("x", 4*maxUnreadBytes)) // ends at the latest when conn is closed
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("read error on the attempt's connection: %v, want EOF", err)
	}
}

// Bytes that arrive behind an open request are not lost: the gateway reads them as the beginning of the next request.
func TestPipelinedRequestIsServedNext(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	conn, first := g.sendRequest(t, requestText("GET", "lookup", ""))
	backendConn, reader := backend.accept(t)
	readRequest(t, reader)
	second := requestText("POST", "booking", strings.Repeat("y", 6000))
	io.WriteString(conn, second[:1])
	io.WriteString(conn, second[1:])
	io.WriteString(backendConn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst")
	if resp := await(t, first, "answer"); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	_, reader = backend.accept(t)
	if _, body := readRequest(t, reader); len(body) != 6000 {
		t.Errorf("%d bytes of the second body were forwarded, want 6000", len(body))
	}
}

// A client that never reads its answer must not delay the answers to other clients. A shutdown waits for the client,
// but must end even if the client never reads the answer.
func TestSlowReaderDelaysNoOtherClient(t *testing.T) {
	t.Parallel()
	const bufferBytes = 4096 // size of each socket's buffer in bytes; smaller than the answer
	backend := newPeer(t)
	gated := &gatedListener{beforeRead: func(c *gatedConn) { c.SetWriteBuffer(bufferBytes) }}
	shortDeadlines := strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 2`, `"objectiveS": 10`, `"objectiveS": 2`).Replace
	g := startTestGatewayBehind(t, wrapWith(gated), shortDeadlines, backend)
	dialer := net.Dialer{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
	}}
	slow, err := dialer.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	io.WriteString(slow, requestText("GET", "lookup", ""))
	serveOne(t, backend, strings.Repeat("x", maxBodyBytes))
	for range 2 { // the gateway may reuse the first connection to the backend or open a new one
		_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
		resp := await(t, answers, "another client's answer")
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	g.stop()
	if err := await(t, g.serveErr, "end of serve"); err == nil {
		t.Error("the shutdown did not wait for the answer that the client has not read")
	}
}

// A client can't keep its request open, and so delay a shutdown, for longer than the deadline of its class.
func TestClientTimeoutIsBoundedByClassDeadline(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontend(&config)
	f.loop = &eventLoop{clock: newClock()}
	for timeLeft, want := range map[string]float64{"3600000": 20, "7000": 7} {
		text := requestText("GET", "lookup", "", timeLeftHeader, timeLeft)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		req, err := f.decode(httptest.NewRecorder(), r)
		if err != nil {
			t.Fatal(err)
		}
		if got := req.policyRequest.Deadline - req.policyRequest.SentAt + responseMargin; got < want-0.001 || got > want+0.001 {
			t.Errorf("timeout of %s ms: open for up to %.3f s, want %.3f", timeLeft, got, want)
		}
	}
}
