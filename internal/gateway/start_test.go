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

// readyWithin is what nine in ten restarted gateways have to keep.
const readyWithin = 10 * time.Second

// A gateway that starts is ready in time, however discovery takes the start of many:
// by the list that it knows where discovery gives none, else by discovery's.
func TestReadyInTime(t *testing.T) {
	t.Parallel()
	const list = `{"generation": 41, "reset": true, "instances": []}`
	give := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, list) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	reset := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	slow := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2 * time.Second):
			io.WriteString(w, list)
		}
	}
	paced := func(fail http.HandlerFunc, calls int32) http.HandlerFunc {
		var n atomic.Int32
		return func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) <= calls {
				fail(w, r)
			} else {
				give(w, r)
			}
		}
	}
	known := `"instances": [{"instanceId": "s-1", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "Ready", "weight": 1}]`
	for name, c := range map[string]struct {
		discovery http.HandlerFunc
		known     bool
	}{
		"silent":                     {silent, true},
		"refusing":                   {refuse, true},
		"resetting":                  {reset, true},
		"slow, a list known":         {slow, true},
		"slow":                       {slow, false},
		"paced by refusals":          {paced(refuse, 20), false},
		"paced by resets":            {paced(reset, 20), false},
		"silent for the first calls": {paced(silent, 2), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := httptest.NewServer(c.discovery)
			t.Cleanup(discovery.Close)
			text := configText(discovery.Listener.Addr().String(), testSettings)
			if c.known {
				text = strings.Replace(text, `"instances": []`, known, 1)
			}
			config, err := parseConfig([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", config.Listen)
			if err != nil {
				t.Fatal(err)
			}
			r := &testGateway{address: l.Addr().String()}
			ctx, stop := context.WithCancel(context.Background())
			done := make(chan struct{})
			start := time.Now()
			go func() { defer close(done); serve(ctx, &config, l, Reload{}) }()
			t.Cleanup(func() { stop(); <-done })
			r.awaitReadiness(t, http.StatusOK)
			if took := time.Since(start); took > readyWithin {
				t.Errorf("ready after %v", took)
			}
		})
	}
}
