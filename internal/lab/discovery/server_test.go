package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"amberlb/internal/gateway"
)

// instance returns an entry for the list.
func instance(id, lifecycle string) gateway.EndpointEntry {
	return gateway.EndpointEntry{ID: id, HostPort: "127.1.0.0:1", Zone: "a", Lifecycle: lifecycle, Weight: 1}
}

// start starts a server that is closed at the end of the test. The returned function get requests the
// list with a query and returns the list.
func start(
	t *testing.T, instances ...gateway.EndpointEntry,
) (server *Server, get func(query string) gateway.EndpointList) {
	t.Helper()
	server = New(instances, Options{})
	address, err := server.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, func(query string) (list gateway.EndpointList) {
		response, err := http.Get("http://" + address + "/registry/instances" + query)
		if err != nil {
			t.Error(err)
			return list
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil || response.StatusCode != http.StatusOK {
			t.Error(response.Status, err)
		}
		return list
	}
}

// want checks a list's generation, whether it is a full list (reset) or a delta, and its entries, which are given as
// id:lifecycle.
func want(t *testing.T, list gateway.EndpointList, generation int64, reset bool, entries ...string) {
	t.Helper()
	got := []string{}
	for _, entry := range list.Entries {
		got = append(got, entry.ID+":"+entry.Lifecycle)
	}
	if list.Generation != generation || list.Reset != reset || list.Entries == nil ||
		fmt.Sprint(got) != fmt.Sprint(entries) {
		t.Errorf("generation %d, reset %v, %v; want %d, %v, %v",
			list.Generation, list.Reset, got, generation, reset, entries)
	}
}

// The response to a watch is the delta as soon as the list changes, or an empty delta after the timeout.
func TestWatchIsNotifiedOfAChange(t *testing.T) {
	server, get := start(t, instance("x", "Ready"), instance("y", "Ready"))
	want(t, get(""), 1, true, "x:Ready", "y:Ready")
	notified := make(chan gateway.EndpointList)
	go func() { notified <- get("?since=1&timeout_ms=60000") }()
	for server.Stats().Calls < 2 {
		time.Sleep(time.Millisecond)
	}
	changed := time.Now()
	if g := server.ApplyDelta([]gateway.EndpointEntry{instance("y", "Terminating")}); g != 2 {
		t.Errorf("generation %d", g)
	}
	want(t, <-notified, 2, false, "y:Terminating")
	if d := time.Since(changed); d > 30*time.Second {
		t.Errorf("the watch was answered after %v: at its timeout, not at the change", d)
	}
	want(t, get("?since=2&timeout_ms=1"), 2, false)
	stats := server.Stats()
	if stats.Calls != 3 || stats.FullLists != 1 || stats.DeltaLists != 2 || stats.Entries != 3 ||
		stats.Traffic.BytesOut == 0 {
		t.Errorf("%+v", stats)
	}
}

// A client gets a delta while all changes after its generation are still kept, else the full list. A delta has only
// the newest entry of each backend.
func TestOldGenerationGetsTheFullList(t *testing.T) {
	server, get := start(t, instance("x", "Ready"), instance("y", "Ready"))
	for i := range maxChanges {
		server.ApplyDelta([]gateway.EndpointEntry{instance("y", []string{"Terminating", "Ready"}[i%2])})
	}
	const last = maxChanges + 2
	server.ApplyDelta([]gateway.EndpointEntry{instance("x", "Gone"), instance("z", "Ready")})
	want(t, get("?since=2"), last, false, "y:Ready", "x:Gone", "z:Ready")
	want(t, get("?since=3"), last, false, "y:Ready", "x:Gone", "z:Ready") // a delta has only the newest entry of y
	want(t, get("?since=1"), last, true, "y:Ready", "z:Ready")
	want(t, get(fmt.Sprintf("?since=%d&timeout_ms=60000", last+1)), last, true, "y:Ready", "z:Ready")
}

// Permits are granted at the limiter's rate, and calls that leave the queue use none.
func TestFullListsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		limiter := newRateLimiter(10)
		go limiter.run(ctx)
		granted := make(chan bool, 200)
		for i := range cap(granted) {
			callerCtx := ctx
			if i%2 == 0 { // calls with even numbers leave the queue
				timeoutCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
				defer cancel()
				callerCtx = timeoutCtx
			}
			go func() { granted <- limiter.wait(callerCtx) == nil }()
		}
		time.Sleep(5050 * time.Millisecond)
		served := 0
		for range len(granted) {
			if <-granted {
				served++
			}
		}
		if served != 51 { // the first permit at once, then 10 per second
			t.Errorf("%d full lists in 5 s, want 51", served)
		}
		cancel()
	})
}
