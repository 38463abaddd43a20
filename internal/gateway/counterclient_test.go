package gateway

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/policy"
)

// callResult is what a call of the given amount was reported with.
type callResult struct {
	amount  float64
	outcome policy.Outcome
	total   float64
}

// startCounterClient runs a client of the counter until the test ends. add queues a call whose reply is then in
// replies.
func startCounterClient(t *testing.T, address string) (
	c *counterClient, add func(amount float64) *counterCall, results chan callResult,
) {
	t.Helper()
	c = newCounterClient(address, testTimeout)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	results = make(chan callResult, 64)
	add = func(amount float64) *counterCall {
		call := &counterCall{key: 7, amount: amount, ttl: time.Minute}
		call.report = func(call *counterCall, outcome policy.Outcome, total float64) {
			results <- callResult{call.amount, outcome, total}
		}
		if !c.enqueue(call) {
			t.Fatal("the queue is full")
		}
		return call
	}
	return c, add, results
}

// writeResponse writes an answer with a length.
func writeResponse(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Calls are pipelined in order. The answer to an abandoned one is not taken for the next call's, and a call
// whose answer is cut off is in doubt.
func TestCounterCallsArePipelined(t *testing.T) {
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	abandoned := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, reader := counter.accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := readRequest(t, reader) // all before the first answer: calls are pipelined
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The loop abandons the first call. Its late answer keeps its place, lest each later call get the total of
	// the one before.
	abandoned.abandoned.Store(true)
	writeResponse(conn, 200, "1")
	writeResponse(conn, 200, "-1.5\n")
	writeResponse(conn, 503, "")
	writeResponse(conn, 404, "")
	for _, want := range []callResult{
		{1, policy.Served, 1},
		{-2.5, policy.Served, -1.5},
		{3, policy.Rejected, 0},
		{4, policy.ConnectFailed, 0},
	} {
		if got := await(t, results, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
	// A call whose answer is cut off may have been added.
	add(5)
	readRequest(t, reader)
	conn.Close()
	if got := await(t, results, "reply"); got.outcome != policy.ConnectionReset {
		t.Errorf("reply after the connection was closed: %v", got)
	}
	// The next is sent on a new connection.
	add(6)
	_, reader = counter.accept(t)
	readRequest(t, reader)
}

// A malformed answer says that the amount was added and no more: a call behind it is in doubt, and the
// connection is not used any more.
func TestMalformedCounterAnswerEndsConnection(t *testing.T) {
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	for _, c := range []struct {
		response string
		outcome  policy.Outcome
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno number", policy.Failed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN", policy.Failed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n+Inf", policy.Failed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", policy.Failed},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n12", policy.Failed},
		{"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("1", 65), policy.Failed},
		{"HTTP/1.1 2x0 OK\r\n\r\n12", policy.Failed},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxCounterResponseBytes), policy.Failed},
		{"HTTP/1.1 102 Processing\r\n\r\n", policy.ConnectionReset},
		{"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n12", policy.ConnectionReset},
	} {
		add(1)
		conn, reader := counter.accept(t)
		readRequest(t, reader)
		add(2)
		readRequest(t, reader) // written behind it
		fmt.Fprint(conn, c.response, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8")
		if got := await(t, results, "reply"); got != (callResult{1, c.outcome, 0}) {
			t.Errorf("%.60q: reply %v", c.response, got)
		}
		if got := await(t, results, "reply"); got != (callResult{2, policy.ConnectionReset, 0}) {
			t.Errorf("%.60q: reply to the call behind it %v", c.response, got)
		}
	}
	add(3)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n12") // and no end but the connection's
	conn.Close()
	if got := await(t, results, "reply"); got.outcome != policy.Failed {
		t.Errorf("reply with no length: %v", got)
	}
}

// Where the settings give a call longer than the usual I/O time-out, its answer may take that long.
func TestCounterAnswerMayTakeCallTimeout(t *testing.T) {
	t.Parallel()
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	add(1)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	time.Sleep(counterIOTimeout + 200*time.Millisecond) // the moment that is to be crossed
	writeResponse(conn, 200, "5")
	if got := await(t, results, "reply"); got != (callResult{1, policy.Served, 5}) {
		t.Errorf("reply %v", got)
	}
}

// An answer that never ends blocks the calls behind it on its connection and no others: the next call gets
// a new connection.
func TestBlockedCounterConnectionIsReplaced(t *testing.T) {
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	blocked := add(1)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	for deadline := time.Now().Add(testTimeout); !blocked.responseStarted.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the answer's beginning is on its way
	}
	blocked.abandoned.Store(true)
	add(2)
	conn, reader = counter.accept(t)
	readRequest(t, reader)
	writeResponse(conn, 200, "3")
	for got := await(t, results, "reply"); got != (callResult{2, policy.Served, 3}); got = await(t, results, "reply") {
		if got.amount != 1 { // the blocked connection ends at its time-out, and its call with it
			t.Fatalf("reply on the new connection: %v", got)
		}
	}
}

// A counter that is slow for all must not get connections without limit: at the limit, calls are sent on
// the last one.
func TestCounterConnectionsAreLimited(t *testing.T) {
	counter := newPeer(t)
	client := newCounterClient(counter.address(), testTimeout)
	var openConns atomic.Int64
	openConns.Store(maxConnsPerStream - 1) // blocked already
	conn, err := client.dial(context.Background(), &openConns)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	blockingCall := &counterCall{}
	blockingCall.abandoned.Store(true)
	conn.headCall.Store(blockingCall)
	if conn.headOfLineBlocked() {
		t.Error("another connection would be opened past the limit")
	}
	openConns.Add(-1)
	if !conn.headOfLineBlocked() {
		t.Error("a blocked connection is kept below the limit")
	}
	openConns.Add(1)
	conn.Close()
	client.readers.Wait()
	if n := openConns.Load(); n != maxConnsPerStream-1 {
		t.Errorf("%d connections count as open after one has ended", n)
	}
}

// A call on a counter that can't be reached is not written, so nothing was added, and the outcome says so.
func TestUnreachableCounterAddsNothing(t *testing.T) {
	counter := newPeer(t)
	counter.listener.Close()
	_, add, results := startCounterClient(t, counter.address())
	add(1)
	if got := await(t, results, "reply"); got.outcome != policy.ConnectFailed {
		t.Errorf("reply %v", got)
	}
}

// A call that was abandoned before it was written is never written.
func TestAbandonedCallIsNotWritten(t *testing.T) {
	counter := newPeer(t)
	client := newCounterClient(counter.address(), testTimeout)
	reported := make(chan policy.Outcome, 2)
	report := func(_ *counterCall, outcome policy.Outcome, _ float64) { reported <- outcome }
	abandoned := &counterCall{key: 1, amount: 1, ttl: time.Minute, report: report}
	abandoned.abandoned.Store(true)
	next := &counterCall{key: 1, amount: 2, ttl: time.Minute, report: report}
	client.enqueue(abandoned)
	client.enqueue(next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.run(ctx)
	_, reader := counter.accept(t)
	if req, _ := readRequest(t, reader); req.URL.Query().Get("add") != "2" {
		t.Errorf("written: %s", req.RequestURI)
	}
	if got := await(t, reported, "report"); got != policy.TimedOut {
		t.Errorf("outcome %d", got)
	}
}

// Something on the way to the counter drops idle connections: once that is known, a call is sent on a new
// one and is not in doubt.
func TestIdleConnectionIsReplacedAboveEstimatedLimit(t *testing.T) {
	counter := newPeer(t)
	client, add, results := startCounterClient(t, counter.address())
	for range 2 * int(minBreaks) {
		client.idleEstimator.observe(time.Now(), 2*minIdleBucket, true)
	}
	for range 2 {
		add(1)
		conn, reader := counter.accept(t)
		readRequest(t, reader)
		writeResponse(conn, 200, "1")
		await(t, results, "reply")
		time.Sleep(10 * minIdleBucket) // the idle time itself is what is tested
	}
}

// Calls that fail on connections that were idle teach the estimator a limit.
func TestIdleLimitIsLearnedFromResets(t *testing.T) {
	counter := newPeer(t)
	client, add, results := startCounterClient(t, counter.address())
	for round := 0; client.idleEstimator.limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("no limit was learned")
		}
		add(1)
		conn, reader := counter.accept(t)
		readRequest(t, reader)
		writeResponse(conn, 200, "1")
		await(t, results, "reply")
		time.Sleep(2 * minIdleBucket)
		add(2)
		readRequest(t, reader)
		conn.Close()
		if got := await(t, results, "reply"); got.outcome != policy.ConnectionReset {
			t.Fatalf("reply %v", got)
		}
	}
}

// A connection that the counter closed while idle is not reused: a call written to it would be in doubt.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	counter := newPeer(t)
	client := newCounterClient(counter.address(), testTimeout)
	var openConns atomic.Int64
	conn, err := client.dial(context.Background(), &openConns)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	counterSide, _ := counter.accept(t)
	conn.SetDeadline(time.Now().Add(-time.Second)) // of an earlier call
	if !conn.reusable(0) {
		t.Error("a healthy connection is not reusable")
	}
	if conn.reusable(counterIdleTimeout + time.Second) {
		t.Error("reusable after the idle limit")
	}
	counterSide.Close()
	for deadline := time.Now().Add(testTimeout); isQuiet(conn.Conn) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the end of the connection is on its way through the kernel
	}
	if conn.reusable(0) {
		t.Error("reusable after the counter closed it")
	}
}
