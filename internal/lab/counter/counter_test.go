package counter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// testClient is a client with one connection to a counter.
type testClient struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// start starts a counter that is closed at the end of the test. The returned function dial opens a
// connection to the counter.
func start(t *testing.T, options Options) (c *Counter, dial func() *testClient) {
	t.Helper()
	c = New(options)
	address, err := c.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c, func() *testClient {
		t.Helper()
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(time.Minute))
		return &testClient{t, conn, bufio.NewReader(conn)}
	}
}

// write sends a call.
func (c *testClient) write(name string, amount float64) {
	fmt.Fprintf(c, "POST /v1/count/%s?add=%v&ttl_ms=60000 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n", name, amount)
}

// read returns the status and total of the next response.
func (c *testClient) read() (status int, total float64) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if response.StatusCode == http.StatusOK {
		total, err = strconv.ParseFloat(string(body), 64)
		if err != nil {
			c.t.Fatal(err)
		}
	}
	return response.StatusCode, total
}

// want checks the status and total of the next response.
func (c *testClient) want(status int, total float64) {
	c.t.Helper()
	gotStatus, gotTotal := c.read()
	if gotStatus != status || gotTotal != total {
		c.t.Fatalf("got status %d, total %v; want %d, %v", gotStatus, gotTotal, status, total)
	}
}

// awaitCalls waits until the counter has read the given number of calls.
func (c *Counter) awaitCalls(t *testing.T, calls uint64) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); c.Stats().Calls < calls; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls read, want %d", c.Stats().Calls, calls)
		}
	}
}

// Responses to pipelined calls arrive in the order of the calls, with exact totals.
func TestPipelinedTotalsAreExactAndInOrder(t *testing.T) {
	c, dial := start(t, Options{Shards: 7, ServiceTime: 20 * time.Microsecond, MaxQueued: 10_000})
	client := dial()
	const calls, names = 3000, 10
	go func() {
		for i := range calls {
			client.write(fmt.Sprintf("name%d", i%names), 0.25*float64(i%3-1)+1234567)
		}
	}()
	var totals [names]float64
	for i := range calls {
		totals[i%names] += 0.25*float64(i%3-1) + 1234567
		client.want(200, totals[i%names])
	}
	stats := c.Stats()
	if stats.Calls != calls || stats.Rejected != 0 || stats.Names != names || stats.PeakNames != names ||
		stats.Traffic.Conns != 1 {
		t.Fatalf("%+v", stats)
	}
}

// The response to an invalid call has status 400 or 404. The call adds nothing, and its connection remains usable.
func TestInvalidCallsAddNothing(t *testing.T) {
	_, dial := start(t, Options{})
	client := dial()
	for target, status := range map[string]int{
		"/v1/count/n?add=x&ttl_ms=1":     400,
		"/v1/count/n?add=NaN&ttl_ms=1":   400,
		"/v1/count/n?add=1.1e9&ttl_ms=1": 400,
		"/v1/count/n?add=1":              400,
		"/v1/count/n?add=1&ttl_ms=0":     400,
		"/v1/count/?add=1&ttl_ms=1":      404,
		"/v1/n?add=1&ttl_ms=1":           404,
	} {
		fmt.Fprintf(client, "POST %s HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx", target)
		if got, _ := client.read(); got != status {
			t.Errorf("%s: status %d, want %d", target, got, status)
		}
	}
	client.write("n", 1)
	client.want(200, 1)
}

// The lifetime of a name counts from its first call; later calls do not extend it.
func TestLifetimeCountsFromTheFirstCall(t *testing.T) {
	s := New(Options{}).shards[0]
	for _, c := range []struct {
		at    time.Duration
		total float64
	}{
		{0, 1},
		{3999 * time.Millisecond, 2},
		{4 * time.Second, 1},
		{8*time.Second - 1, 2},
		{8 * time.Second, 1},
	} {
		if total, _, _ := s.add(c.at, []byte("n"), 1, 4*time.Second); total != c.total {
			t.Errorf("at %v: total %v, want %v", c.at, total, c.total)
		}
	}
	s.evictExpired(12 * time.Second)
	if len(s.names) != 0 || len(s.byExpiry) != 0 {
		t.Error("an expired name was not removed")
	}
}

// A shard rejects calls while MaxQueued calls are waiting at it.
func TestCallsAboveMaxQueuedAreRejected(t *testing.T) {
	s := New(Options{}).shards[0]
	const serviceTime, maxQueued = time.Millisecond, 2
	for _, c := range []struct {
		at  time.Duration
		due time.Duration
		ok  bool
	}{
		{0, serviceTime, true},
		{0, 2 * serviceTime, true},
		{0, 3 * serviceTime, true},
		{0, 0, false},
		{serviceTime - 1, 0, false},
		{serviceTime, 4 * serviceTime, true},
		{serviceTime, 0, false},
		{10 * serviceTime, 11 * serviceTime, true},
	} {
		if due, ok := s.schedule(c.at, serviceTime, maxQueued); due != c.due || ok != c.ok {
			t.Errorf("at %v: due %v, ok %v; want %v, %v", c.at, due, ok, c.due, c.ok)
		}
	}

	c, dial := start(t, Options{Shards: 1, ServiceTime: time.Hour})
	first, second := dial(), dial()
	first.write("n", 1)
	c.awaitCalls(t, 1)
	second.write("n", 1)
	second.want(503, 0)
	c.SetFault(Fault{SlowFactor: 1e-9}) // also shortens the service time of the first call, which is already in service
	first.want(200, 1)
	if stats := c.Stats(); stats.Calls != 2 || stats.Rejected != 1 {
		t.Errorf("%+v", stats)
	}
}

// Calls are rejected during the fault Rejecting, get no response during a blackhole, and are served again afterwards.
func TestFaults(t *testing.T) {
	c, dial := start(t, Options{Shards: 1, MaxQueued: 10})
	client := dial()
	client.write("n", 1)
	client.want(200, 1)
	c.SetFault(Fault{Rejecting: true})
	client.write("n", 1)
	client.want(503, 0)
	c.SetFault(Fault{Blackhole: true})
	client.write("n", 1)
	c.awaitCalls(t, 3)
	c.SetFault(Fault{})
	if b, err := client.reader.ReadByte(); err == nil {
		t.Fatalf("a counter in a blackhole wrote %q", b)
	}
	client = dial()
	client.write("n", 1)
	client.want(200, 2)
	c.Reset()
	client.write("n", 1)
	client.want(200, 1)
}

// Close returns at once, even if a call is in service for another hour.
func TestCloseDoesNotWaitForQueuedCalls(t *testing.T) {
	c, dial := start(t, Options{ServiceTime: time.Hour})
	dial().write("n", 1)
	c.awaitCalls(t, 1)
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
