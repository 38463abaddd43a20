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
	leastFiles = 128 // the least that a gateway may be given
	patience   = 20 * time.Second
)

// Idle clients may take all the places that there are while discovery is down: what
// needs a descriptor when it returns still gets one under the system's limit,
// be it discovery, the counter with all its connections, backends or a probe.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	var back atomic.Bool
	quick := make(chan struct{})
	letGo := sync.OnceFunc(func() { close(quick) })
	var address string
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !back.Load() || r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"generation": 1, "reset": true, "instances": [{"instanceId": "s-1", "hostPort": %q, "zone": "a",
			"lifecycle": "Ready", "weight": 1}]}`, address)
	}))
	defer discovery.Close()
	counter := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-quick // streams leave connections that stand still for new ones
		io.WriteString(w, r.URL.Query().Get("add"))
	}))
	defer counter.Close()
	defer letGo()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
	defer backend.Close()
	address = backend.Listener.Addr().String()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	cmd, stderr := command(t, `{"name": "n0", "listen": "`+listen+`", "discovery": "`+discovery.Listener.Addr().String()+`",
		"counter": "`+counter.Listener.Addr().String()+`", "seed": "1",
		"limits": {"cores": 1, "memory_mb": 64, "sockets": `+fmt.Sprint(leastFiles)+`},
		"known": {"generation": 0, "reset": true, "instances": [{"instanceId": "s-1", "hostPort": "`+address+`", "zone": "a",
			"lifecycle": "Ready", "weight": 1}]},
		"settings": {"fleetSize": 1, "tickS": 0.002, "localities": ["a"],
		"allowed": {"connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 2, "cancel": true},
		"obligations": {"drainGraceS": 1}, "familyInfo": {"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.3},
		"classes": [{"name": "c", "objectiveS": 2, "deadlineS": 2, "points": 1}],
		"packages": [{"name": "p", "pays": 1, "unitsPerS": 0.05, "depth": 100}]}}`)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", filesKey, leastFiles))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()

	var idle []net.Conn
	fill := func() { // more than there are places; the oldest give way
		for range leastFiles {
			if c, err := net.Dial("tcp", listen); err == nil {
				idle = append(idle, c)
			}
		}
	}
	defer func() {
		for _, c := range idle {
			c.Close()
		}
	}()
	var asked atomic.Int32
	ask := func(text string) int { // on a new connection, which may be shut unread
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return 0
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience / 4))
		io.WriteString(c, text)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	until := func(what string, text func() string) {
		t.Helper()
		for end := time.Now().Add(patience); ask(text()) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: never answered", what)
			}
		}
	}
	probe := func() string { return "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n" }
	request := func() string {
		n := asked.Add(1)
		return fmt.Sprintf("GET /c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %d\r\nX-Service-Class: c\r\nX-Tier: p\r\n"+
			"X-Api-Key: %016x\r\nX-Time-Left-Ms: 2000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", n, n)
	}
	until("readiness by the list that is known", probe)
	most := 0
	for range 6 {
		fill()
		var wg sync.WaitGroup
		for range 24 { // of as many customers, on all streams of the counter
			wg.Go(func() { ask(request()) })
		}
		answered := make(chan struct{})
		go func() { wg.Wait(); close(answered) }()
		for open := true; open; {
			select {
			case <-answered:
				open = false
			case <-time.After(20 * time.Millisecond):
			}
			files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
			if err != nil {
				t.Fatal(err)
			}
			most = max(most, len(files))
		}
	}
	letGo()
	fill()
	back.Store(true)
	until("readiness", probe)
	until("a request through counter and backend", request)
	if most > leastFiles {
		t.Errorf("%d descriptors", most)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Wait()
	if strings.Contains(stderr.String(), "too many open files") {
		t.Errorf("the gateway said %q", stderr)
	}
	t.Logf("%d descriptors at most", most)
}
