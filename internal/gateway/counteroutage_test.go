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

	"amberlb/policy"
)

// counterTestTime is the time that a test may take within one counter window of its customer: several times the
// 1.3 s that the longest of these tests takes.
const counterTestTime = 10 * time.Second

// requestTextCustomer is the customer of the requests that requestText returns.
const requestTextCustomer policy.CustomerID = 0xb4d65521

// awaitCounterWindow waits until the customer's present counter window has at least counterTestTime left. Otherwise the
// window could end during the test: the engine doesn't use the total of a window that has ended, so it makes another
// call, which the test doesn't expect. The wait takes at most counterTestTime, since a counter window is longer than
// counterTestTime.
func awaitCounterWindow(t *testing.T, customer policy.CustomerID) {
	t.Helper()
	text := withCounter(newPeer(t), 0.001, 2, time.Second)(configText("127.0.0.1:1", testSettings))
	config, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	endsTooSoon := func() bool {
		now := newClock().now()
		present := windowTotalName(t, &config, customer, now)
		return windowTotalName(t, &config, customer, now+counterTestTime.Seconds()) != present
	}
	for end := time.Now().Add(counterTestTime + time.Second); endsTooSoon(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("counter windows are shorter than %v", counterTestTime)
		}
	}
}

// windowTotalName returns the counter's name for the total of the customer's window at the given Unix time, in seconds.
func windowTotalName(t *testing.T, config *Config, customer policy.CustomerID, at float64) uint64 {
	t.Helper()
	engine, _ := policy.New(config.Settings, config.Seed, at, nil)
	request := policy.Request{ID: 1, Customer: customer, Units: 2, Gateways: 2, FirstGateway: 1, Deadline: at + 15}
	for _, action := range engine.Handle(at, request, nil) {
		if call, ok := action.(policy.CounterAdd); ok {
			return call.Name
		}
	}
	t.Fatal("a request that needs units made no call to the counter")
	return 0
}

// A counter that doesn't respond must not block customers who are within their quotas. The call to the counter times
// out, and the gateway then admits the request with its local tokens.
func TestSilentCounterBlocksNoRequestWithinQuota(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	g := startTestGatewayWith(t, func(config string) string {
		// With 6 gateways for the customer, a gateway uses no local tokens while the counter responds.
		config = strings.ReplaceAll(config, `"fleetSize": 2`, `"fleetSize": 6`)
		return withCounter(counter, 0.1, 20, time.Second)(config)
	}, backend)
	_, answers := g.sendRequest(t, requestText("GET", "lookup", "", quotaHeader, "units=2,spread=6,first=1"))
	_, reader := counter.accept(t)
	readRequest(t, reader)
	serveOne(t, backend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A call whose response begins but never ends must not count as timed out, since the call's amount was added. The
// gateway asks for the customer's total again at once, and takes the added units back.
func TestUnfinishedCounterResponseIsReconciled(t *testing.T) {
	t.Parallel()
	for range 10 {
		if tryUnfinishedCounterResponse(t) {
			return
		}
	}
	t.Error("the machine was too busy in each round for the counter to respond before the call timed out")
}

// tryUnfinishedCounterResponse runs the test once, with a counter whose first response never ends. It returns false if
// the test ran so slowly that a call may have timed out before the counter sent any byte, which is a different case.
func tryUnfinishedCounterResponse(t *testing.T) bool {
	t.Helper()
	awaitCounterWindow(t, requestTextCustomer)
	const callTimeout = 500 * time.Millisecond // well below counterIOTimeout (1 s), which closes a silent connection
	backend, counter := newPeer(t), newPeer(t)
	// The gateway has too few local tokens for the request, so it must call the counter.
	g := startTestGatewayWith(t, withCounter(counter, 0.001, 2, callTimeout), backend)
	began := time.Now()
	_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
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
	if time.Since(began) >= 2*callTimeout { // the second call, made at callTimeout or later, may have timed out
		return false
	}
	serveOne(t, backend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	return true
}

// A response that arrives after its call has timed out still shows that the amount was added, so the queued request
// that needs the amount is admitted.
func TestLateTotalAdmitsQueuedRequest(t *testing.T) {
	t.Parallel()
	awaitCounterWindow(t, requestTextCustomer)
	const callTimeout = 200 * time.Millisecond
	backend, counter := newPeer(t), newPeer(t)
	// The gateway has too few local tokens for the request, so it must call the counter.
	g := startTestGatewayWith(t, withCounter(counter, 0.001, 2, callTimeout), backend)
	_, answers := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, reader := counter.accept(t)
	first, _ := readRequest(t, reader)
	time.Sleep(callTimeout * 3 / 2) // the response is most likely late; a response in time admits the request too
	writeResponse(conn, http.StatusOK, first.URL.Query().Get("add"))
	serveOne(t, backend, "ok") // only the first call has got a response, which admits the request
	if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// If the response to a call has no valid total but shows that the units were added, a later call returns the units to
// the counter. If it is unknown whether the units were added, the customer loses them only once.
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
			awaitCounterWindow(t, requestTextCustomer)
			const otherGatewayUnits = 2.0 // added by another gateway
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
			secondWindow, second := nextCall()
			if secondWindow != window {
				t.Fatalf("the second call is to %s, want %s", secondWindow, window)
			}
			writeResponse(conn, http.StatusOK, strconv.FormatFloat(first+otherGatewayUnits+second, 'f', -1, 64))
			_, third := nextCall() // subtracts the units that were certainly added but not granted
			if remaining := first + second + third; first != 2 || math.Abs(remaining-c.wantLost) > 0.1 {
				t.Errorf("calls added %g + %g + %g: %g units remain added, want %g", first, second, third, remaining, c.wantLost)
			}
		})
	}
}
