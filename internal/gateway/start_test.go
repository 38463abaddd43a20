package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxReadyTime is the time within which nine in ten restarted gateways have to be ready.
const maxReadyTime = 10 * time.Second

// emptyEndpointList is a full list from discovery without backends.
const emptyEndpointList = `{"generation": 41, "reset": true, "instances": []}`

// Handlers of a stand-in for the discovery service.

func respondWithList(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, emptyEndpointList) }

func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func respondUnavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondSlowly(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
		respondWithList(w, r)
	}
}

// failFirst returns a handler that calls fail for the first n calls, and respondWithList for later calls.
func failFirst(n int32, fail http.HandlerFunc) http.HandlerFunc {
	var callCount atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if callCount.Add(1) <= n {
			fail(w, r)
		} else {
			respondWithList(w, r)
		}
	}
}

// A starting gateway becomes ready in time even if discovery is overloaded by the start of many gateways. The gateway
// uses its cached list if discovery sends no list in time. Without a cached list, it waits for a list from discovery.
func TestGatewayIsReadyInTime(t *testing.T) {
	t.Parallel()
	const cachedInstances = `"instances": [{"instanceId": "s-1", "hostPort": "127.0.0.1:1", "zone": "a",
		"lifecycle": "Ready", "weight": 1}]`
	for name, c := range map[string]struct {
		discovery http.HandlerFunc
		cached    bool // the gateway has a cached list
	}{
		"silent":                       {neverRespond, true},
		"unavailable":                  {respondUnavailable, true},
		"resetting":                    {resetConnection, true},
		"slow, with a cached list":     {respondSlowly, true},
		"slow":                         {respondSlowly, false},
		"unavailable for the first 20": {failFirst(20, respondUnavailable), false},
		"resetting the first 20":       {failFirst(20, resetConnection), false},
		"silent for the first 2 calls": {failFirst(2, neverRespond), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := httptest.NewServer(c.discovery)
			t.Cleanup(discovery.Close)
			text := configText(discovery.Listener.Addr().String(), testSettings)
			if c.cached {
				text = strings.Replace(text, `"instances": []`, cachedInstances, 1)
			}
			config, err := parseConfig([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.Listen("tcp", config.Listen)
			if err != nil {
				t.Fatal(err)
			}
			g := &testGateway{address: listener.Addr().String()}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan struct{})
			startedAt := time.Now()
			go func() {
				defer close(ended)
				newServer(&config, listener).serve(ctx, Reload{})
			}()
			t.Cleanup(func() {
				stop()
				<-ended
			})
			g.awaitReadiness(t, http.StatusOK)
			if took := time.Since(startedAt); took > maxReadyTime {
				t.Errorf("ready after %v", took)
			}
		})
	}
}
