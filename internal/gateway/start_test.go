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

// maxReadyTime is what nine in ten restarted gateways have to keep.
const maxReadyTime = 10 * time.Second

// emptyEndpointList is a full list of discovery without backends.
const emptyEndpointList = `{"generation": 41, "reset": true, "instances": []}`

// How a discovery answers a call.

func answerList(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, emptyEndpointList) }

func answerNothing(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func answerUnavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerSlowly(w http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
		answerList(w, r)
	}
}

// failFirst answers the first calls by fail, and those after them with the list.
func failFirst(calls int32, fail http.HandlerFunc) http.HandlerFunc {
	var n atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) <= calls {
			fail(w, r)
		} else {
			answerList(w, r)
		}
	}
}

// A gateway that starts is ready in time, however discovery bears the start of many: by the cached list where discovery
// gives none, else by discovery's.
func TestGatewayIsReadyInTime(t *testing.T) {
	t.Parallel()
	const cachedInstances = `"instances": [{"instanceId": "s-1", "hostPort": "127.0.0.1:1", "zone": "a",
		"lifecycle": "Ready", "weight": 1}]`
	for name, c := range map[string]struct {
		discovery http.HandlerFunc
		cached    bool // there is a list from before
	}{
		"silent":                       {answerNothing, true},
		"unavailable":                  {answerUnavailable, true},
		"resetting":                    {resetConnection, true},
		"slow, a cached list":          {answerSlowly, true},
		"slow":                         {answerSlowly, false},
		"unavailable for the first 20": {failFirst(20, answerUnavailable), false},
		"resetting the first 20":       {failFirst(20, resetConnection), false},
		"silent for the first 2 calls": {failFirst(2, answerNothing), false},
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
				serve(ctx, &config, listener, Reload{})
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
