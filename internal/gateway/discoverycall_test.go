package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
)

// callDiscovery makes one call for the full list to a discovery service with the given handler.
func callDiscovery(budget *memoryBudget, handler http.HandlerFunc) discoveryResult {
	server := httptest.NewServer(handler)
	defer server.Close()
	source := newDiscoverySource(server.Listener.Addr().String(), 0, 1, new(net.Dialer).DialContext)
	defer source.client.CloseIdleConnections()
	return (&discoveryCall{source: source}).do(context.Background(), budget)
}

// A body takes memory from the budget before it is read, whether or not its length is stated. A body of maxListBytes is
// read, a longer one is an invalid list, and the memory is given back in each case.
func TestListBodiesTakeMemoryFromBudget(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		length       int
		statesLength bool
		budget       int64
		wantErr      error
	}{
		{0, true, listsMemory, nil},
		{maxListBytes, true, maxListBytes, nil},
		{maxListBytes, false, listsMemory, nil},
		{maxListBytes + 1, true, listsMemory, errListTooLong},
		{maxListBytes + 1, false, listsMemory, errListTooLong},
		{maxListBytes, false, maxListBytes, errMemoryExhausted}, // the copy of a body that grows has no place
	} {
		budget := newMemoryBudget(listsKind, c.budget, slog.New(slog.DiscardHandler))
		result := callDiscovery(budget, func(w http.ResponseWriter, _ *http.Request) {
			if c.statesLength {
				w.Header().Set("Content-Length", strconv.Itoa(c.length))
			} else {
				w.(http.Flusher).Flush()
			}
			io.WriteString(w, strings.Repeat("x", c.length))
		})
		if !errors.Is(result.err, c.wantErr) || result.err == nil && len(result.body) != c.length {
			t.Errorf("%+v: %d bytes, %v", c, len(result.body), result.err)
		}
		if held := budget.held.Load(); result.err == nil && held < int64(c.length) || result.err != nil && held != 0 {
			t.Errorf("%+v: %d bytes held", c, held)
		}
		result.memory.release()
		if held := budget.held.Load(); held != 0 {
			t.Errorf("%+v: %d bytes held after the release", c, held)
		}
	}
}

// A body that stops in the middle is given up after bodyStallTimeout, and its memory is given back. Otherwise it could
// keep the memory from the body of the next call until maxCallTime.
func TestStalledListBodyIsGivenUp(t *testing.T) {
	t.Parallel()
	budget := newMemoryBudget(listsKind, listsMemory, slog.Default())
	result := callDiscovery(budget, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "half")
		w.(http.Flusher).Flush()
		<-req.Context().Done()
	})
	if !errors.Is(result.err, errListStalled) || !isGivenUp(result.err) {
		t.Errorf("error %v", result.err)
	}
	if result.elapsed < bodyStallTimeout || budget.held.Load() != 0 {
		t.Errorf("ended after %v, with %d bytes held", result.elapsed, budget.held.Load())
	}
}
