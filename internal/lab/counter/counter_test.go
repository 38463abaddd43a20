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

// caller is one connection to a counter.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func start(t *testing.T, o Options) (*Counter, func() *caller) {
	c := New(o)
	address, err := c.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
	return c, func() *caller {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(time.Minute))
		return &caller{t, nc, bufio.NewReader(nc)}
	}
}

func (c *caller) write(name string, amount float64) {
	fmt.Fprintf(c, "POST /v1/count/%s?add=%v&ttl_ms=60000 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n", name, amount)
}

// read returns the next answer's status and total.
func (c *caller) read() (status int, total float64) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	if status = resp.StatusCode; status == http.StatusOK {
		if total, err = strconv.ParseFloat(string(body), 64); err != nil {
			c.t.Fatal(err)
		}
	}
	return status, total
}

func (c *caller) want(status int, total float64) {
	c.t.Helper()
	if s, n := c.read(); s != status || n != total {
		c.t.Fatalf("got %d, total %v; want %d, %v", s, n, status, total)
	}
}

// eventually waits until so many calls have been read.
func (c *Counter) eventually(t *testing.T, calls uint64) {
	t.Helper()
	for over := time.Now().Add(time.Minute); c.Stats().Calls < calls; time.Sleep(time.Millisecond) {
		if time.Now().After(over) {
			t.Fatalf("%d calls read, want %d", c.Stats().Calls, calls)
		}
	}
}

func TestPipelinedTotalsAreExactAndInOrder(t *testing.T) {
	c, dial := start(t, Options{Shards: 7, ServiceTime: 20 * time.Microsecond, MaxQueued: 10_000})
	k := dial()
	const calls, names = 3000, 10
	go func() {
		for i := range calls {
			k.write(fmt.Sprintf("name%d", i%names), 0.25*float64(i%3-1)+1234567)
		}
	}()
	var totals [names]float64
	for i := range calls {
		totals[i%names] += 0.25*float64(i%3-1) + 1234567
		k.want(200, totals[i%names])
	}
	s := c.Stats()
	if s.Calls != calls || s.Rejected != 0 || s.Names != names || s.PeakNames != names || s.Traffic.Conns != 1 {
		t.Fatalf("%+v", s)
	}
}

func TestBadCallsAddNothing(t *testing.T) {
	_, dial := start(t, Options{})
	k := dial()
	for target, status := range map[string]int{
		"/v1/count/n?add=x&ttl_ms=1": 400, "/v1/count/n?add=NaN&ttl_ms=1": 400, "/v1/count/n?add=1.1e9&ttl_ms=1": 400,
		"/v1/count/n?add=1": 400, "/v1/count/n?add=1&ttl_ms=0": 400, "/v1/count/?add=1&ttl_ms=1": 404, "/v1/n?add=1&ttl_ms=1": 404,
	} {
		fmt.Fprintf(k, "POST %s HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx", target)
		if s, _ := k.read(); s != status {
			t.Errorf("%s: %d, want %d", target, s, status)
		}
	}
	k.write("n", 1)
	k.want(200, 1)
}

func TestNameLivesFromItsFirstCall(t *testing.T) {
	p := New(Options{}).shards[0]
	for _, call := range []struct {
		at    time.Duration
		total float64
	}{{0, 1}, {3999 * time.Millisecond, 2}, {4 * time.Second, 1}, {8*time.Second - 1, 2}, {8 * time.Second, 1}} {
		if total, _, _ := p.add(call.at, []byte("n"), 1, 4*time.Second); total != call.total {
			t.Errorf("at %v: total %v, want %v", call.at, total, call.total)
		}
	}
	if p.evictExpired(12 * time.Second); len(p.names) != 0 || len(p.byExpiry) != 0 {
		t.Error("an ended name is still kept")
	}
}

func TestTurnsAwayAboveWaiting(t *testing.T) {
	p := New(Options{}).shards[0]
	const service, waiting = time.Millisecond, 2
	for _, call := range []struct {
		at, due time.Duration
		ok      bool
	}{{0, service, true}, {0, 2 * service, true}, {0, 3 * service, true}, {0, 0, false}, {service - 1, 0, false},
		{service, 4 * service, true}, {service, 0, false}, {10 * service, 11 * service, true}} {
		if due, ok := p.reserveTurn(call.at, service, waiting); due != call.due || ok != call.ok {
			t.Errorf("at %v: due %v, %v; want %v, %v", call.at, due, ok, call.due, call.ok)
		}
	}

	c, dial := start(t, Options{Shards: 1, ServiceTime: time.Hour})
	first, second := dial(), dial()
	first.write("n", 1)
	c.eventually(t, 1)
	second.write("n", 1)
	second.want(503, 0)
	c.SetFault(Fault{SlowFactor: 1e-9}) // a turn under way goes by the new pace
	first.want(200, 1)
	if s := c.Stats(); s.Calls != 2 || s.Rejected != 1 {
		t.Errorf("%+v", s)
	}
}

func TestFaults(t *testing.T) {
	c, dial := start(t, Options{Shards: 1, MaxQueued: 10})
	k := dial()
	k.write("n", 1)
	k.want(200, 1)
	c.SetFault(Fault{Rejecting: true})
	k.write("n", 1)
	k.want(503, 0)
	c.SetFault(Fault{Blackhole: true})
	k.write("n", 1)
	c.eventually(t, 3)
	c.SetFault(Fault{})
	if b, err := k.r.ReadByte(); err == nil {
		t.Fatalf("a silent counter wrote %q", b)
	}
	k = dial()
	k.write("n", 1)
	k.want(200, 2)
	c.Reset()
	k.write("n", 1)
	k.want(200, 1)
}

func TestCloseDoesNotWaitForTurns(t *testing.T) {
	c, dial := start(t, Options{ServiceTime: time.Hour})
	dial().write("n", 1)
	c.eventually(t, 1)
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
