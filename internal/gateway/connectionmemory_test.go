package gateway

import (
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// Connections of clients and of backends take no more memory than limits.go allows for them, in the worst shape that
// needs no reservation, in each phase of a request.
func TestConnectionMemoryCoversWorstShape(t *testing.T) {
	const connections = 200
	usual := requestText("POST", "payment", "", idempotencyKeyHeader, "")
	fields := shortFields(unreservedHeadFields - strings.Count(usual, "\r\n"))
	unique := func(bodyBytes int) string {
		request := withFields(requestText("POST", "payment", strings.Repeat("x", bodyBytes)), fields)
		return request
	}
	bodyBytes := unreservedRequestBytes - len(unique(0)) - 100
	for name, c := range map[string]struct {
		text func() string
		open bool // the requests are complete and wait for the backend
	}{
		"silent":          {func() string { return "" }, false},
		"incomplete head": {func() string { return strings.TrimSuffix(unique(0), "\r\n") }, false},
		"long line":       {func() string { return "GET /" + strings.Repeat("x", unreservedHeadBytes-6) }, false},
		"incomplete body": {func() string { text := unique(bodyBytes); return text[:len(text)-1] }, false},
		"open request":    {func() string { return unique(bodyBytes) }, true},
		"bytes behind":    {func() string { return unique(bodyBytes) + strings.Repeat("x", unreservedUnreadBytes-1) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newSilentBackend(t)
			g := startTestGateway(t)
			g.publishBackends(t, backend.Addr().String())
			before := inUseBytes()
			for range connections {
				dial(t, g.address, c.text())
			}
			awaitCondition(t, "the requests were not read", func() bool {
				phases := g.server.clientConnections.countByPhase()
				return phases[phaseIdle]+phases[phaseReading]+phases[phaseOpen] == connections &&
					(c.text() == "" || phases[phaseIdle] == 0) &&
					(!c.open || g.server.frontend.loop.openRequests.Load() == connections)
			})
			time.Sleep(50 * time.Millisecond)
			used := (inUseBytes() - before) / connections
			allowed := int64(clientConnBytes)
			if c.open {
				allowed += backendConnBytes
			}
			t.Logf("%d bytes for each connection, %d are allowed for", used, allowed)
			if used > allowed {
				t.Errorf("%d bytes for each connection, %d are allowed for", used, allowed)
			}
		})
	}
}

// newSilentBackend returns a listener whose connections are accepted and never read.
func newSilentBackend(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return listener
}

// inUseBytes returns the bytes of live objects and of stacks after a garbage collection.
func inUseBytes() int64 {
	runtime.GC()
	runtime.GC() // the first collection shrinks stacks
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
