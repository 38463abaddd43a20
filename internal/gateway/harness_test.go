package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testGateway is a whole gateway between loopback sockets.
type testGateway struct {
	address      string
	discovery    *registry
	stop         context.CancelFunc
	serveErr     chan error
	reloadSignal chan os.Signal
	config       atomic.Pointer[string] // what a reload reads
	reloadDelay  atomic.Int64           // nanoseconds that a reload takes to read it
}

// startTestGateway starts a gateway that knows the given backends and waits until it is
// ready.
func startTestGateway(t *testing.T, backends ...*peer) *testGateway {
	t.Helper()
	return startTestGatewayWith(t, func(text string) string { return text }, backends...)
}

// startTestGatewayWith does so with another configuration.
func startTestGatewayWith(t *testing.T, changeConfig func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	return startTestGatewayBehind(t, func(l net.Listener) net.Listener { return l }, changeConfig, backends...)
}

// startTestGatewayBehind does so with another way to its clients.
func startTestGatewayBehind(t *testing.T, wrapListener func(net.Listener) net.Listener, changeConfig func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	r := &testGateway{discovery: newRegistry(t), serveErr: make(chan error, 1), reloadSignal: make(chan os.Signal)}
	config := changeConfig(configText(r.discovery.address(), testSettings))
	c, err := parseConfig([]byte(config))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.config.Store(&config)
	reload := Reload{r.reloadSignal, func() (Config, error) {
		time.Sleep(time.Duration(r.reloadDelay.Load()))
		return parseConfig([]byte(*r.config.Load()))
	}}
	done := make(chan struct{})
	go func() { defer close(done); r.serveErr <- serve(ctx, &c, wrapListener(l), reload) }()
	t.Cleanup(func() { stop(); <-done })
	if got := r.readinessStatus(t); got != http.StatusServiceUnavailable {
		t.Errorf("ready before the list is had: %d", got)
	}
	r.discovery.answers <- listingOf(true, "Ready", backends...)
	r.awaitReadiness(t, http.StatusOK)
	return r
}

func listingOf(reset bool, lifecycle string, backends ...*peer) EndpointList {
	l := EndpointList{Generation: 1, Reset: reset, Entries: []EndpointEntry{}}
	for _, b := range backends {
		l.Entries = append(l.Entries, EndpointEntry{ID: b.address(), HostPort: b.address(), Zone: "a", MachineType: "m",
			Lifecycle: lifecycle, Weight: 1})
	}
	return l
}

func (r *testGateway) readinessStatus(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + r.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *testGateway) awaitReadiness(t *testing.T, status int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); r.readinessStatus(t) != status; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("readiness never became %d", status)
		}
	}
}

// publishBackends tells the gateway of backends at these addresses, and waits until it has
// heard.
func (r *testGateway) publishBackends(t *testing.T, addresses ...string) {
	t.Helper()
	told := EndpointList{Generation: 2, Reset: true}
	for _, address := range addresses {
		told.Entries = append(told.Entries, EndpointEntry{ID: address, HostPort: address, Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	await(t, r.discovery.calls, "first list")
	await(t, r.discovery.calls, "watch")
	r.discovery.answers <- told
	await(t, r.discovery.calls, "next watch")
}

// awaitListenerClosed waits until clients are taken no longer.
func (r *testGateway) awaitListenerClosed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			return
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("the listener never closed")
		}
	}
}

var lastCorrelationID atomic.Int64 // requests have ids of their own

func requestText(method, class, body string, change ...string) string {
	headers := map[string]string{correlationIDHeader: fmt.Sprintf("%016x", lastCorrelationID.Add(1)), classHeader: class, planHeader: "basic",
		apiKeyHeader: "00000000b4d65521", timeLeftHeader: "15000", quotaHeader: "units=2,spread=2,first=1", idempotencyKeyHeader: "k1"}
	path := "/" + class
	for i := 0; i < len(change); i += 2 {
		if change[i] == "path" {
			path = change[i+1]
		} else if headers[change[i]] = change[i+1]; change[i+1] == "" {
			delete(headers, change[i])
		}
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n"
	for k, v := range headers {
		text += k + ": " + v + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// sendRequest sends one request and returns the channel of its answer.
func (r *testGateway) sendRequest(t *testing.T, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answers := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			answers <- resp
		}
	}()
	return conn, answers
}

func serveOne(t *testing.T, backend *peer, body string) {
	t.Helper()
	conn, r := backend.accept(t)
	readRequest(t, r)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// testTimeout bounds every wait of a test; none is expected to last so long.
const testTimeout = 20 * time.Second

// peer is the other side of connections: it hands each one on, and closes what
// is left at the end of the test.
type peer struct {
	listener net.Listener
	conns    chan net.Conn
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l, conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			p.conns <- c
		}
	}()
	return p
}

func (p *peer) address() string { return p.listener.Addr().String() }

func (p *peer) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := await(t, p.conns, "a connection")
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func await[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

func readRequest(t *testing.T, r *bufio.Reader) (*http.Request, []byte) {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return req, body
}

func unchangedConfig(config string) string { return config }

// withCounter gives the test's customers a quota kept on a counter, which is
// given so long to answer. With a small depth their first request has to call it.
func withCounter(counter *peer, rate, depth float64, timeout time.Duration) func(string) string {
	return strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": %g, "depth": %g}`, rate, depth),
		`"mostUnits": 4`, fmt.Sprintf(`"mostUnits": 4, "hasCounter": true, "counterTimeoutS": %g`, timeout.Seconds())).Replace
}

// roundTripOn sends one more request on a connection.
func roundTripOn(t *testing.T, conn net.Conn, text string) (*http.Response, error) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
