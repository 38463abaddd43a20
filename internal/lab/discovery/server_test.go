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

func instance(id, lifecycle string) gateway.EndpointEntry {
	return gateway.EndpointEntry{ID: id, HostPort: "127.1.0.0:1", Zone: "a", Lifecycle: lifecycle, Weight: 1}
}

func start(t *testing.T, instances ...gateway.EndpointEntry) (*Server, func(query string) gateway.EndpointList) {
	r := New(instances, Options{})
	address, err := r.Start(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	return r, func(query string) (l gateway.EndpointList) {
		resp, err := http.Get("http://" + address + "/registry/instances" + query)
		if err != nil {
			t.Error(err)
			return l
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil || resp.StatusCode != http.StatusOK {
			t.Error(resp.Status, err)
		}
		return l
	}
}

// want checks a list's version, kind and entries, written id:lifecycle.
func want(t *testing.T, l gateway.EndpointList, generation int64, reset bool, entries ...string) {
	t.Helper()
	got := []string{}
	for _, i := range l.Entries {
		got = append(got, i.ID+":"+i.Lifecycle)
	}
	if l.Generation != generation || l.Reset != reset || l.Entries == nil || fmt.Sprint(got) != fmt.Sprint(entries) {
		t.Errorf("version %d, reset %v, %v; want %d, %v, %v", l.Generation, l.Reset, got, generation, reset, entries)
	}
}

func TestWatchWakesOnChange(t *testing.T) {
	r, get := start(t, instance("x", "Ready"), instance("y", "Ready"))
	want(t, get(""), 1, true, "x:Ready", "y:Ready")
	heard := make(chan gateway.EndpointList)
	go func() { heard <- get("?since=1&timeout_ms=60000") }()
	for r.Stats().Calls < 2 {
		time.Sleep(time.Millisecond)
	}
	changed := time.Now()
	if g := r.ApplyDelta([]gateway.EndpointEntry{instance("y", "Terminating")}); g != 2 {
		t.Errorf("version %d", g)
	}
	want(t, <-heard, 2, false, "y:Terminating")
	if d := time.Since(changed); d > 30*time.Second {
		t.Errorf("the watch heard after %v, which is its time-out and no wake", d)
	}
	want(t, get("?since=2&timeout_ms=1"), 2, false)
	s := r.Stats()
	if s.Calls != 3 || s.FullLists != 1 || s.DeltaLists != 2 || s.Entries != 3 || s.Traffic.BytesOut == 0 {
		t.Errorf("%+v", s)
	}
}

func TestOldVersionGetsTheWholeList(t *testing.T) {
	r, get := start(t, instance("x", "Ready"), instance("y", "Ready"))
	for i := range maxChanges {
		r.ApplyDelta([]gateway.EndpointEntry{instance("y", []string{"Terminating", "Ready"}[i%2])})
	}
	const last = maxChanges + 2
	r.ApplyDelta([]gateway.EndpointEntry{instance("x", "Gone"), instance("z", "Ready")})
	want(t, get("?since=2"), last, false, "y:Ready", "x:Gone", "z:Ready")
	want(t, get("?since=3"), last, false, "y:Ready", "x:Gone", "z:Ready") // y was Terminating first
	want(t, get("?since=1"), last, true, "y:Ready", "z:Ready")
	want(t, get(fmt.Sprintf("?since=%d&timeout_ms=60000", last+1)), last, true, "y:Ready", "z:Ready")
}

func TestWholeListsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newRateLimiter(10)
		go p.run(ctx)
		turns := make(chan bool, 200)
		for i := range cap(turns) {
			caller := ctx
			if i%2 == 0 { // these leave, and cost those behind them nothing
				c, leave := context.WithTimeout(ctx, 10*time.Millisecond)
				defer leave()
				caller = c
			}
			go func() { turns <- p.wait(caller) }()
		}
		time.Sleep(5050 * time.Millisecond)
		served := 0
		for range len(turns) {
			if <-turns {
				served++
			}
		}
		if served != 51 { // the first at once, then 10 a second
			t.Errorf("%d whole lists in 5 s, want 51", served)
		}
		cancel()
	})
}
