package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// slowCounter is a counter whose responses take a fixed time. It keeps the totals as the protocol describes.
type slowCounter struct {
	responseTime time.Duration

	mu     sync.Mutex
	totals map[string]float64
}

// startSlowCounter starts a slowCounter and returns its address.
func startSlowCounter(t *testing.T, responseTime time.Duration) (address string) {
	t.Helper()
	server := httptest.NewServer(&slowCounter{responseTime: responseTime, totals: map[string]float64{}})
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// ServeHTTP implements http.Handler.
func (c *slowCounter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	amount, _ := strconv.ParseFloat(req.URL.Query().Get("add"), 64)
	c.mu.Lock()
	c.totals[req.URL.Path] += amount
	total := c.totals[req.URL.Path]
	c.mu.Unlock()
	time.Sleep(c.responseTime)
	fmt.Fprint(w, total)
}

// A counter whose responses take longer than counterIOTimeout must still be heard. Before, each connection was closed
// with its response on the way, and the next one as well. Each call added units that no gateway could use, so that the
// customer's quota ran out, and its first request was rejected after 10 s.
func TestSlowCounterIsHeard(t *testing.T) {
	t.Parallel()
	for _, responseTime := range []time.Duration{counterIOTimeout * 13 / 10, counterIOTimeout * 5 / 2} {
		t.Run(responseTime.String(), func(t *testing.T) {
			t.Parallel()
			awaitCounterWindow(t, requestTextCustomer)
			backend := newPeer(t)
			address := startSlowCounter(t, responseTime)
			// The gateway has too few local tokens for the request, so it must call the counter.
			g := startTestGatewayWith(t, withCounterAt(address, 0.001, 2, 200*time.Millisecond), backend)
			_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
			go serveOne(t, backend, "ok")
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
}

// While a counter is silent on as many connections as a stream may have, the stream goes on opening new ones, since the
// old ones may be dead. It keeps the oldest one, whose response may only be slow.
func TestSilentCounterConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	counter := newPeer(t)
	_, add, results := startCounterClient(t, counter.address())
	var conns []net.Conn
	startedAt := time.Now()
	for len(conns) < maxConnsPerStream+2 {
		add(1).abandoned.Store(true)
		select {
		case conn := <-counter.conns:
			conns = append(conns, conn)
		case <-results: // a call that was abandoned before it was written, or that has lost its connection
		case <-time.After(counterIOTimeout / 10):
		}
		if time.Since(startedAt) > testTimeout {
			t.Fatalf("%d connections within %v", len(conns), testTimeout)
		}
	}
	if isOpen(conns[1]) || isOpen(conns[2]) {
		t.Error("the second oldest connections are still open")
	}
	if !isOpen(conns[0]) || !isOpen(conns[len(conns)-1]) {
		t.Error("the oldest or the newest connection was closed")
	}
}

// isOpen reports whether a connection still brings what the other side has sent, and is not closed by it.
func isOpen(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(counterIOTimeout / 2))
	_, err := io.Copy(io.Discard, conn)
	return errors.Is(err, os.ErrDeadlineExceeded)
}
