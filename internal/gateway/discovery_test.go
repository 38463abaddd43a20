package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// registry is a discovery whose answers a test gives one by one.
type registry struct {
	*httptest.Server
	calls   chan string // the query of each call
	answers chan any    // a Listing, or a status
}

func newRegistry(t *testing.T) *registry {
	r := &registry{calls: make(chan string, 64), answers: make(chan any, 64)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.calls <- q.URL.RawQuery
		select {
		case <-q.Context().Done():
		case a := <-r.answers:
			switch a := a.(type) {
			case EndpointList:
				json.NewEncoder(w).Encode(a)
			case string:
				w.Write([]byte(a))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(a)
			}
		}
	}))
	t.Cleanup(r.Server.Close)
	return r
}

func (r *registry) address() string { return r.Listener.Addr().String() }

// watchFor runs a watch until the test ends.
func watchFor(t *testing.T, w *discoveryWatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// Whatever a watch misses, it is asked for anew, on a new connection, while sends
// to a backend that drains may still go on; also when the next one is as silent.
func TestSilentWatch(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		w := newDiscoveryWatcher("", grace, true, nil)
		if lasts := w.watchTimeout + w.responseTime + watchRetryDelay; lasts > grace*9/10 {
			t.Errorf("a call lasts %v of a grace of %v", lasts, grace)
		}
	}
	far := newPeer(t)
	watchFor(t, newDiscoveryWatcher(far.address(), 800*time.Millisecond, true, func(EndpointList) {}))
	conn, r := far.accept(t)
	readRequest(t, r)
	total(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	for range 3 { // none is answered
		if req, _ := readRequest(t, r); req.URL.RawQuery != "since=41&timeout_ms=400" {
			t.Errorf("watch %q", req.URL.RawQuery)
		}
		_, r = far.accept(t)
	}
}

// A backend in use of which something can't be read gets nothing more.
func TestUnreadableInstanceIsLeftAlone(t *testing.T) {
	backend, other := newPeer(t), newPeer(t)
	r := startTestGateway(t, backend, other)
	await(t, r.discovery.calls, "first list")
	await(t, r.discovery.calls, "watch")
	spoilt := listingOf(false, "Terminating", backend)
	spoilt.Entries[0].Zone = "nowhere"
	odd := listingOf(false, "Leaving", other)
	r.discovery.answers <- EndpointList{Generation: 2, Entries: append(spoilt.Entries, odd.Entries...)}
	await(t, r.discovery.calls, "next watch")
	_, answers := r.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns)+len(other.conns) != 0 {
		t.Errorf("status %d, connections %d and %d", resp.StatusCode, len(backend.conns), len(other.conns))
	}
}

func TestWatch(t *testing.T) {
	r := newRegistry(t)
	heard := make(chan EndpointList, 64)
	watchFor(t, newDiscoveryWatcher(r.address(), 2*time.Second, true, func(l EndpointList) { heard <- l }))
	none := []EndpointEntry{}

	// Each step: the call that is expected, its answer, and what is handed on.
	for i, step := range []struct {
		query  string
		answer any
		reset  bool
		none   bool
	}{
		{"", nil, false, true}, // discovery is not there yet
		{"", EndpointList{Generation: 41, Entries: none}, true, false},
		{"since=41&timeout_ms=1000", nil, false, true}, // a broken watch goes on from the same version
		{"since=41&timeout_ms=1000", EndpointList{Generation: 43}, false, false},
		{"since=43&timeout_ms=1000", EndpointList{Generation: 2, Reset: true, Entries: none}, true, false},
		{"since=2&timeout_ms=1000", 500, false, true}, // a version that is turned down is given up
		{"", EndpointList{Generation: 50, Reset: true, Entries: none}, true, false},
		{"since=50&timeout_ms=1000", "{", false, true},
		{"", "{}", false, true}, // no list at all must not pass for an empty one
		{"", "[]", false, true},
		{"", EndpointList{Generation: 51, Reset: true, Entries: none}, true, false},
	} {
		if got := await(t, r.calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.answers <- step.answer
		if step.none {
			continue
		}
		if got := await(t, heard, "list"); got.Generation != step.answer.(EndpointList).Generation || got.Reset != step.reset {
			t.Fatalf("step %d: heard %+v", i, got)
		}
	}
}

func TestInstances(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := EndpointEntry{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.toBackend(d)
	want := policy.Backend{ID: backendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: policy.Draining, Weight: 1.5, StartedAt: 1.5}
	if err != nil || b != want {
		t.Errorf("%+v, %v; want %+v", b, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of two versions would not agree", backendID("s-5be2a07c"))
	}
	for _, bad := range []EndpointEntry{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		if _, err := bad.toBackend(d); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
