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

// fakeDiscovery is a discovery whose answers a test gives one by one.
type fakeDiscovery struct {
	*httptest.Server
	calls   chan string // the query of each poll
	answers chan any    // an EndpointList, a body, a status, or nil to break the connection
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{calls: make(chan string, 64), answers: make(chan any, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.calls <- req.URL.RawQuery
		select {
		case <-req.Context().Done():
		case response := <-d.answers:
			switch response := response.(type) {
			case EndpointList:
				json.NewEncoder(w).Encode(response)
			case string:
				w.Write([]byte(response))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(response)
			}
		}
	}))
	t.Cleanup(d.Server.Close)
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, w *discoveryWatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// What a silent watch misses is polled for again, on a new connection, within the drain grace, also when
// the next watch is as silent.
func TestSilentWatchIsReplacedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		if total := newPollTimeouts(grace).watchTimeout() + watchRetryDelay; total > grace*9/10 {
			t.Errorf("a watch lasts %v of a grace of %v", total, grace)
		}
	}
	discovery := newPeer(t)
	runWatcher(t, newDiscoveryWatcher(discovery.address(), 800*time.Millisecond, true, func(EndpointList) {}))
	conn, reader := discovery.accept(t)
	readRequest(t, reader)
	writeResponse(conn, http.StatusOK, `{"generation": 41, "reset": true, "instances": []}`)
	for range 3 { // none is answered
		if req, _ := readRequest(t, reader); req.URL.RawQuery != "since=41&timeout_ms=400" {
			t.Errorf("watch %q", req.URL.RawQuery)
		}
		_, reader = discovery.accept(t)
	}
}

// A backend in use whose entry can't be decoded gets no further request: what can't be read may be that it
// drains.
func TestBackendWithMalformedEntryGetsNoRequests(t *testing.T) {
	backend, other := newPeer(t), newPeer(t)
	g := startTestGateway(t, backend, other)
	await(t, g.discovery.calls, "first list")
	await(t, g.discovery.calls, "watch")
	unknownZone := endpointListOf(false, "Terminating", backend)
	unknownZone.Entries[0].Zone = "nowhere"
	unknownLifecycle := endpointListOf(false, "Leaving", other)
	g.discovery.answers <- EndpointList{Generation: 2, Entries: append(unknownZone.Entries, unknownLifecycle.Entries...)}
	await(t, g.discovery.calls, "next watch")
	_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns)+len(other.conns) != 0 {
		t.Errorf("status %d, connections %d and %d", resp.StatusCode, len(backend.conns), len(other.conns))
	}
}

// A watch resumes from its last version. After an answer that is no usable list the watcher starts over
// from the full list.
func TestWatchResumesOrStartsOver(t *testing.T) {
	discovery := newFakeDiscovery(t)
	received := make(chan EndpointList, 64)
	runWatcher(t, newDiscoveryWatcher(discovery.address(), 2*time.Second, true, func(l EndpointList) { received <- l }))
	empty := []EndpointEntry{}

	// Each step: the poll that is expected, its answer, and whether a list is handed on, and as a full one.
	for _, step := range []struct {
		name      string
		wantQuery string
		response  any
		wantReset bool
		noList    bool
	}{
		{"discovery is not there yet", "", nil, false, true},
		{"the first list", "", EndpointList{Generation: 41, Entries: empty}, true, false},
		{"a broken watch", "since=41&timeout_ms=1000", nil, false, true},
		{"the same version again", "since=41&timeout_ms=1000", EndpointList{Generation: 43}, false, false},
		{"a reset", "since=43&timeout_ms=1000", EndpointList{Generation: 2, Reset: true, Entries: empty}, true, false},
		{"a rejected version", "since=2&timeout_ms=1000", 500, false, true},
		{"the full list after it", "", EndpointList{Generation: 50, Reset: true, Entries: empty}, true, false},
		{"malformed JSON", "since=50&timeout_ms=1000", "{", false, true},
		{"no list at all must not pass for an empty one", "", "{}", false, true},
		{"an array", "", "[]", false, true},
		{"the full list after these", "", EndpointList{Generation: 51, Reset: true, Entries: empty}, true, false},
	} {
		if got := await(t, discovery.calls, "poll"); got != step.wantQuery {
			t.Fatalf("%s: poll %q, want %q", step.name, got, step.wantQuery)
		}
		discovery.answers <- step.response
		if step.noList {
			continue
		}
		got := await(t, received, "list")
		if got.Generation != step.response.(EndpointList).Generation || got.Reset != step.wantReset {
			t.Fatalf("%s: received %+v", step.name, got)
		}
	}
}

func TestEndpointEntryToBackend(t *testing.T) {
	deployment := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	backend, err := EndpointEntry{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.toBackend(deployment)
	want := policy.Backend{ID: backendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: policy.Draining, Weight: 1.5,
		StartedAt: 1.5}
	if err != nil || backend != want {
		t.Errorf("%+v, %v; want %+v", backend, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of two versions would not agree", backendID("s-5be2a07c"))
	}
	for name, entry := range map[string]EndpointEntry{
		"no id":             {ID: "", Zone: "a", Lifecycle: "Ready"},
		"unknown lifecycle": {ID: "s-1", Zone: "a", Lifecycle: "ready"},
		"unknown zone":      {ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		"negative start":    {ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := entry.toBackend(deployment); err == nil {
				t.Errorf("%+v was accepted", entry)
			}
		})
	}
}
