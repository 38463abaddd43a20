package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// maxBadClientWait is the time from connecting within which a client that sends an incomplete request must get an error
// or a close.
const maxBadClientWait = 3 * time.Second

// fewDescriptors sets the lowest limit of file descriptors in a configuration.
func fewDescriptors(config string) string {
	return strings.Replace(config, `"sockets": 1024`, fmt.Sprintf(`"sockets": %d`, minSockets), 1)
}

// lowMemory returns a configuration text with the lowest memory limit that a gateway accepts.
func lowMemory(config string) string {
	return strings.Replace(config, `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, minMemoryMB), 1)
}

// incompletePayment returns a request with the longest body, without the body's last byte.
func incompletePayment() string {
	text := requestText("POST", "payment", strings.Repeat("x", maxBodyBytes))
	return text[:len(text)-1]
}

// Clients that send long requests but for the last byte, and stay, must not make the gateway hold more bytes than its
// budget, however many they are. Each of them gets an error within the time that is owed to bad clients, and the usual
// clients are served meanwhile, with short requests and with long ones.
func TestIncompleteRequestsAreBoundedByMemoryBudget(t *testing.T) {
	t.Parallel()
	const badClients = 120 // the budget has memory for a quarter of them
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.requestMemory()
	type result struct {
		status int
		took   time.Duration
	}
	results := make(chan result, badClients)
	for range badClients {
		startedAt := time.Now()
		_, answers := g.sendRequest(t, incompletePayment())
		go func() {
			select {
			case resp := <-answers:
				results <- result{resp.StatusCode, time.Since(startedAt)}
			case <-time.After(testTimeout):
				results <- result{0, time.Since(startedAt)}
			}
		}()
	}
	awaitCondition(t, "no request waits for memory", budget.hasWaiters)
	go func() {
		for conn := range backend.conns {
			go http.Serve(&singleConnListener{conn: conn}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
			}))
		}
	}()
	for _, body := range []string{"short", strings.Repeat("x", maxBodyBytes)} {
		_, answers := g.sendRequest(t, requestText("POST", "payment", body))
		if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
			t.Errorf("usual request of %d bytes: status %d", len(body), resp.StatusCode)
		}
	}
	for range badClients {
		got := await(t, results, "end of an incomplete request")
		if got.status != http.StatusServiceUnavailable && got.status != http.StatusRequestTimeout || got.took > maxBadClientWait {
			t.Errorf("an incomplete request got status %d after %v", got.status, got.took)
		}
	}
	if peak := budget.peak.Load(); peak > budget.capacity || peak < budget.capacity/2 {
		t.Errorf("at most %d bytes were held, with a budget of %d", peak, budget.capacity)
	}
	g.expectMemoryReleased(t)
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct{ conn net.Conn }

// Accept returns the connection at the first call, and io.EOF later.
func (l *singleConnListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, io.EOF
	}
	conn := l.conn
	l.conn = nil
	return conn, nil
}

// Close does nothing.
func (l *singleConnListener) Close() error { return nil }

// Addr returns an empty address.
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// The time that a request waits for memory counts against its client's timeout, since the client has sent the last byte
// before the wait. A backend that were told more time could still work on a request that its client has given up.
func TestWaitForMemoryCountsAgainstDeadline(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.requestMemory()
	held := budget.exhaust(t)
	const timeout, wait = 4 * time.Second, 500 * time.Millisecond
	_, answers := g.sendRequest(t, requestText("POST", "payment", longBody, timeLeftHeader, strconv.Itoa(int(timeout.Milliseconds()))))
	awaitCondition(t, "the request does not wait for memory", budget.hasWaiters)
	time.Sleep(wait)
	held.release()
	conn, reader := backend.accept(t)
	request, body := readRequest(t, reader)
	left, err := strconv.Atoi(request.Header.Get(timeLeftHeader))
	if told := time.Duration(left) * time.Millisecond; err != nil || told > timeout-wait {
		t.Errorf("the backend was told %v (%v), over %v after a request with a timeout of %v", told, err, wait, timeout)
	}
	if len(body) != len(longBody) {
		t.Errorf("%d bytes of the body arrived, want %d", len(body), len(longBody))
	}
	respondOK(conn, "paid")
	expectStatus(t, answers, http.StatusOK)
}

// A request for which no memory becomes free is rejected before half of its client's timeout is over, and its client is
// told when to come back.
func TestWaitForMemoryIsBounded(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.requestMemory()
	held := budget.exhaust(t)
	defer held.release()
	const timeout = 4 * time.Second
	sentAt := time.Now()
	_, answers := g.sendRequest(t, requestText("POST", "payment", longBody, timeLeftHeader, "4000"))
	resp := await(t, answers, "answer")
	took := time.Since(sentAt)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.5" || !resp.Close {
		t.Errorf("status %d, Retry-After %q, closed %t", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}
	if took < timeout/4 || took >= timeout/2 {
		t.Errorf("answered after %v, with a timeout of %v", took, timeout)
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d connections to the backend", n)
	}
	if over := g.server.frontend.loop.metrics.counts[requestsOverMemory].Load(); over != 1 {
		t.Errorf("%d requests were counted as rejected for lack of memory, want 1", over)
	}
}

// A client that pauses in the middle of a long body is served, as long as no other request waits for memory.
func TestPausedBodyIsReadWhileMemoryIsFree(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	text := requestText("POST", "payment", longBody)
	conn, answers := g.sendRequest(t, text[:len(text)/2])
	time.Sleep(3 * maxStall)
	io.WriteString(conn, text[len(text)/2:len(text)-1])
	time.Sleep(2 * maxStall) // the last byte arrives shortly before or after a wait for bytes is interrupted
	io.WriteString(conn, text[len(text)-1:])
	backendConn, reader := backend.accept(t)
	if _, body := readRequest(t, reader); len(body) != len(longBody) {
		t.Errorf("%d bytes of the body arrived, want %d", len(body), len(longBody))
	}
	time.Sleep(2 * maxStall) // the watch for a disconnect must not be interrupted
	respondOK(backendConn, "paid")
	expectStatus(t, answers, http.StatusOK)
}

// Bytes that clients send behind their open requests are held within the budget too. A client for whose bytes no memory
// is free is disconnected, as a client that sends too many. A few bytes need no memory of the budget, and memory that was
// taken is free again when the next request is read, or when the connection ends.
func TestPipelinedBytesAreBoundedByMemoryBudget(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.requestMemory()
	flooded := &g.server.frontend.loop.metrics.counts[connectionsFlooded]
	next := requestText("POST", "payment", strings.Repeat("x", 2*unreservedUnreadBytes))
	conn, first := g.sendRequest(t, requestText("GET", "lookup", ""))
	backendConn, _ := backend.acceptRequest(t)
	io.WriteString(conn, next)
	budget.awaitHeld(t)
	const lastResponse = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	io.WriteString(backendConn, lastResponse) // each request of the test comes on a new connection
	await(t, first, "answer")
	backendConn, _ = backend.acceptRequest(t)
	io.WriteString(backendConn, lastResponse)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the next request: %v, %v", resp, err)
	}
	g.expectMemoryReleased(t)

	closing, _ := g.sendRequest(t, requestText("GET", "lookup", ""))
	backend.acceptRequest(t)
	io.WriteString(closing, next)
	budget.awaitHeld(t)
	closing.Close()
	g.expectMemoryReleased(t)

	held := budget.exhaust(t)
	defer held.release()
	fewBytes, _ := g.sendRequest(t, requestText("GET", "lookup", ""))
	_, fewReader := backend.acceptRequest(t)
	io.WriteString(fewBytes, next[:unreservedUnreadBytes-1])
	manyBytes, _ := g.sendRequest(t, requestText("GET", "lookup", ""))
	_, manyReader := backend.acceptRequest(t)
	io.WriteString(manyBytes, next)
	if _, err := manyReader.ReadByte(); err != io.EOF {
		t.Errorf("without memory: read error on the attempt's connection: %v, want EOF", err)
	}
	if n := flooded.Load(); n != 1 {
		t.Errorf("%d clients were disconnected for the bytes behind their requests, want 1", n)
	}
	fewBytes.Close()
	if _, err := fewReader.ReadByte(); err != io.EOF {
		t.Errorf("the disconnect behind a few bytes: read error on the attempt's connection: %v, want EOF", err)
	}
}
