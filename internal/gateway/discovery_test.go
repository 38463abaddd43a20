package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"amberlb/internal/wire"
	"amberlb/policy"
)

// fakeDiscovery is a discovery service whose responses a test supplies one by one.
type fakeDiscovery struct {
	*httptest.Server
	queries   chan string // receives the query of each poll
	responses chan any    // an EndpointList, a body (string), a status (int), or nil to break the connection
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{queries: make(chan string, 64), responses: make(chan any, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		d.queries <- req.URL.RawQuery
		select {
		case <-req.Context().Done():
		case response := <-d.responses:
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

// sendFirstList accepts a connection to a discovery service, and answers the first call on it with emptyEndpointList.
func sendFirstList(t *testing.T, discovery *peer) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := discovery.acceptRequest(t)
	writeResponse(conn, http.StatusOK, emptyEndpointList)
	return conn, reader
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, w *discoveryWatcher) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// A watch that gets no response must be replaced by a new watch, on a new connection, within the drain grace, even
// several times in a row. Otherwise the gateway would miss drains and send requests to backends that have drained.
func TestSilentWatchIsReplacedWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second} {
		if interval := newPollTimeouts(grace).watchInterval(responsePace{}); interval > grace*9/10 {
			t.Errorf("the next watch begins after %v of a drain grace of %v", interval, grace)
		}
	}
	discovery := newPeer(t)
	runWatcher(t, newDiscoveryWatcher(discovery.address(), 800*time.Millisecond, true, func(EndpointList) {}))
	_, reader := sendFirstList(t, discovery)
	for range 3 { // no watch gets a response
		if req, _ := readRequest(t, reader); req.URL.RawQuery != "since=41&timeout_ms=400" {
			t.Errorf("watch with query %q", req.URL.RawQuery)
		}
		_, reader = discovery.accept(t)
	}
}

// The log tells calls that discovery has not answered in time from calls that it has answered badly.
func TestDiscoveryCallsAreCounted(t *testing.T) {
	t.Parallel()
	discovery := newPeer(t)
	watcher := newDiscoveryWatcher(discovery.address(), 800*time.Millisecond, true, func(EndpointList) {})
	runWatcher(t, watcher)
	_, reader := sendFirstList(t, discovery)
	readRequest(t, reader) // this watch gets no response
	conn, _ := discovery.acceptRequest(t)
	writeResponse(conn, http.StatusInternalServerError, "{}")
	conn, reader = discovery.acceptRequest(t)
	writeResponse(conn, http.StatusOK, emptyEndpointList)
	readRequest(t, reader)
	awaitCondition(t, "the calls were not counted by their ends", func() bool {
		counts := &watcher.metrics.counts
		return counts[discoveryCalls].Load() >= 5 && counts[discoveryUnanswered].Load() == 1 &&
			counts[discoveryFailed].Load() == 1
	})
}

// A new process of discovery at the old address counts generations of its own, and the watcher must not apply its changes to
// the list of the old process: a lower generation, or an address at which nobody listens, makes it ask for the full list.
func TestNewProcessOfDiscoveryIsAskedForFullList(t *testing.T) {
	t.Parallel()
	discovery := newPeer(t)
	address := discovery.address()
	received := make(chan EndpointList, 8)
	runWatcher(t, newDiscoveryWatcher(address, 2*time.Second, true, func(l EndpointList) { received <- l }))
	conn, reader := sendFirstList(t, discovery)
	await(t, received, "list")
	readRequest(t, reader)
	writeResponse(conn, http.StatusOK, `{"generation": 3, "reset": false, "instances": []}`)
	conn, reader = discovery.accept(t)
	if req, _ := readRequest(t, reader); req.URL.RawQuery != "" || len(received) > 0 {
		t.Errorf("after a lower generation: query %q, %d lists applied", req.URL.RawQuery, len(received))
	}
	writeResponse(conn, http.StatusOK, `{"generation": 3, "reset": true, "instances": []}`)
	await(t, received, "list of the new process")
	readRequest(t, reader)
	discovery.listener.Close()
	conn.Close()
	time.Sleep(3 * watchRetryDelay) // a poll is refused
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if req, _ := readRequest(t, bufio.NewReader(conn)); req.URL.RawQuery != "" {
		t.Errorf("after nobody listened: query %q", req.URL.RawQuery)
	}
}

// A backend in use whose entry becomes invalid must get no further requests, since the entry may say that the backend
// is draining.
func TestBackendWithMalformedEntryGetsNoRequests(t *testing.T) {
	backend, other := newPeer(t), newPeer(t)
	g := startTestGateway(t, backend, other)
	await(t, g.discovery.queries, "first list")
	await(t, g.discovery.queries, "watch")
	unknownZone := endpointListOf(false, "Terminating", backend)
	unknownZone.Entries[0].Zone = "nowhere"
	unknownLifecycle := endpointListOf(false, "Leaving", other)
	g.discovery.responses <- EndpointList{Generation: 2, Entries: append(unknownZone.Entries, unknownLifecycle.Entries...)}
	await(t, g.discovery.queries, "next watch")
	_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
	if resp := await(t, answers, "answer"); resp.StatusCode != 429 || len(backend.conns)+len(other.conns) != 0 {
		t.Errorf("status %d, %d and %d connections to the backends", resp.StatusCode, len(backend.conns), len(other.conns))
	}
}

// A failed watch is repeated with the last generation received. After a response without a valid list, the watcher asks
// for the full list.
func TestWatchResumesOrStartsOver(t *testing.T) {
	discovery := newFakeDiscovery(t)
	received := make(chan EndpointList, 64)
	runWatcher(t, newDiscoveryWatcher(discovery.address(), 2*time.Second, true, func(l EndpointList) { received <- l }))
	empty := []EndpointEntry{}
	tooManyEntries := `{"instances": [{}` + strings.Repeat(",{}", maxListEntries) + "]}"

	// Each step has the expected query of a poll and the response to the poll. wantReset is true if onList must get a
	// full list. noList is true if onList must not be called.
	for _, step := range []struct {
		name      string
		wantQuery string
		response  any
		wantReset bool
		noList    bool
	}{
		{"discovery not available yet", "", nil, false, true},
		{"first list", "", EndpointList{Generation: 41, Entries: empty}, true, false},
		{"broken watch", "since=41&timeout_ms=1000", nil, false, true},
		{"watch from the same generation", "since=41&timeout_ms=1000", EndpointList{Generation: 43}, false, false},
		{"list reset", "since=43&timeout_ms=1000", EndpointList{Generation: 2, Reset: true, Entries: empty}, true, false},
		{"rejected generation", "since=2&timeout_ms=1000", 500, false, true},
		{"full list after the rejected generation", "", EndpointList{Generation: 50, Reset: true, Entries: empty}, true, false},
		{"malformed JSON", "since=50&timeout_ms=1000", "{", false, true},
		{"missing list, not to be treated as empty", "", "{}", false, true},
		{"array instead of an object", "", "[]", false, true},
		{"object instead of an array", "", `{"instances": {}}`, false, true},
		{"too many entries", "", tooManyEntries, false, true},
		{"full list after invalid responses", "", EndpointList{Generation: 51, Reset: true, Entries: empty}, true, false},
	} {
		if got := await(t, discovery.queries, "poll"); got != step.wantQuery {
			t.Fatalf("%s: poll with query %q, want %q", step.name, got, step.wantQuery)
		}
		discovery.responses <- step.response
		if step.noList {
			continue
		}
		got := await(t, received, "list")
		if got.Generation != step.response.(EndpointList).Generation || got.Reset != step.wantReset {
			t.Fatalf("%s: received %+v", step.name, got)
		}
	}
}

// A response of a few megabytes must not decode to far more memory, as short entries would. The largest list allowed is
// decoded.
func TestEndpointListIsBounded(t *testing.T) {
	for _, entry := range []string{"{}", "null"} {
		text := func(n int) []byte { return []byte(`{"instances": [` + entry + strings.Repeat(","+entry, n-1) + "]}") }
		if list, err := decodeEndpointList(text(maxListEntries), true); err != nil || len(list.Entries) != maxListEntries {
			t.Errorf("%d entries %s: %d were decoded, %v", maxListEntries, entry, len(list.Entries), err)
		}
		oversized := text(maxListBytes / (len(entry) + 1))
		if _, err := decodeEndpointList(oversized, true); !errors.Is(err, errTooManyEntries) {
			t.Errorf("%d bytes of entries %s: error %v, want errTooManyEntries", len(oversized), entry, err)
		}
	}
	if list, err := decodeEndpointList([]byte(`{"instances": null}`), false); err != nil || list.Entries != nil {
		t.Errorf("no entries: %v, %v", list.Entries, err)
	}
}

func TestEndpointEntryToBackend(t *testing.T) {
	deployment := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	backend, err := EndpointEntry{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.toBackend(deployment)
	want := policy.Backend{ID: backendID("s-1"), Zone: 1, MachineType: 1, Cell: 3, State: policy.Draining, Weight: 1.5,
		StartedAt: 1.5}
	if err != nil || backend != want {
		t.Errorf("%+v, %v; want %+v", backend, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of an instance changed to %#x: gateways of two versions would not agree", backendID("s-5be2a07c"))
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
