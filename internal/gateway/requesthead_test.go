package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"amberlb/policy"
)

// shortFields returns n short header lines with different names.
func shortFields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// withFields adds header lines to the text of a request.
func withFields(request, fields string) string {
	return strings.Replace(request, "\r\n", "\r\n"+fields, 1)
}

// A scanner finds the same end of a head and the same length of a body as net/http, however the bytes are split. It may
// leave the length open where net/http knows one, but must not state another one.
func FuzzHeadScannerAgreesWithNetHTTP(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\ncontent-length:3 \r\nContent-Length: 3\r\n\r\nabcGET",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 100) + "\r\n\r\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat("0", 70) + "7\r\n\r\n1234567",
		"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add(seed, 1)
		f.Add(seed, 7)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		headBytes := len(text) - source.Len() - reader.Buffered()
		var scanner headScanner
		complete := false
		scanned := 0
		for rest := []byte(text); len(rest) > 0 && !complete; {
			size := min(max(piece, 1), len(rest))
			var n int
			n, complete = scanner.scan(rest[:size])
			scanned += n
			rest = rest[n:]
		}
		if !complete || scanned != headBytes || scanner.bytes != headBytes {
			t.Fatalf("head of %d bytes: the scanner found its end %t after %d", headBytes, complete, scanned)
		}
		if !scanner.unframed && (r.ContentLength != scanner.contentLength || len(r.TransferEncoding) > 0) {
			t.Errorf("body of %d bytes, %v: the scanner found %d", r.ContentLength, r.TransferEncoding, scanner.contentLength)
		}
	})
}

// A head takes no more memory in parsed form than headMemory says, whatever the shape of its fields.
func TestHeadMemoryCoversParsedForm(t *testing.T) {
	const heads = 400
	start := "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, fields := range map[string]string{
		"distinct names": shortFields(maxHeadFields - 2),
		"one name":       strings.Repeat("a:\n", maxHeadFields-2),
		"few fields":     shortFields(unreservedHeadFields - 2),
		"one long field": "a: " + strings.Repeat("x", maxHeaderBytes) + "\r\n",
		"long fields":    strings.Repeat("a: "+strings.Repeat("x", 180)+"\r\n", 90),
	} {
		t.Run(name, func(t *testing.T) {
			text := start + fields + "\r\n"
			var scanner headScanner
			if _, complete := scanner.scan([]byte(text)); !complete || scanner.isTooLong() {
				t.Fatalf("complete %t, too long %t", complete, scanner.isTooLong())
			}
			kept := make([]*http.Request, heads)
			copies := make([]http.Header, heads)
			before := liveBytes()
			for i := range kept {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 4096))
				if err != nil {
					t.Fatal(err)
				}
				r.Body = nil // the body refers to the reader, which counts as a part of the connection
				kept[i] = r
				copies[i] = (&clientRequest{header: r.Header}).outboundRequest(time.Second).Header
			}
			perHead := (liveBytes() - before) / heads
			if perHead > scanner.memory() {
				t.Errorf("%d bytes for each head, headMemory says %d", perHead, scanner.memory())
			}
			runtime.KeepAlive(kept)
			runtime.KeepAlive(copies)
		})
	}
}

// liveBytes returns the bytes of memory that are in use after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A head with more than maxHeadFields gets 431 at once and a close, complete or not, and reaches no backend. It doesn't
// matter whether it is the first on its connection or lies behind another request. A head with fewer fields is served.
func TestHeadsOfTooManyFieldsAreRejected(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	request := func(fields int) string {
		usual := requestText("GET", "lookup", "")
		return withFields(usual, shortFields(fields-(strings.Count(usual, "\r\n")-1)))
	}
	tooMany := request(maxHeadFields + 1)
	for name, text := range map[string]string{"complete": tooMany, "incomplete": strings.TrimSuffix(tooMany, "\r\n")} {
		_, answers := g.sendRequest(t, text)
		if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
			t.Errorf("%s: status %d, connection closed %t", name, resp.StatusCode, resp.Close)
		}
	}
	reader := bufio.NewReader(dial(t, g.address, request(maxHeadFields)+tooMany))
	serveOne(t, backend, "served")
	for _, want := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("two requests on a connection: %v, %v, want status %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
	if n := g.server.frontend.loop.metrics.counts[requestsTooManyFields].Load(); n != 3 {
		t.Errorf("%d requests were counted, want 3", n)
	}
	g.expectMemoryReleased(t)
}

// Long heads take memory from the budget of requests before they are parsed. Without free memory they wait, then get 503
// with Retry-After; a stalled one makes room for another. Short heads need none.
func TestLongHeadsAreBoundedByMemoryBudget(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	budget := g.requestMemory()
	long := func() string {
		return withFields(requestText("GET", "lookup", ""), shortFields(unreservedHeadFields))
	}
	held := budget.exhaust(t)
	_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
	serveOne(t, backend, "short")
	expectBody(t, answers, "short")
	_, answers = g.sendRequest(t, long())
	resp := await(t, answers, "answer")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.5" || !resp.Close {
		t.Errorf("status %d, headers %v, connection closed %t", resp.StatusCode, resp.Header, resp.Close)
	}
	held.release()

	stalled := make([]<-chan *http.Response, budget.capacity/maxRequestHeadMemory)
	for i := range stalled {
		_, stalled[i] = g.sendRequest(t, strings.TrimSuffix(long(), "\r\n"))
	}
	awaitCondition(t, "the stalled heads hold no memory", func() bool {
		return budget.held.Load() == int64(len(stalled))*maxRequestHeadMemory
	})
	_, answers = g.sendRequest(t, strings.TrimSuffix(long(), "\r\n")) // needs as much, and stalls as well
	for _, answer := range stalled {
		expectStatus(t, answer, http.StatusServiceUnavailable)
	}
	await(t, answers, "answer")
	if peak := budget.peak.Load(); peak > budget.capacity {
		t.Errorf("%d bytes were held, with a budget of %d", peak, budget.capacity)
	}
	g.expectMemoryReleased(t)
}

// The bytes of a connection reach the HTTP server one request at a time, unchanged and in order, whatever the size of the
// pieces in which they arrive.
func TestRequestsArePassedOnOneAtATime(t *testing.T) {
	first := "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab\ncd"
	second := "\r\nGET /b HTTP/1.1\r\nA: b\r\n\r\n"
	third := "POST /c HTTP/1.1\r\ncontent-length: 1\r\n\r\nx"
	text := first + second + third
	for size := 1; size <= len(text); size++ {
		near, far := connPair(t, newPeer(t))
		conn := newClientConnections(nil, 10).tryAdd(near)
		go func() {
			for rest := text; len(rest) > 0; {
				n := min(size, len(rest))
				io.WriteString(far, rest[:n])
				rest = rest[n:]
			}
			far.(*net.TCPConn).CloseWrite()
		}()
		var requests []string
		var current []byte
		buffer := make([]byte, 16)
		for {
			n, err := conn.Read(buffer)
			current = append(current, buffer[:n]...)
			if n > 0 && conn.framer.isComplete() {
				requests = append(requests, string(current))
				current = nil
			}
			if err != nil {
				break
			}
		}
		if len(requests) != 3 || requests[0] != first || requests[1] != second || requests[2] != third {
			t.Fatalf("pieces of %d bytes: %q", size, requests)
		}
	}
}

// The head of a response is bounded like that of a request: one with too many fields, complete or not, is an error after
// which the request may have run, and a long one takes memory of the budget of responses before it is parsed. Interim
// responses count each on its own.
func TestResponseHeadsAreBounded(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n" + shortFields(maxHeadFields/2) + "\r\n"
	body := strings.Repeat("\n", 2*maxHeadFields) // lines of a body are no fields
	for name, c := range map[string]struct {
		response string
		status   int
		reserves bool
	}{
		"short":                  {ok + "\r\nok", http.StatusOK, false},
		"many fields":            {ok + shortFields(maxHeadFields-2) + "\r\nok", http.StatusOK, true},
		"too many fields":        {ok + shortFields(maxHeadFields) + "\r\nok", http.StatusBadGateway, false},
		"too many, no end":       {ok + shortFields(maxHeadFields), http.StatusBadGateway, false},
		"too long":               {ok + "A: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\nok", http.StatusBadGateway, true},
		"three interim ones":     {interim + interim + interim + ok + "\r\nok", http.StatusOK, true},
		"a body of many lines":   {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + body, http.StatusOK, false},
		"long with a long body":  {"HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n" + shortFields(40) + "\r\n" + strings.Repeat("b", 8192), http.StatusOK, true},
		"chunked, body of lines": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + body + "\r\n0\r\n\r\n", http.StatusOK, true},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newPeer(t)
			g := startTestGateway(t, backend)
			_, answers := g.sendRequest(t, requestText("POST", "payment", "x"))
			conn, _ := backend.acceptRequest(t)
			io.WriteString(conn, c.response)
			expectStatus(t, answers, c.status)
			g.expectMemoryReleased(t)
			if reserved := g.responseMemory().peak.Load() > 0; reserved != c.reserves {
				t.Errorf("memory was reserved %t, want %t", reserved, c.reserves)
			}
		})
	}
}

// The trailer behind a chunked body has no budget. It is skipped without being parsed, and the connection stays usable.
func TestTrailerOfResponseTakesNoMemory(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	const responses = 100
	fields := shortFields(500) // 2.7 KB
	read := func(response string) (attemptResult, bool) {
		conn := &backendConn{responses: &responseReader{}, memory: newUnlimitedBudget(responsesKind)}
		conn.responses.limit.R = strings.NewReader(response)
		conn.reader = bufio.NewReader(conn.responses)
		return conn.readResponse(memoryWait{t.Context(), time.Now().Add(testTimeout)}, http.MethodGet)
	}
	allocated := func(response string) uint64 { // bytes for each response
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range responses {
			result, reusable := read(response)
			if result.outcome != policy.Served || string(result.body) != "ok" || !reusable {
				t.Fatalf("outcome %v, body %q, connection reusable %t", result.outcome, result.body, reusable)
			}
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / responses
	}
	without, with := allocated(chunked+"\r\n"), allocated(chunked+fields+"\r\n")
	if with > without+unreservedPartBytes {
		t.Errorf("%d bytes for a response with a trailer of %d bytes, %d without", with, len(fields), without)
	}
	for _, trailer := range []string{"", fields, strings.Repeat(fields, 2) + "\r\n", strings.Repeat("x", 5<<10) + "\r\n\r\n"} {
		if result, reusable := read(chunked + trailer); result.outcome != policy.ConnectionReset || reusable {
			t.Errorf("a trailer of %d bytes that is incomplete or too long: %v, connection reusable %t",
				len(trailer), result.outcome, reusable)
		}
	}
}

// A response's head for which no memory becomes free until the attempt's deadline ends the attempt, and a response that
// holds memory for its head never waits for that of its body.
func TestResponseHeadsWaitForMemory(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, lowMemory, backend)
	held := g.responseMemory().exhaust(t)
	_, answers := g.sendRequest(t, requestText("POST", "payment", "x", timeLeftHeader, "300"))
	conn, _ := backend.acceptRequest(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+shortFields(unreservedHeadFields)+"\r\nok")
	expectStatus(t, answers, http.StatusBadGateway)
	held.release()
	g.expectMemoryReleased(t)

	var budget = newMemoryBudget(responsesKind, 100, g.server.log)
	head, _ := budget.reserve(t.Context(), time.Now(), 50)
	if _, err := budget.reserveMore(unreservedPartBytes + 1); !errors.Is(err, errMemoryExhausted) {
		t.Errorf("more than is free: %v", err)
	}
	if more, err := budget.reserveMore(unreservedPartBytes); err != nil || more.budget != nil {
		t.Errorf("a short part: %v, %v", more, err)
	}
	head.release()
}
