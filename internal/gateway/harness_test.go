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

	"amberlb/policy"
)

// testGateway is a complete gateway on loopback sockets.
type testGateway struct {
	address      string // for clients
	server       *server
	discovery    *fakeDiscovery
	stop         context.CancelFunc
	serveErr     chan error // receives the result of serve
	reloadSignal chan os.Signal
	config       atomic.Pointer[string] // the configuration text that a reload reads
	reloadDelay  atomic.Int64           // nanoseconds that a reload takes to read the configuration
}

// startTestGateway starts a gateway with the given backends and waits until it is ready.
func startTestGateway(t *testing.T, backends ...*peer) *testGateway {
	t.Helper()
	return startTestGatewayWith(t, unchangedConfig, backends...)
}

// startTestGatewayWith does the same as startTestGateway, with the configuration text that changeConfig returns.
func startTestGatewayWith(t *testing.T, changeConfig func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	return startTestGatewayBehind(t, func(l net.Listener) net.Listener { return l }, changeConfig, backends...)
}

// startTestGatewayBehind does the same as startTestGatewayWith, with the listener for clients that wrapListener
// returns.
func startTestGatewayBehind(t *testing.T, wrapListener func(net.Listener) net.Listener,
	changeConfig func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	g := &testGateway{discovery: newFakeDiscovery(t), serveErr: make(chan error, 1), reloadSignal: make(chan os.Signal)}
	text := changeConfig(configText(g.discovery.address(), testSettings))
	config, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	g.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	g.config.Store(&text)
	g.server = newServer(&config, wrapListener(listener))
	served := make(chan struct{})
	go func() {
		defer close(served)
		g.serveErr <- g.server.serve(ctx, Reload{g.reloadSignal, g.readConfig})
	}()
	t.Cleanup(func() { stop(); <-served })
	if got := g.readinessStatus(t); got != http.StatusServiceUnavailable {
		t.Errorf("readiness status %d before the first list, want 503", got)
	}
	g.discovery.responses <- endpointListOf(true, "Ready", backends...)
	g.awaitReadiness(t, http.StatusOK)
	return g
}

// readConfig returns the configuration for a reload.
func (g *testGateway) readConfig() (Config, error) {
	time.Sleep(time.Duration(g.reloadDelay.Load()))
	return parseConfig([]byte(*g.config.Load()))
}

// readinessStatus returns the status of a readiness check.
func (g *testGateway) readinessStatus(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + g.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// awaitReadiness waits until readiness checks return the given status.
func (g *testGateway) awaitReadiness(t *testing.T, status int) {
	t.Helper()
	awaitCondition(t, fmt.Sprintf("the readiness status did not become %d", status),
		func() bool { return g.readinessStatus(t) == status })
}

// publishBackends makes discovery send a list of ready backends at the given addresses, and waits until the gateway has
// received the list.
func (g *testGateway) publishBackends(t *testing.T, addresses ...string) {
	t.Helper()
	list := EndpointList{Generation: 2, Reset: true}
	for _, address := range addresses {
		list.Entries = append(list.Entries,
			EndpointEntry{ID: address, HostPort: address, Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	await(t, g.discovery.queries, "first list")
	await(t, g.discovery.queries, "watch")
	g.discovery.responses <- list
	await(t, g.discovery.queries, "next watch")
}

// awaitListenerClosed waits until the gateway refuses connections.
func (g *testGateway) awaitListenerClosed(t *testing.T) {
	t.Helper()
	awaitCondition(t, "the listener was not closed", func() bool {
		conn, err := net.Dial("tcp", g.address)
		if err != nil {
			return true
		}
		conn.Close()
		return false
	})
}

// sendRequest sends a request on a new connection. It returns the connection and a channel that receives the answer.
// The channel receives nothing if the answer can't be read.
func (g *testGateway) sendRequest(t *testing.T, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	responses := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			responses <- resp
		}
	}()
	return conn, responses
}

// roundTripOn sends a request on an open connection and reads the answer.
func roundTripOn(t *testing.T, conn net.Conn, text string) (*http.Response, error) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// lastCorrelationID is the number in the correlation id that requestText used last. Each request gets a new id.
var lastCorrelationID atomic.Int64

// requestText returns the text of a client's request. The arguments after body are pairs of a header name and a value;
// the value "" removes the header. The name "path" stands for the path of the request.
func requestText(method, class, body string, change ...string) string {
	path := "/" + class
	headers := map[string]string{
		correlationIDHeader:  fmt.Sprintf("%016x", lastCorrelationID.Add(1)),
		classHeader:          class,
		planHeader:           "basic",
		apiKeyHeader:         "00000000b4d65521",
		timeLeftHeader:       "15000",
		quotaHeader:          "units=2,spread=2,first=1",
		idempotencyKeyHeader: "k1",
	}
	for i := 0; i < len(change); i += 2 {
		name, value := change[i], change[i+1]
		switch {
		case name == "path":
			path = value
		case value == "":
			delete(headers, name)
		default:
			headers[name] = value
		}
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n"
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// endpointListOf returns a discovery response that lists the given backends, all in the same lifecycle state.
func endpointListOf(reset bool, lifecycle string, backends ...*peer) EndpointList {
	list := EndpointList{Generation: 1, Reset: reset, Entries: []EndpointEntry{}}
	for _, backend := range backends {
		list.Entries = append(list.Entries, EndpointEntry{
			ID:          backend.address(),
			HostPort:    backend.address(),
			Zone:        "a",
			MachineType: "m",
			Lifecycle:   lifecycle,
			Weight:      1,
		})
	}
	return list
}

// unchangedConfig returns a configuration text unchanged.
func unchangedConfig(config string) string { return config }

// withCounter returns a function that adds the counter to a configuration text, and a quota to the plan of the test's
// customers. The quota has a rate in units per second and a burst in units. The argument timeout is the time limit of a
// call to the counter. If the burst is small, a customer's first request needs a call to the counter.
func withCounter(counter *peer, rate, burst float64, timeout time.Duration) func(string) string {
	return withCounterAt(counter.address(), rate, burst, timeout)
}

// withCounterAt does the same as withCounter, for a counter at the given address.
func withCounterAt(address string, rate, burst float64, timeout time.Duration) func(string) string {
	return strings.NewReplacer(
		`"127.0.0.1:1"`, `"`+address+`"`,
		`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": %g, "depth": %g}`, rate, burst),
		`"mostUnits": 4`, fmt.Sprintf(`"mostUnits": 4, "hasCounter": true, "counterTimeoutS": %g`, timeout.Seconds()),
	).Replace
}

// newLoopRequest returns a request for an event loop whose methods the test calls itself. The request costs one unit,
// was sent now and has 15 s left. The channel response has capacity for two answers, so that a test can detect a second
// answer.
func newLoopRequest(l *eventLoop, method, uri string, policyRequest policy.Request) *clientRequest {
	policyRequest.Units = 1
	policyRequest.Gateways = 1
	policyRequest.SentAt = l.clock.now()
	policyRequest.Deadline = policyRequest.SentAt + 15
	return &clientRequest{
		correlationID: "one",
		method:        method,
		uri:           uri,
		host:          "h",
		header:        http.Header{},
		response:      make(chan clientResponse, 2),
		policyRequest: policyRequest,
	}
}
