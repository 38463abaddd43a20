package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"weak"
)

// The log of a gateway that goes over its memory limit must show which memory it was: in use by objects, garbage, stacks
// or the bytes of requests. All of it is logged when a budget is exhausted, since the process may be killed soon after.
func TestExhaustedMemoryBudgetIsLoggedOnce(t *testing.T) {
	var text bytes.Buffer
	budget := newMemoryBudget("requests", 100, slog.New(slog.NewTextHandler(&text, nil)))
	held, err := budget.reserve(context.Background(), time.Now(), 100)
	if text.Len() > 0 || err != nil {
		t.Errorf("logged %q, error %v before the budget was exhausted", text.String(), err)
	}
	ended, end := context.WithCancel(context.Background())
	end()
	for range 2 {
		if _, err := budget.reserve(ended, time.Now().Add(testTimeout), 1); !errors.Is(err, errMemoryExhausted) {
			t.Errorf("beyond the capacity: error %v, want errMemoryExhausted", err)
		}
	}
	if lines := strings.Count(text.String(), "\n"); lines != 1 {
		t.Errorf("%d log lines, want 1", lines)
	}
	for _, want := range []string{"budget=requests", "usage.capacity=100", "usage.held=100", "process.live=", "process.objects=",
		"process.stacks=", "process.mapped=", "process.released=", "process.resident_anonymous="} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not in the log line %q", want, text.String())
		}
	}
	held.release()
	held.release()
	if held, peak := budget.held.Load(), budget.peak.Load(); held != 0 || peak != 100 {
		t.Errorf("after the release %d bytes are held, want 0; the peak is %d, want 100", held, peak)
	}
	if _, err := budget.reserve(context.Background(), time.Now(), 100); err != nil {
		t.Errorf("after the release: %v", err)
	}
}

// longBody is a body that does not fit in the buffers of a connection.
var longBody = strings.Repeat("x", 8<<10)

// expectMemoryReleased waits until no memory is held for requests and responses.
func (g *testGateway) expectMemoryReleased(t *testing.T) {
	t.Helper()
	for _, budget := range []*memoryBudget{g.requestMemory(), g.responseMemory()} {
		awaitCondition(t, "memory of "+budget.kind+" is still held", func() bool { return budget.held.Load() == 0 })
	}
}

// memoryUse plays a request that uses memory, with the gateway and its only backend.
type memoryUse func(t *testing.T, g *testGateway, backend *peer)

// testMemoryRelease checks that each use takes the memory of longBody from a budget, and that all memory is released.
func testMemoryRelease(t *testing.T, budget func(*testGateway) *memoryBudget, uses map[string]memoryUse) {
	t.Helper()
	for name, use := range uses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			g := startTestGateway(t, backend)
			use(t, g, backend)
			g.expectMemoryReleased(t)
			if peak := budget(g).peak.Load(); peak < int64(len(longBody)) {
				t.Errorf("at most %d bytes were held, want the %d of the body", peak, len(longBody))
			}
		})
	}
}

// requestMemory returns the budget of requests.
func (g *testGateway) requestMemory() *memoryBudget { return g.server.frontend.memory }

// responseMemory returns the budget of responses.
func (g *testGateway) responseMemory() *memoryBudget { return g.server.pools.memory }

// awaitHeld waits until memory of a budget is held.
func (b *memoryBudget) awaitHeld(t *testing.T) {
	t.Helper()
	awaitCondition(t, "no memory of "+b.kind+" is held", func() bool { return b.held.Load() > 0 })
}

// exhaust takes all memory of a budget.
func (b *memoryBudget) exhaust(t *testing.T) reservation {
	t.Helper()
	held, err := b.reserve(t.Context(), time.Now(), b.capacity)
	if err != nil {
		t.Fatal(err)
	}
	return held
}

// The memory of a request is released however the request ends. Memory that stayed taken would in time turn away all
// requests.
func TestRequestMemoryIsReleased(t *testing.T) {
	t.Parallel()
	payment := func(change ...string) string { return requestText("POST", "payment", longBody, change...) }
	testMemoryRelease(t, (*testGateway).requestMemory, map[string]memoryUse{
		"served": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, payment())
			serveOne(t, backend, "paid")
			expectStatus(t, answers, http.StatusOK)
		},
		"incomplete, then closed by the client": func(t *testing.T, g *testGateway, _ *peer) {
			text := payment()
			conn, _ := g.sendRequest(t, text[:len(text)-1])
			g.requestMemory().awaitHeld(t)
			conn.Close()
		},
		"incomplete until the read timeout": func(t *testing.T, g *testGateway, _ *peer) {
			text := payment()
			_, answers := g.sendRequest(t, text[:len(text)-1])
			expectStatus(t, answers, http.StatusRequestTimeout)
		},
		"the client disconnects during an attempt": func(t *testing.T, g *testGateway, backend *peer) {
			conn, _ := g.sendRequest(t, payment())
			backend.acceptRequest(t)
			conn.Close()
		},
		"the client disconnects before the request is read": func(t *testing.T, g *testGateway, _ *peer) {
			conn, answers := g.sendRequest(t, payment())
			conn.(*net.TCPConn).CloseWrite()
			expectStatus(t, answers, http.StatusBadGateway)
		},
		"a duplicate id": func(t *testing.T, g *testGateway, backend *peer) {
			_, first := g.sendRequest(t, payment(correlationIDHeader, "same"))
			conn, _ := backend.acceptRequest(t)
			_, second := g.sendRequest(t, payment(correlationIDHeader, "same"))
			expectStatus(t, second, http.StatusConflict)
			respondOK(conn, "paid")
			expectStatus(t, first, http.StatusOK)
		},
		"the backend resets the connection": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, payment())
			conn, _ := backend.acceptRequest(t)
			conn.Close()
			expectStatus(t, answers, http.StatusBadGateway)
		},
		"answered while the attempt goes on": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, payment(timeLeftHeader, "200"))
			backend.acceptRequest(t) // the backend never responds
			expectStatus(t, answers, http.StatusBadGateway)
		},
		"rejected during a shutdown": func(t *testing.T, g *testGateway, _ *peer) {
			g.server.frontend.rejecting.Store(true)
			_, answers := g.sendRequest(t, payment())
			expectStatus(t, answers, http.StatusServiceUnavailable)
		},
	})
}

// The memory of a request stays taken while its answer is written, since the request's handler still refers to the
// request. The client decides how long that takes.
func TestRequestMemoryIsHeldWhileAnswerIsWritten(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	var hold atomic.Bool
	writing, release := make(chan struct{}, 1), make(chan struct{})
	gated := &gatedListener{beforeWrite: func() {
		if hold.CompareAndSwap(true, false) {
			writing <- struct{}{}
			<-release
		}
	}}
	g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
	hold.Store(true)
	_, answers := g.sendRequest(t, requestText("POST", "payment", longBody))
	serveOne(t, backend, strings.Repeat("x", maxBodyBytes)) // more than the HTTP server buffers
	await(t, writing, "the beginning of the answer")
	if g.requestMemory().held.Load() == 0 {
		t.Error("the memory was released before the answer was written")
	}
	close(release)
	await(t, answers, "answer")
	g.expectMemoryReleased(t)
}

// The memory of a response is released however its request ends.
func TestResponseMemoryIsReleased(t *testing.T) {
	t.Parallel()
	respond := func(conn net.Conn, status int, framing string) {
		fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s\r\n\r\n", status, http.StatusText(status), framing)
	}
	stated := fmt.Sprintf("Content-Length: %d", len(longBody))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(longBody), longBody)
	testMemoryRelease(t, (*testGateway).responseMemory, map[string]memoryUse{
		"served": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusOK, stated)
			io.WriteString(conn, longBody)
			expectBody(t, answers, longBody)
		},
		"served in chunks": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusOK, "Transfer-Encoding: chunked")
			io.WriteString(conn, chunk+"0\r\n\r\n")
			expectBody(t, answers, longBody)
		},
		"failed": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, requestText("POST", "payment", "x"))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusInternalServerError, stated)
			io.WriteString(conn, longBody)
			expectStatus(t, answers, http.StatusBadGateway)
		},
		"reset": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, requestText("POST", "payment", "x"))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusOK, stated)
			io.WriteString(conn, longBody[1:])
			g.responseMemory().awaitHeld(t)
			conn.Close()
			expectStatus(t, answers, http.StatusBadGateway)
		},
		"the client disconnects before the end of the response": func(t *testing.T, g *testGateway, backend *peer) {
			client, _ := g.sendRequest(t, requestText("GET", "lookup", ""))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusOK, stated)
			io.WriteString(conn, longBody[1:])
			g.responseMemory().awaitHeld(t)
			client.Close()
		},
		"the request times out before the end of the response": func(t *testing.T, g *testGateway, backend *peer) {
			_, answers := g.sendRequest(t, requestText("POST", "payment", "x", timeLeftHeader, "300"))
			conn, _ := backend.acceptRequest(t)
			respond(conn, http.StatusOK, stated)
			io.WriteString(conn, longBody[1:])
			g.responseMemory().awaitHeld(t)
			expectStatus(t, answers, http.StatusBadGateway)
		},
	})
}

// expectStatus checks the status of an answer.
func expectStatus(t *testing.T, answers <-chan *http.Response, status int) {
	t.Helper()
	if resp := await(t, answers, "answer"); resp.StatusCode != status {
		t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
}

// expectBody checks that an answer has status 200 and the given body.
func expectBody(t *testing.T, answers <-chan *http.Response, want string) {
	t.Helper()
	resp := await(t, answers, "answer")
	if body, err := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != want || err != nil {
		t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(body), err)
	}
}

// Long responses are held within their budget. A response for which no memory is free stays in the socket until another
// one has been sent to its client, or until the attempt's deadline; a short response needs no memory of the budget.
func TestResponsesAreBoundedByMemoryBudget(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.responseMemory()
	held := budget.exhaust(t)
	send := func(timeout, body string) <-chan *http.Response {
		_, answers := g.sendRequest(t, requestText("POST", "payment", "x", timeLeftHeader, timeout))
		conn, _ := backend.acceptRequest(t)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return answers
	}
	expectBody(t, send("15000", "short"), "short")
	if resp := await(t, send("300", longBody), "answer"); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("a response that got no memory in time: status %d", resp.StatusCode)
	}
	answers := send("15000", longBody)
	awaitCondition(t, "the response does not wait for memory", budget.hasWaiters)
	held.release()
	expectBody(t, answers, longBody)
	if peak := budget.peak.Load(); peak > budget.capacity {
		t.Errorf("%d bytes were held, with a budget of %d", peak, budget.capacity)
	}
	g.expectMemoryReleased(t)
}

// waitingReserve is a call of reserve that waits.
type waitingReserve struct {
	memory chan reservation // receives the result, which is empty if the call has given up
	giveUp context.CancelFunc
}

// startWaiting starts a call of reserve, and returns when it waits.
func (b *memoryBudget) startWaiting(t *testing.T, bytes int64) waitingReserve {
	t.Helper()
	ctx, giveUp := context.WithCancel(t.Context())
	call := waitingReserve{make(chan reservation, 1), giveUp}
	before := b.waiting()
	go func() {
		r, err := b.reserve(ctx, time.Now().Add(testTimeout), bytes)
		if err != nil && !errors.Is(err, errMemoryExhausted) {
			t.Errorf("reserve of %d bytes: %v", bytes, err)
		}
		call.memory <- r
	}()
	awaitCondition(t, fmt.Sprintf("the reserve of %d bytes does not wait", bytes), func() bool { return b.waiting() == before+1 })
	return call
}

// expectGranted waits for the memory of a call.
func (w waitingReserve) expectGranted(t *testing.T) *reservation {
	t.Helper()
	r := await(t, w.memory, "memory")
	if r.budget == nil {
		t.Error("the call got no memory")
	}
	return &r
}

// The newest waiting call gets free memory first. A call that gives up leaves the queue, and a call that needs less gets
// its memory then.
func TestMemoryBudgetServesNewestFirst(t *testing.T) {
	budget := newMemoryBudget("requests", 100, slog.New(slog.DiscardHandler))
	held := budget.exhaust(t)
	oldest := budget.startWaiting(t, 60)
	abandoned := budget.startWaiting(t, 60)
	newest := budget.startWaiting(t, 60)
	held.release()
	memory := newest.expectGranted(t)
	abandoned.giveUp()
	if r := await(t, abandoned.memory, "end of the abandoned call"); r.budget != nil {
		t.Error("a call that gave up got memory")
	}
	if _, free := budget.tryReserve(1); free {
		t.Error("tryReserve took memory for which a call waits")
	}
	memory.release()
	memory = oldest.expectGranted(t)
	oldest.giveUp() // too late

	rest, ok := budget.tryReserve(40)
	if !ok {
		t.Error("free memory was not reserved")
	}
	needsLess := budget.startWaiting(t, 50)
	needsMore := budget.startWaiting(t, 70)
	memory.release() // leaves 60 bytes free, and the newest call needs 70
	if waiting := budget.waiting(); waiting != 2 {
		t.Errorf("%d calls wait, want 2", waiting)
	}
	needsMore.giveUp()
	needsLess.expectGranted(t).release()
	rest.release()
	if n := budget.held.Load(); n != 0 || budget.waiting() != 0 {
		t.Errorf("%d bytes are held and %d calls wait at the end", n, budget.waiting())
	}
}

// A request that has been answered doesn't stay in memory until its deadline.
func TestAnsweredRequestsFreeTheirMemory(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, responses := g.sendRequest(t, requestText("POST", "payment", strings.Repeat("x", maxBodyBytes), timeLeftHeader, "15000"))
	conn, _ := backend.acceptRequest(t)
	var req weak.Pointer[clientRequest]
	for _, open := range g.server.clientConnections.unanswered(1) {
		req = weak.Make(open.clientRequest)
	}
	if req.Value() == nil {
		t.Fatal("the request is not open")
	}
	respondOK(conn, "done")
	await(t, responses, "answer")
	awaitWithin(t, 5*time.Second, "the answered request is still in memory", func() bool {
		runtime.GC()
		return req.Value() == nil
	})
}
