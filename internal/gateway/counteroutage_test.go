package gateway

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A silent counter must not block customers inside their quotas: the call times out and the gateway's local
// tokens pay.
func TestSilentCounterBlocksNoRequestWithinQuota(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	g := startTestGatewayWith(t, func(config string) string {
		// So many gateways that local tokens pay for nothing while the counter answers.
		config = strings.ReplaceAll(config, `"fleetSize": 2`, `"fleetSize": 6`)
		return withCounter(counter, 0.1, 20, time.Second)(config)
	}, backend)
	_, responses := g.sendRequest(t, requestText("GET", "lookup", "", quotaHeader, "units=2,spread=6,first=1"))
	_, reader := counter.accept(t)
	readRequest(t, reader)
	serveOne(t, backend, "ok")
	if resp := await(t, responses, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// An answer of the counter that begins and never ends is no time-out: the amount was added, so the
// customer's total is requested again at once and the amount is written off.
func TestUnfinishedCounterAnswerIsReconciled(t *testing.T) {
	t.Parallel()
	for range 10 {
		if tryUnfinishedCounterAnswer(t) {
			return
		}
	}
	t.Error("the machine was too busy, each time, for the counter to answer within the calls' time")
}

// tryUnfinishedCounterAnswer plays a counter whose first answer never ends. It returns false where the test was
// held up so long that a call may have timed out before the counter said anything, which is another case.
func tryUnfinishedCounterAnswer(t *testing.T) bool {
	t.Helper()
	const callTimeout = 500 * time.Millisecond // well under the 1 s after which a connection without progress is closed
	backend, counter := newPeer(t), newPeer(t)
	// The gateway's local tokens are too few to pay again.
	g := startTestGatewayWith(t, withCounter(counter, 0.001, 2, callTimeout), backend)
	began := time.Now()
	_, responses := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, reader := counter.accept(t)
	first, _ := readRequest(t, reader)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	if time.Since(began) >= callTimeout {
		return false
	}
	conn, reader = counter.accept(t)
	second, _ := readRequest(t, reader)
	added := 0.0
	for _, call := range []*http.Request{first, second} {
		n, err := strconv.ParseFloat(call.URL.Query().Get("add"), 64)
		if err != nil {
			t.Fatal(err)
		}
		added += n
	}
	writeResponse(conn, http.StatusOK, strconv.FormatFloat(added, 'f', -1, 64))
	if time.Since(began) >= 2*callTimeout { // the second call began when the first had timed out, or later
		return false
	}
	serveOne(t, backend, "ok")
	if resp := await(t, responses, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	return true
}

// An answer that arrives after its call has timed out tells what was added: the queued request is admitted
// by it.
func TestLateTotalAdmitsQueuedRequest(t *testing.T) {
	t.Parallel()
	const callTimeout = 200 * time.Millisecond
	backend, counter := newPeer(t), newPeer(t)
	// The gateway's local tokens are too few to pay.
	g := startTestGatewayWith(t, withCounter(counter, 0.001, 2, callTimeout), backend)
	_, responses := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, reader := counter.accept(t)
	first, _ := readRequest(t, reader)
	time.Sleep(callTimeout * 3 / 2) // the answer counts whenever it comes; here most likely late
	writeResponse(conn, http.StatusOK, first.URL.Query().Get("add"))
	serveOne(t, backend, "ok") // and no other call is answered
	if resp := await(t, responses, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// The units of a call whose answer holds no total are returned where the answer shows that they were added.
// Where that is in doubt the customer loses them once, and no more.
func TestUnitsWithoutTotalAreReturned(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		failCall func(net.Conn)
		wantLost float64
	}{
		"malformed": {func(c net.Conn) { writeResponse(c, http.StatusOK, "no number") }, 0},
		"cut off":   {func(c net.Conn) { c.Close() }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const otherGatewayUnits = 2.0 // units that another gateway has added
			counter := newPeer(t)
			g := startTestGatewayWith(t, withCounter(counter, 0.001, 3, 30*time.Second), newPeer(t))
			g.sendRequest(t, requestText("GET", "lookup", ""))
			conn, reader := counter.accept(t)
			nextCall := func() (path string, added float64) {
				req, _ := readRequest(t, reader)
				n, err := strconv.ParseFloat(req.URL.Query().Get("add"), 64)
				if err != nil {
					t.Fatal(err)
				}
				return req.URL.Path, n
			}
			window, first := nextCall()
			c.failCall(conn)
			conn, reader = counter.accept(t)
			sameWindow, second := nextCall()
			if sameWindow != window {
				t.Skip("the window has just ended")
			}
			writeResponse(conn, http.StatusOK, strconv.FormatFloat(first+otherGatewayUnits+second, 'f', -1, 64))
			_, third := nextCall() // returns what was requested and not granted
			if remaining := first + second + third; first != 2 || math.Abs(remaining-c.wantLost) > 0.1 {
				t.Errorf("%g + %g + %g: %g remain added, want %g", first, second, third, remaining, c.wantLost)
			}
		})
	}
}
