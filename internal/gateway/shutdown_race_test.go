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

// readinessRequest is a readiness check, as a client sends it.
const readinessRequest = "GET " + readyPath + " HTTP/1.1\r\nHost: origin.svc\r\n\r\n"

// A request that the gateway has begun to read, but not yet begun on, when a shutdown closes idle connections is
// answered: served on a connection that was idle, and rejected on a new one, which is closed later.
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
			await(t, idleWaitEnded, "crossing")
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

// A request that has arrived when a shutdown begins, but that the gateway reads only after it has closed the listener, is
// answered, if only by a rejection, on an idle connection and on a new one.
func TestShutdownRacesUnreadRequest(t *testing.T) {
	t.Parallel()
	for name, idle := range map[string]bool{"on an idle connection": true, "on a new one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var gateClosed atomic.Bool
			gate, waiting := make(chan struct{}), make(chan *gatedConn, 1)
			// Connections of readiness checks wait for requests as well, and must not be held at the gate.
			clientAddress := freeAddress(t)
			gated := &gatedListener{beforeRead: func(c *gatedConn) {
				if c.RemoteAddr().String() == clientAddress.String() && gateClosed.CompareAndSwap(true, false) {
					waiting <- c
					<-gate
				}
			}}
			g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
			gateClosed.Store(!idle)
			conn, err := (&net.Dialer{LocalAddr: clientAddress}).Dial("tcp", g.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if idle {
				// The watch for a client that disconnects is one read, the wait for the next request the other.
				io.WriteString(conn, requestText("GET", "lookup", ""))
				backendConn, reader := backend.accept(t)
				readRequest(t, reader)
				gateClosed.Store(true)
				writeResponse(backendConn, http.StatusOK, "ok")
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
			}
			held := await(t, waiting, "read")
			io.WriteString(conn, requestText("GET", "glance", ""))
			awaitBytes(t, held.TCPConn)
			g.stop()
			g.awaitListenerClosed(t)
			close(gate)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			if err := await(t, g.serveErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// An idle connection whose server is about to wait for the next request as a shutdown begins is closed with the other
// idle ones: at once, and not when the listener is closed. Its client would go on using it meanwhile.
func TestShutdownRacesWaitForRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	var g *testGateway
	var armed atomic.Bool // the next wait for a request begins the shutdown
	shutdownBegun := make(chan struct{})
	clientAddress := freeAddress(t)
	gated := &gatedListener{beforeReadDeadline: func(c *gatedConn, at time.Time) {
		// The server sets the longest deadline for the wait between two requests.
		isIdleWait := time.Until(at) > idleTimeout/2
		if c.RemoteAddr().String() == clientAddress.String() && isIdleWait && armed.CompareAndSwap(true, false) {
			c.armed.Store(true)
			g.stop()
			select {
			case <-c.readEnded: // the shutdown has closed idle connections
			case <-time.After(lateConnectionPeriod / 4): // or waits for this one
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
		t.Errorf("closed %.3f s after the other idle ones", took.Seconds())
	}
}

// Connections that still wait in the kernel's queue when the listener is to close, since the gateway was held up, are
// accepted, and their requests rejected. A close of the listener would reset them.
func TestShutdownEmptiesAcceptQueue(t *testing.T) {
	t.Parallel()
	gated, gateClosed, waiting, gate := holdAccept()
	g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, newPeer(t))
	gateClosed.Store(true)
	var allAnswers []<-chan *http.Response
	for range 20 {
		_, answers := g.sendRequest(t, requestText("GET", "glance", ""))
		allAnswers = append(allAnswers, answers)
	}
	await(t, waiting, "connection")
	g.stop()
	time.Sleep(newShutdownSchedule(20*time.Second).listenUntil + 50*time.Millisecond) // the moment that is to be crossed
	close(gate)
	for _, answers := range allAnswers {
		if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
		}
	}
	if err := await(t, g.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// The times of a shutdown count from the signal, also where a reload is under way then.
func TestShutdownDuringReload(t *testing.T) {
	t.Parallel()
	g := startTestGateway(t, newPeer(t))
	const readTime = 500 * time.Millisecond // of the configuration
	g.reloadDelay.Store(int64(readTime))
	g.reloadSignal <- syscall.SIGHUP
	began := time.Now()
	g.stop()
	if err := await(t, g.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	maxTime := newShutdownSchedule(time.Second).listenUntil + readTime/2
	if took := time.Since(began); took > maxTime {
		t.Errorf("ended %v after the signal, want %v at most", took, maxTime)
	}
}

// A connection that waits to be accepted when a shutdown begins is still accepted, and its request answered: served, or
// rejected where it is too late for that.
func TestShutdownRacesAccept(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gated, gateClosed, waiting, gate := holdAccept()
	g := startTestGatewayBehind(t, wrapWith(gated), unchangedConfig, backend)
	gateClosed.Store(true)
	_, answers := g.sendRequest(t, requestText("GET", "glance", "")) // its backend says nothing
	await(t, waiting, "connection")
	g.stop()
	close(gate)
	resp := await(t, answers, "answer")
	rejectedLate := resp.StatusCode == http.StatusServiceUnavailable
	if !rejectedLate && resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	if err := await(t, g.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A shutdown owes every open request an answer, also where a backend or the counter is silent, and ends when that is
// given, with calls still in flight.
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
			readRequest(t, reader) // and no answer
			g.stop()
			if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("status %d", resp.StatusCode)
			}
			if err := await(t, g.serveErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// After SIGTERM no accepted request may be lost: open ones are answered, and new ones are admitted for a while.
func TestShutdownAnswersOpenAndLateRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, openAnswers := g.sendRequest(t, requestText("POST", "booking", "held"))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	unused, err := net.Dial("tcp", g.address) // must not delay the end
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := g.sendRequest(t, readinessRequest)
	await(t, first, "answer") // leaves an idle connection behind
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	g.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection after the signal: %v", err)
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
	if err := await(t, g.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}
