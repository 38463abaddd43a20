package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amberlb/policy"
)

// constantLatency is a SimulatedBackend that serves every attempt after the same time.
type constantLatency time.Duration

func (l constantLatency) Serve(policy.BackendID) (time.Duration, policy.Outcome) {
	return time.Duration(l), policy.Served
}

// runHollow runs a hollow gateway with one backend until the caller calls stop or the test ends.
func runHollow(t *testing.T, settings, counter string, backend SimulatedBackend) (h *Hollow, stop func()) {
	t.Helper()
	discovery := newFakeDiscovery(t)
	discovery.responses <- EndpointList{Generation: 1, Reset: true, Entries: []EndpointEntry{
		{ID: "b1", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}}}
	c, err := parseConfig([]byte(strings.Replace(configText(discovery.address(), settings), "127.0.0.1:1", counter, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if h, err = NewHollow(&c, backend); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Run(ctx)
	}()
	stop = func() { cancel(); await(t, ended, "end of Run") }
	t.Cleanup(stop)
	await(t, h.Ready(), "list")
	return h, stop
}

// summingCounter is a counter service that keeps a total for each key.
type summingCounter struct {
	mu     sync.Mutex
	totals map[string]float64
	calls  uint64
}

func (c *summingCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var add float64
	fmt.Sscan(r.URL.Query().Get("add"), &add)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.totals[r.URL.Path] += add
	fmt.Fprint(w, c.totals[r.URL.Path])
}

// callCount returns how many calls have been served.
func (c *summingCounter) callCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// A hollow gateway serves the requests within the customer's quota, after the backend's latency, and rejects the other
// requests. The counter keeps the quota.
func TestHollowServesWithinQuota(t *testing.T) {
	const (
		burst   = 5
		latency = 20 * time.Millisecond
	)
	calls := &summingCounter{totals: map[string]float64{}}
	counter := httptest.NewServer(calls)
	t.Cleanup(counter.Close)
	settings := strings.NewReplacer(`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": 0.001, "depth": %d}`, burst),
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 5`).Replace(testSettings)
	h, _ := runHollow(t, settings, counter.Listener.Addr().String(), constantLatency(latency))
	statusCounts := map[int]int{}
	var sent atomic.Int64
	for n := range 3 * burst {
		submittedAt := time.Now()
		answered := make(chan int, 2)
		h.Submit(policy.Request{Customer: 7, Units: 1, FirstGateway: 1, Gateways: 1, Deadline: 15}, fmt.Sprint(n),
			func() { sent.Add(1) }, func(status int, _ float64) { answered <- status })
		status := await(t, answered, "answer")
		statusCounts[status]++
		if elapsed := time.Since(submittedAt); status == http.StatusOK && elapsed < latency {
			t.Errorf("served after %v, in less than the backend's latency", elapsed)
		}
	}
	if statusCounts[200] < 1 || statusCounts[200] > burst || statusCounts[200]+statusCounts[429] != 3*burst {
		t.Errorf("requests by status: %v, with a burst of %d", statusCounts, burst)
	}
	if int(sent.Load()) != statusCounts[200] {
		t.Errorf("%d requests reported as sent, %d served", sent.Load(), statusCounts[200])
	}
	countsAgree := func() bool {
		made, unanswered := h.CounterCalls()
		return made > 0 && made == calls.callCount() && unanswered == 0
	}
	for deadline := time.Now().Add(testTimeout); !countsAgree(); time.Sleep(time.Millisecond) { // a call may be in flight
		if time.Now().After(deadline) {
			made, unanswered := h.CounterCalls()
			t.Fatalf("%d calls reported, %d of them unanswered; the counter's own count differs", made, unanswered)
		}
	}
}

// When a hollow gateway stops, it answers its open requests without waiting for backends. After that, it still answers
// new requests.
func TestStoppedHollowAnswersRequests(t *testing.T) {
	h, stop := runHollow(t, testSettings, "127.0.0.1:1", constantLatency(time.Hour))
	answered := make(chan int, 2)
	sent := make(chan struct{})
	submit := func(id string, onSent func()) {
		onAnswered := func(status int, _ float64) { answered <- status }
		h.Submit(policy.Request{Units: 1, Gateways: 1, Deadline: 15}, id, onSent, onAnswered)
	}
	submit("one", func() { close(sent) })
	await(t, sent, "send")
	stop()
	submit("two", func() { t.Error("request sent by a stopped gateway") })
	for range 2 {
		if status := await(t, answered, "answer"); status != http.StatusInternalServerError {
			t.Errorf("answered with status %d", status)
		}
	}
}

// A call to the counter that has no response when a hollow gateway stops must be counted as unanswered.
func TestStoppedHollowCountsOpenCounterCall(t *testing.T) {
	awaitCounterWindow(t, 7)
	counter := newPeer(t)
	// The call must not time out before the gateway stops.
	settings := withCounter(counter, 0.001, 2, 3*testTimeout)(testSettings)
	h, stop := runHollow(t, settings, counter.address(), constantLatency(0))
	h.Submit(policy.Request{Customer: 7, Units: 2, FirstGateway: 1, Gateways: 2, Deadline: 15}, "one",
		func() {}, func(int, float64) {})
	counter.acceptRequest(t)
	stop()
	if made, unanswered := h.CounterCalls(); made != 1 || unanswered != 1 {
		t.Errorf("%d calls made, %d of them unanswered, want 1 of 1", made, unanswered)
	}
}

// An attempt at a backend that discovery does not list must fail without being sent.
func TestHollowSendsNothingToUnlistedBackend(t *testing.T) {
	transport := &hollowTransport{loop: &eventLoop{}, backend: constantLatency(0)}
	a := newAttempt(time.Hour)
	outcomes := make(chan policy.Outcome, 1)
	a.request.onSent = func() { t.Error("the attempt was reported as sent") }
	transport.startAttempt(a, func(r attemptResult) { outcomes <- r.outcome })
	if got := await(t, outcomes, "outcome"); got != policy.ConnectFailed {
		t.Errorf("outcome %v", got)
	}
}
