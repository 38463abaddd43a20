package gateway

import (
	"io"
	"strings"
	"syscall"
	"testing"
)

// A reload moves discovery and the counter to new addresses while a request is open. The request is still answered, the
// gateway polls the new discovery for a full list, and a counter call in flight still gets its response from the old
// counter. An invalid configuration file changes nothing.
func TestReloadMovesDiscoveryAndCounter(t *testing.T) {
	t.Parallel()
	backend, newBackend, counter, newCounter := newPeer(t), newPeer(t), newPeer(t), newPeer(t)
	// The drain grace of 6 s is long enough that no poll of discovery times out in the test.
	g := startTestGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 3}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`,
		`"drainGraceS": 2`, `"drainGraceS": 6`).Replace, backend)
	defer g.stop() // newDiscovery is closed later, and its close waits for the end of the watch
	_, openAnswers := g.sendRequest(t, requestText("GET", "lookup", ""))
	counterConn, counterReader := counter.accept(t)
	call, _ := readRequest(t, counterReader) // the counter responds after the reload

	valid := *g.config.Load()
	invalid := valid[:len(valid)/2]
	g.config.Store(&invalid)
	g.reloadSignal <- syscall.SIGHUP
	newDiscovery := newFakeDiscovery(t)
	next := strings.NewReplacer(g.discovery.address(), newDiscovery.address(),
		counter.address(), newCounter.address()).Replace(valid)
	g.config.Store(&next)
	g.reloadSignal <- syscall.SIGHUP
	if query := await(t, newDiscovery.queries, "call to the new discovery"); query != "" {
		t.Errorf("the new discovery was polled for %q, not for the full list", query)
	}
	// Respond with the exact total: no later call would correct a wrong one. The call is the first in its counter window,
	// so the total is the amount that the call adds.
	writeResponse(counterConn, 200, call.URL.Query().Get("add"))
	serveOne(t, backend, "held")
	if resp := await(t, openAnswers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
	newDiscovery.responses <- endpointListOf(true, "Ready", newBackend)
	if query := await(t, newDiscovery.queries, "watch"); query != "since=1&timeout_ms=2800" {
		t.Errorf("watch %q", query)
	}
	if _, err := counterReader.ReadByte(); err != io.EOF {
		t.Errorf("the old counter's connection: %v", err)
	}
	_, answers := g.sendRequest(t, requestText("GET", "lookup", "", apiKeyHeader, "0000000000000001"))
	counterConn, counterReader = newCounter.accept(t)
	call, _ = readRequest(t, counterReader)
	writeResponse(counterConn, 200, call.URL.Query().Get("add"))
	serveOne(t, newBackend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}
