package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	minDescriptors = 128              // lowest limit of open file descriptors that a gateway accepts
	testTimeout    = 20 * time.Second // longest wait for one step of a test; far longer than any step should take
)

// descriptorLimitConfig is the format of the configuration of a gateway that calls the counter for every customer.
// The formatted values are the listen address, the addresses of discovery and the counter, the limit of file
// descriptors and the address of the backend.
const descriptorLimitConfig = `{"name": "n0", "listen": %q, "discovery": %q, "counter": %q, "seed": "1",
	"limits": {"cores": 1, "memory_mb": 64, "sockets": %d},
	"known": {"generation": 0, "reset": true, "instances": [{"instanceId": "s-1", "hostPort": %q, "zone": "a",
		"lifecycle": "Ready", "weight": 1}]},
	"settings": {"fleetSize": 1, "tickS": 0.002, "localities": ["a"],
	"allowed": {"connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 2, "cancel": true},
	"obligations": {"drainGraceS": 1}, "familyInfo": {"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.3},
	"classes": [{"name": "c", "objectiveS": 2, "deadlineS": 2, "points": 1}],
	"packages": [{"name": "p", "pays": 1, "unitsPerS": 0.05, "depth": 100}]}}`

// Idle clients can use up all file descriptors that the gateway grants to clients while discovery is down. The
// descriptors for discovery, for all connections to the counter, for backends and for health checks must still be
// available once discovery is back, without exceeding the process's descriptor limit.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	var discoveryUp atomic.Bool
	counterUnblocked := make(chan struct{})
	unblockCounter := sync.OnceFunc(func() { close(counterUnblocked) })
	var backendAddress string
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !discoveryUp.Load() || r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation": 1, "reset": true, "instances": [{"instanceId": "s-1", "hostPort": %q, "zone": "a",
			"lifecycle": "Ready", "weight": 1}]}`, backendAddress)
	}))
	defer discovery.Close()
	counter := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-counterUnblocked // makes calls hang, so that the gateway opens all its connections to the counter
		io.WriteString(w, r.URL.Query().Get("add"))
	}))
	defer counter.Close()
	defer unblockCounter()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "ok")
	}))
	defer backend.Close()
	backendAddress = backend.Listener.Addr().String()
	listen := freeAddress(t)
	cmd, stderr := gatewayCommand(t, fmt.Sprintf(descriptorLimitConfig, listen, discovery.Listener.Addr(),
		counter.Listener.Addr(), minDescriptors, backendAddress))
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", descriptorLimitKey, minDescriptors))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()

	client := &descriptorClient{listen: listen}
	defer client.closeIdle()
	client.awaitOK(t, "health check with the cached endpoint list", client.healthCheck)
	maxDescriptors := 0
	for range 6 {
		client.openIdle(minDescriptors) // more connections than descriptors, so the gateway closes the oldest
		var requests sync.WaitGroup
		for range 24 { // each request from a different customer, to use all connections to the counter
			requests.Go(func() { client.do(client.request()) })
		}
		answered := make(chan struct{})
		go func() { requests.Wait(); close(answered) }()
		for open := true; open; {
			select {
			case <-answered:
				open = false
			case <-time.After(20 * time.Millisecond):
			}
			maxDescriptors = max(maxDescriptors, openDescriptors(t, cmd.Process.Pid))
		}
	}
	unblockCounter()
	client.openIdle(minDescriptors)
	discoveryUp.Store(true)
	client.awaitOK(t, "health check", client.healthCheck)
	client.awaitOK(t, "request that needs the counter and a backend", client.request)
	if maxDescriptors > minDescriptors {
		t.Errorf("%d file descriptors were open, above the limit", maxDescriptors)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Wait()
	if strings.Contains(stderr.String(), "too many open files") {
		t.Errorf("the gateway logged %q", stderr)
	}
	t.Logf("at most %d file descriptors were open", maxDescriptors)
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// openDescriptors returns the number of open file descriptors of a process.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(files)
}

// descriptorClient sends requests to one gateway, each on a new connection, and can hold idle connections to it.
type descriptorClient struct {
	listen       string
	idle         []net.Conn
	requestCount atomic.Int32
}

// openIdle opens n connections and leaves them idle. It ignores connections that can't be established.
func (c *descriptorClient) openIdle(n int) {
	for range n {
		if conn, err := net.Dial("tcp", c.listen); err == nil {
			c.idle = append(c.idle, conn)
		}
	}
}

func (c *descriptorClient) closeIdle() {
	for _, conn := range c.idle {
		conn.Close()
	}
}

// do sends a request on a new connection and returns the status of the response, or 0 if there is no response.
func (c *descriptorClient) do(text string) (status int) {
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout / 4))
	io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitOK repeats a request until the response has status 200. If no response has status 200 within testTimeout,
// awaitOK fails the test with a message that names the given purpose.
func (c *descriptorClient) awaitOK(t *testing.T, purpose string, request func() string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); c.do(request()) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: no response with status 200", purpose)
		}
	}
}

// healthCheck returns the text of a health check request.
func (c *descriptorClient) healthCheck() string {
	return "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"
}

// request returns the text of a request with a new id and a new customer.
func (c *descriptorClient) request() string {
	n := c.requestCount.Add(1)
	return fmt.Sprintf("GET /c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nX-Service-Class: c\r\nX-Tier: p\r\n"+
		"X-Api-Key: %016x\r\nX-Time-Left-Ms: 2000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", n, n)
}
