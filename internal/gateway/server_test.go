package gateway

import (
	"io"
	"strings"
	"syscall"
	"testing"
)

// A reload moves discovery and counter under load and loses nothing: what is
// held is answered, the new discovery is asked for its whole list, the counter's
// call that is out is still taken from the old one, and a bad file changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	backend, second, counter, moved := newPeer(t), newPeer(t), newPeer(t), newPeer(t)
	r := startTestGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 3}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`,
		`"drainGraceS": 2`, `"drainGraceS": 6`).Replace, backend) // so long that no call for a list is given up meanwhile
	defer r.stop() // before the new discovery is closed, which would wait for the end of its watch
	_, held := r.sendRequest(t, requestText("GET", "lookup", ""))
	calls, cr := counter.accept(t)
	call, _ := readRequest(t, cr) // not answered yet

	good := *r.config.Load()
	bad := good[:len(good)/2]
	r.config.Store(&bad)
	r.reloadSignal <- syscall.SIGHUP
	other := newRegistry(t)
	next := strings.NewReplacer(r.discovery.address(), other.address(), counter.address(), moved.address()).Replace(good)
	r.config.Store(&next)
	r.reloadSignal <- syscall.SIGHUP
	if query := await(t, other.calls, "call of the new discovery"); query != "" {
		t.Errorf("the new discovery was asked for %q, not for the whole list", query)
	}
	total(calls, 200, call.URL.Query().Get("add")) // the window's first: nothing is left to be put right by a further call
	serveOne(t, backend, "held")
	if resp := await(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was held: status %d", resp.StatusCode)
	}
	other.answers <- listingOf(true, "Ready", second)
	if query := await(t, other.calls, "watch"); query != "since=1&timeout_ms=2800" {
		t.Errorf("watch %q", query)
	}
	if _, err := cr.ReadByte(); err != io.EOF {
		t.Errorf("the old counter's connection: %v", err)
	}
	_, answers := r.sendRequest(t, requestText("GET", "lookup", "", apiKeyHeader, "0000000000000001"))
	calls, cr = moved.accept(t)
	call, _ = readRequest(t, cr)
	total(calls, 200, call.URL.Query().Get("add"))
	serveOne(t, second, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}
