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

// callResult is the reported result of a call with the given amount.
type callResult struct {
	amount  float64
	outcome policy.Outcome
	total   float64
}

// startCounterClient runs a client for the counter at the given address until the test ends. add queues a call; its
// result is sent to results.
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
			t.Fatal("the queue of calls is full")
		}
		return call
	}
	return c, add, results
}

// writeResponse writes a response with a Content-Length.
func writeResponse(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Calls are pipelined in order. The late response to an abandoned call must not be mistaken for the response to the
// next call. A call whose response is cut off ends as ConnectionReset, since its amount may have been added.
func TestCounterCallsArePipelined(t *testing.T) {
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	abandoned := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, reader := counter.accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := readRequest(t, reader) // calls are pipelined, so all arrive before the first response
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The loop abandons the first call. The call must keep its place in the pipeline, or each later call would get the
	// total of the previous call.
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
		if got := await(t, results, "result"); got != want {
			t.Errorf("result %v, want %v", got, want)
		}
	}
	// The amount of a call whose response is cut off may have been added.
	add(5)
	readRequest(t, reader)
	conn.Close()
	if got := await(t, results, "result"); got.outcome != policy.ConnectionReset {
		t.Errorf("result after the connection was closed: %v", got)
	}
	// The next call is sent on a new connection.
	add(6)
	_, reader = counter.accept(t)
	readRequest(t, reader)
}

// A call with a malformed response ends as Failed, and its amount counts as added. A call with an unexpected status
// in the response ends as ConnectionReset. In both cases the connection is closed, and the next call in the pipeline
// ends as ConnectionReset.
func TestMalformedCounterResponseClosesConnection(t *testing.T) {
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
		readRequest(t, reader) // the second call is pipelined behind the first
		fmt.Fprint(conn, c.response, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8")
		if got := await(t, results, "result"); got != (callResult{1, c.outcome, 0}) {
			t.Errorf("%.60q: result %v", c.response, got)
		}
		if got := await(t, results, "result"); got != (callResult{2, policy.ConnectionReset, 0}) {
			t.Errorf("%.60q: result of the call behind it %v", c.response, got)
		}
	}
	add(3)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n12") // the body ends only with the connection
	conn.Close()
	if got := await(t, results, "result"); got.outcome != policy.Failed {
		t.Errorf("response without a length: result %v", got)
	}
}

// If the settings give calls a timeout above counterIOTimeout, a response may take as long as the call's timeout.
func TestCounterResponseMayTakeCallTimeout(t *testing.T) {
	t.Parallel()
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	add(1)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	time.Sleep(counterIOTimeout + 200*time.Millisecond) // above counterIOTimeout, and far below the call's timeout
	writeResponse(conn, 200, "5")
	if got := await(t, results, "result"); got != (callResult{1, policy.Served, 5}) {
		t.Errorf("result %v", got)
	}
}

// A response that never ends blocks only the calls that are already behind it on its connection: the next call is sent
// on a new connection.
func TestBlockedCounterConnectionIsReplaced(t *testing.T) {
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	blocked := add(1)
	conn, reader := counter.accept(t)
	readRequest(t, reader)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	for deadline := time.Now().Add(testTimeout); !blocked.responseStarted.Load() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // until the beginning of the response has arrived
	}
	blocked.abandoned.Store(true)
	add(2)
	conn, reader = counter.accept(t)
	readRequest(t, reader)
	writeResponse(conn, 200, "3")
	for got := await(t, results, "result"); got != (callResult{2, policy.Served, 3}); got = await(t, results, "result") {
		if got.amount != 1 { // the blocked call ends at the timeout of its connection
			t.Fatalf("result on the new connection: %v", got)
		}
	}
}

// A counter that is slow on every connection must not get an unlimited number of connections: at the limit, a stream
// keeps its last connection even if that connection is blocked.
func TestCounterConnectionsAreLimited(t *testing.T) {
	counter := newPeer(t)
	client := newCounterClient(counter.address(), testTimeout)
	var openConns atomic.Int64
	openConns.Store(maxConnsPerStream - 1) // earlier connections, all blocked
	conn, err := client.dial(context.Background(), &openConns)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	blockingCall := &counterCall{}
	blockingCall.abandoned.Store(true)
	conn.headCall.Store(blockingCall)
	if conn.headOfLineBlocked() {
		t.Error("a blocked connection is replaced at the limit")
	}
	openConns.Add(-1)
	if !conn.headOfLineBlocked() {
		t.Error("a blocked connection is not replaced below the limit")
	}
	openConns.Add(1)
	conn.Close()
	client.readers.Wait()
	if n := openConns.Load(); n != maxConnsPerStream-1 {
		t.Errorf("%d connections are counted as open after one was closed", n)
	}
}

// A call to an unreachable counter is not written, so it must end as ConnectFailed: nothing was added.
func TestUnreachableCounterAddsNothing(t *testing.T) {
	counter := newPeer(t)
	counter.listener.Close()
	_, add, results := startCounterClient(t, counter.address())
	add(1)
	if got := await(t, results, "result"); got.outcome != policy.ConnectFailed {
		t.Errorf("result %v", got)
	}
}

// A call that is abandoned while it is queued must not be written.
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
		t.Errorf("unexpected call written: %s", req.RequestURI)
	}
	if got := await(t, reported, "report"); got != policy.TimedOut {
		t.Errorf("outcome %d", got)
	}
}

// A middlebox on the path to the counter may drop connections that have been idle for some time. A call after an idle
// time above the estimated limit must be sent on a new connection. On a dropped connection, it would be unknown whether
// the call's amount was added.
func TestIdleConnectionIsReplacedAboveEstimatedLimit(t *testing.T) {
	counter := newPeer(t)
	client, add, results := startCounterClient(t, counter.address())
	for range 2 * int(minBreaks) {
		client.idleEstimator.observe(time.Now(), 2*minBucketIdleTime, true)
	}
	for range 2 {
		add(1)
		conn, reader := counter.accept(t)
		readRequest(t, reader)
		writeResponse(conn, 200, "1")
		await(t, results, "result")
		time.Sleep(10 * minBucketIdleTime) // above the estimated limit
	}
}

// The idle limit is estimated from calls that end with a reset on connections that had been idle.
func TestIdleLimitIsLearnedFromResets(t *testing.T) {
	counter := newPeer(t)
	client, add, results := startCounterClient(t, counter.address())
	for round := 0; client.idleEstimator.limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("no idle limit was estimated")
		}
		add(1)
		conn, reader := counter.accept(t)
		readRequest(t, reader)
		writeResponse(conn, 200, "1")
		await(t, results, "result")
		time.Sleep(2 * minBucketIdleTime)
		add(2)
		readRequest(t, reader)
		conn.Close()
		if got := await(t, results, "result"); got.outcome != policy.ConnectionReset {
			t.Fatalf("result %v", got)
		}
	}
}

// An idle connection that the counter has closed must not be reused. If a call were written to the connection, it would
// be unknown whether the call's amount was added.
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
	conn.SetDeadline(time.Now().Add(-time.Second)) // a deadline that has passed, as after an earlier call
	if !conn.reusable(0) {
		t.Error("an open connection is not reusable")
	}
	if conn.reusable(counterIdleTimeout + time.Second) {
		t.Error("reusable after the idle timeout")
	}
	counterSide.Close()
	for deadline := time.Now().Add(testTimeout); isOpenWithoutInput(conn.Conn) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the kernel may take a moment to deliver the close
	}
	if conn.reusable(0) {
		t.Error("reusable after the counter closed it")
	}
}
