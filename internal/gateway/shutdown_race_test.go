package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// readinessRequest is the text of a readiness check.
const readinessRequest = "GET " + readyPath + " HTTP/1.1\r\nHost: origin.svc\r\n\r\n"

// A shutdown closes idle connections when the gateway has read a part of a request but not handled that part yet. The
// request must be answered. On a connection that has served a request before, the request is served. A new connection
// is closed later in the shutdown, when requests are no longer admitted, so a request on a new connection is rejected.
func TestShutdownRacesRequestBeingRead(t *testing.T) {
	t.Parallel()
	for name, newConnection := range map[string]bool{"on an idle connection": false, "on a new one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			idleWaitEnded := make(chan struct{})
			_, conn := startRace(t, newConnection, unchangedConfig, backend, func(g *testGateway, c *gatedConn) {
				c.armed.Store(true)
				g.stop()
				<-c.readEnded
				close(idleWaitEnded)
			})
			text := requestText("POST", "payment", "cash")
			io.WriteString(conn, text[:40])
			await(t, idleWaitEnded, "end of the idle wait")
			io.WriteString(conn, text[40:])
			want := http.StatusServiceUnavailable
			if !newConnection {
				want = http.StatusOK
				serveOne(t, backend, "paid")
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != want || !resp.Close {
				t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
		})
	}
}

// A request has arrived when a shutdown begins, but the gateway reads the request only after it has closed the
// listener. On an idle connection and on a new connection, the request must be rejected with an answer.
func TestShutdownRacesUnreadRequest(t *testing.T) {
	t.Parallel()
	for name, idle := range map[string]bool{"on an idle connection": true, "on a new one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var hold atomic.Bool
			release, held := make(chan struct{}), make(chan *gatedConn, 1)
			// Only reads from this client may be held, and not the reads of readiness checks.
			clientAddress := freeAddress(t)
			gated := &gatedListener{beforeRead: func(c *gatedConn) {
				if c.RemoteAddr().String() == clientAddress.String() && hold.CompareAndSwap(true, false) {
					held <- c
					<-release
				}
			}}
			g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
			hold.Store(!idle)
			conn, err := (&net.Dialer{LocalAddr: clientAddress}).Dial("tcp", g.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if idle {
				// The read that watches for a disconnect begins before hold is set. The read that is held is therefore
				// the read of the next request.
				io.WriteString(conn, requestText("GET", "lookup", ""))
				backendConn, reader := backend.accept(t)
				readRequest(t, reader)
				hold.Store(true)
				writeResponse(backendConn, http.StatusOK, "ok")
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
			}
			heldConn := await(t, held, "read")
			io.WriteString(conn, requestText("GET", "glance", ""))
			awaitBytes(t, heldConn.TCPConn)
			g.stop()
			g.awaitListenerClosed(t)
			close(release)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			if err := await(t, g.serveErr, "end of serve"); err != nil {
				t.Errorf("serve returned %v", err)
			}
		})
	}
}

// A shutdown begins when the server is about to wait for the next request on an idle connection. The connection must be
// closed at once, like other idle connections. If it stayed open until the listener is closed, its client could still
// send requests on it.
func TestShutdownRacesWaitForRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	var g *testGateway
	var armed atomic.Bool // the next wait for a request starts the shutdown
	shutdownBegun := make(chan struct{})
	clientAddress := freeAddress(t)
	gated := &gatedListener{beforeReadDeadline: func(c *gatedConn, at time.Time) {
		// Of all read deadlines, the server's deadline for the wait between two requests is the longest.
		isIdleWait := time.Until(at) > idleTimeout/2
		if c.RemoteAddr().String() == clientAddress.String() && isIdleWait && armed.CompareAndSwap(true, false) {
			c.armed.Store(true)
			g.stop()
			select {
			case <-c.readEnded: // the shutdown has closed idle connections
			case <-time.After(lateConnectionPeriod / 4): // the shutdown may wait for table.mu, which is held here
			}
			close(shutdownBegun)
		}
	}}
	g = startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
	armed.Store(true)
	conn, err := (&net.Dialer{LocalAddr: clientAddress}).Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, readinessRequest)
	await(t, shutdownBegun, "shutdown")
	began := time.Now()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > lateConnectionPeriod/2 {
		t.Errorf("closed %.3f s after the shutdown began", took.Seconds())
	}
}

// The gateway is stalled, so connections still wait in the kernel's accept queue when the listener is to be closed. The
// gateway must accept these connections and reject their requests. Closing the listener first would reset them.
func TestShutdownEmptiesAcceptQueue(t *testing.T) {
	t.Parallel()
	gated, hold, held, release := holdAccept()
	g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, newPeer(t))
	hold.Store(true)
	var allAnswers []<-chan *http.Response
	for range 20 {
		_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
		allAnswers = append(allAnswers, answers)
	}
	await(t, held, "connection")
	g.stop()
	time.Sleep(newShutdownSchedule(20*time.Second).listenUntil + 50*time.Millisecond) // until after listenUntil
	close(release)
	for _, answers := range allAnswers {
		if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
		}
	}
	if err := await(t, g.serveErr, "end of serve"); err != nil {
		t.Errorf("serve returned %v", err)
	}
}

// The times of a shutdown count from the signal, even if a reload is in progress when the signal arrives.
func TestShutdownDuringReload(t *testing.T) {
	t.Parallel()
	g := startTestGateway(t, newPeer(t))
	const readTime = 500 * time.Millisecond // time that a reload takes to read the configuration
	g.reloadDelay.Store(int64(readTime))
	g.reloadSignal <- syscall.SIGHUP
	began := time.Now()
	g.stop()
	if err := await(t, g.serveErr, "end of serve"); err != nil {
		t.Errorf("serve returned %v", err)
	}
	maxTime := newShutdownSchedule(time.Second).listenUntil + readTime/2
	if took := time.Since(began); took > maxTime {
		t.Errorf("exited %v after the signal, want %v at most", took, maxTime)
	}
}

// A connection that waits to be accepted when a shutdown begins is still accepted. The request on the connection is
// admitted, or rejected if the request arrives too late.
func TestShutdownRacesAccept(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gated, hold, held, release := holdAccept()
	g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
	hold.Store(true)
	_, answers := g.sendRequest(t, requestText("GET", "glance", "")) // the backend stays silent
	await(t, held, "connection")
	g.stop()
	close(release)
	resp := await(t, answers, "answer")
	rejectedLate := resp.StatusCode == http.StatusServiceUnavailable
	if !rejectedLate && resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	if err := await(t, g.serveErr, "end of serve"); err != nil {
		t.Errorf("serve returned %v", err)
	}
}

// A shutdown answers every open request even if a backend or the counter is silent. The shutdown ends once the answers
// are given, even if attempts or counter calls are still in flight.
func TestShutdownAnswersWhilePeerIsSilent(t *testing.T) {
	t.Parallel()
	for name, silentCounter := range map[string]bool{"a backend": false, "the counter": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			change := unchangedConfig
			silent := backend
			if silentCounter {
				change = withCounter(counter, 0.1, 3, 30*time.Second)
				silent = counter
			}
			g := startTestGatewayWith(t, change, backend)
			_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
			_, reader := silent.accept(t)
			readRequest(t, reader) // the peer sends no response
			g.stop()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("status %d", resp.StatusCode)
			}
			if err := await(t, g.serveErr, "end of serve"); err != nil {
				t.Errorf("serve returned %v", err)
			}
		})
	}
}

// A shutdown loses no accepted request: open requests are answered, and new requests are admitted for a while.
func TestShutdownAnswersOpenAndLateRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, openAnswers := g.sendRequest(t, requestText("POST", "booking", "held"))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	unused, err := net.Dial("tcp", g.address) // an unused connection must not delay the exit
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := g.sendRequest(t, readinessRequest)
	await(t, first, "answer") // the connection is idle now
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	g.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection was not closed after the signal: %v", err)
	}
	g.awaitReadiness(t, http.StatusServiceUnavailable)
	_, late := g.sendRequest(t, requestText("POST", "booking", "late"))
	serveOne(t, backend, "late")
	if resp := await(t, late, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	g.awaitListenerClosed(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := await(t, openAnswers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
	if err := await(t, g.serveErr, "end of serve"); err != nil {
		t.Errorf("serve returned %v", err)
	}
}
