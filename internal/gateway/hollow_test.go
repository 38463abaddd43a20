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

// steady serves every attempt after the same time.
type steady time.Duration

func (s steady) Serve(policy.BackendID) (time.Duration, policy.Outcome) {
	return time.Duration(s), policy.Served
}

// runHollow runs a hollow gateway with one backend until the test, or what it returns, ends it.
func runHollow(t *testing.T, settings, counter string, backend SimulatedBackend) (h *Hollow, end func()) {
	discovery := newRegistry(t)
	discovery.answers <- EndpointList{Generation: 1, Reset: true, Entries: []EndpointEntry{{ID: "b1", HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}}}
	c, err := parseConfig([]byte(strings.Replace(configText(discovery.address(), settings), "127.0.0.1:1", counter, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if h, err = NewHollow(&c, backend); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.Run(ctx) })
	end = func() { cancel(); wg.Wait() }
	t.Cleanup(end)
	await(t, h.Ready(), "list")
	return h, end
}

// A hollow gateway serves what its customer's quota pays for, after the time that the backend takes, and refuses
// the rest; the quota is the counter's.
func TestHollowQuota(t *testing.T) {
	const burst, service = 5, 20 * time.Millisecond
	var mu sync.Mutex
	totals, calls := map[string]float64{}, uint64(0)
	counter := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var add float64
		fmt.Sscan(r.URL.Query().Get("add"), &add)
		mu.Lock()
		defer mu.Unlock()
		calls++
		totals[r.URL.Path] += add
		fmt.Fprint(w, totals[r.URL.Path])
	}))
	t.Cleanup(counter.Close)
	settings := strings.NewReplacer(`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": 0.001, "depth": %d}`, burst),
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 5`).Replace(testSettings)
	h, _ := runHollow(t, settings, counter.Listener.Addr().String(), steady(service))
	got, sent := map[int]int{}, atomic.Int64{}
	for n := range 3 * burst {
		began, answered := time.Now(), make(chan int, 2)
		h.Submit(policy.Request{Customer: 7, Units: 1, FirstGateway: 1, Gateways: 1, Deadline: 15}, fmt.Sprint(n),
			func() { sent.Add(1) }, func(status int, _ float64) { answered <- status })
		status := await(t, answered, "answer")
		got[status]++
		if took := time.Since(began); status == http.StatusOK && took < service {
			t.Errorf("served in %v", took)
		}
	}
	if got[200] < 1 || got[200] > burst || got[200]+got[429] != 3*burst {
		t.Errorf("answers by status: %v, with a burst of %d", got, burst)
	}
	if int(sent.Load()) != got[200] {
		t.Errorf("%d told as sent, %d served", sent.Load(), got[200])
	}
	agree := func() bool {
		mu.Lock()
		defer mu.Unlock()
		made, unanswered := h.CounterCalls()
		return made > 0 && made == calls && unanswered == 0
	}
	for until := time.Now().Add(testTimeout); !agree(); time.Sleep(time.Millisecond) { // one may be on its way
		if time.Now().After(until) {
			made, unanswered := h.CounterCalls()
			t.Fatalf("%d calls told of, %d of them unanswered, and the counter had others", made, unanswered)
		}
	}
}

// A gateway that ends answers what is open, and waits for no backend. One that has ended answers too.
func TestHollowEnds(t *testing.T) {
	h, end := runHollow(t, testSettings, "127.0.0.1:1", steady(time.Hour))
	answered, sent := make(chan int, 2), make(chan struct{})
	ask := func(id string, sent func()) {
		h.Submit(policy.Request{Units: 1, Gateways: 1, Deadline: 15}, id, sent, func(status int, _ float64) { answered <- status })
	}
	ask("one", func() { close(sent) })
	await(t, sent, "send")
	end()
	ask("two", func() { t.Error("sent by a gateway that has ended") })
	for range 2 {
		if status := await(t, answered, "answer"); status != http.StatusInternalServerError {
			t.Errorf("answered %d", status)
		}
	}
}

// Nothing is sent to a backend that discovery does not list.
func TestHollowUnlisted(t *testing.T) {
	b := &hollowTransport{loop: &eventLoop{}, backend: steady(0)}
	a, ends := newAttempt(time.Hour), make(chan policy.Outcome, 1)
	a.request.onSent = func() { t.Error("told as sent") }
	b.startAttempt(a, func(r attemptResult) { ends <- r.outcome })
	if got := await(t, ends, "end"); got != policy.ConnectFailed {
		t.Errorf("ended as %v", got)
	}
}
