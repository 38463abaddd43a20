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

// A request that the gateway has begun to read, but not yet begun on, when a stop
// closes idle connections is answered: as ever on an idle one, and with a refusal on
// a new one, which is closed later.
func TestStopRacesRequestThatIsRead(t *testing.T) {
	t.Parallel()
	for name, fresh := range map[string]bool{"on an idle connection": false, "on a new one": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			crossed := make(chan struct{})
			_, conn := startRace(t, fresh, unchangedConfig, backend, func(r *testGateway, c *gatedConn) {
				c.armed.Store(true)
				r.stop()
				<-c.readEnded
				close(crossed)
			})
			text := requestText("POST", "payment", "cash")
			io.WriteString(conn, text[:40])
			await(t, crossed, "crossing")
			io.WriteString(conn, text[40:])
			want := http.StatusServiceUnavailable
			if !fresh {
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

// A request that has arrived when a stop comes, but that the gateway has not read
// yet, is answered: on an idle connection as ever, on a new one at least with a
// refusal, though the listener has gone.
func TestStopRacesRequestThatIsUnread(t *testing.T) {
	t.Parallel()
	for name, idle := range map[string]bool{"on an idle connection": true, "on a new one": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var shut atomic.Bool
			gate, waiting := make(chan struct{}), make(chan *gatedConn, 1)
			// The connections that asked for readiness wait for requests as well, and must not take the gate.
			own := freeAddress(t)
			way := &gatedListener{beforeRead: func(c *gatedConn) {
				if c.RemoteAddr().String() == own.String() && shut.CompareAndSwap(true, false) {
					waiting <- c
					<-gate
				}
			}}
			r := startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchangedConfig, backend)
			shut.Store(!idle)
			conn, err := (&net.Dialer{LocalAddr: own}).Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			if idle {
				// The watch for a client that leaves is one read, the wait for the next request the other.
				io.WriteString(conn, requestText("GET", "lookup", ""))
				bc, br := backend.accept(t)
				readRequest(t, br)
				shut.Store(true)
				total(bc, http.StatusOK, "ok")
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
			}
			at := await(t, waiting, "read")
			io.WriteString(conn, requestText("GET", "glance", ""))
			for end := time.Now().Add(testTimeout); isQuiet(at.TCPConn) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // the request is on its way through the kernel
			}
			r.stop()
			r.awaitListenerClosed(t)
			close(gate)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			if err := await(t, r.serveErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// An idle connection whose server is about to wait for the next request as a stop comes is closed with the other idle
// ones: at once, and not when the listener goes. Its client would go on using it meanwhile.
func TestStopRacesWaitForRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	var r *testGateway
	var shut atomic.Bool
	stopped := make(chan struct{})
	own := freeAddress(t)
	way := &gatedListener{beforeReadDeadline: func(c *gatedConn, at time.Time) {
		// The server sets the longest deadline for the wait between two requests.
		if c.RemoteAddr().String() == own.String() && time.Until(at) > idleTimeout/2 && shut.CompareAndSwap(true, false) {
			c.armed.Store(true)
			r.stop()
			select {
			case <-c.readEnded: // the stop has closed idle connections
			case <-time.After(lateConnectionDelay / 4): // or waits for this one
			}
			close(stopped)
		}
	}}
	r = startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchangedConfig, backend)
	shut.Store(true)
	conn, err := (&net.Dialer{LocalAddr: own}).Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	await(t, stopped, "stop")
	began := time.Now()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > lateConnectionDelay/2 {
		t.Errorf("closed %.3f s after the other idle ones", took.Seconds())
	}
}

// Connections that still wait in the kernel's queue when the listener is to close, since the gateway was held up, are
// accepted, and their requests get a refusal. A close of the listener would reset them.
func TestStopEmptiesTheAcceptQueue(t *testing.T) {
	t.Parallel()
	way, shut, waiting, gate := holdAccept()
	r := startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchangedConfig, newPeer(t))
	shut.Store(true)
	var all []<-chan *http.Response
	for range 20 {
		_, answers := r.sendRequest(t, requestText("GET", "glance", ""))
		all = append(all, answers)
	}
	await(t, waiting, "connection")
	r.stop()
	time.Sleep(newShutdownSchedule(20*time.Second).listenUntil + 50*time.Millisecond) // the moment that is to be crossed
	close(gate)
	for _, answers := range all {
		if resp := await(t, answers, "answer"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
		}
	}
	if err := await(t, r.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A stop's times count from the signal, also where a reload is under way then.
func TestStopDuringReload(t *testing.T) {
	t.Parallel()
	r := startTestGateway(t, newPeer(t))
	const reading = 500 * time.Millisecond
	r.reloadDelay.Store(int64(reading))
	r.reloadSignal <- syscall.SIGHUP
	began := time.Now()
	r.stop()
	if err := await(t, r.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	if took, most := time.Since(began), newShutdownSchedule(time.Second).listenUntil+reading/2; took > most {
		t.Errorf("ended %v after the stop, want %v at most", took, most)
	}
}

// A connection that waits to be accepted when a stop comes is still taken, and its
// request answered: served, or refused where it is too late for that.
func TestStopRacesAccept(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	way, shut, waiting, gate := holdAccept()
	r := startTestGatewayBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchangedConfig, backend)
	shut.Store(true)
	_, answers := r.sendRequest(t, requestText("GET", "glance", "")) // its backend says nothing
	await(t, waiting, "connection")
	r.stop()
	close(gate)
	resp := await(t, answers, "answer")
	if late := resp.StatusCode == http.StatusServiceUnavailable; !late && resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	if err := await(t, r.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A stop owes an answer to what it holds, also where a backend or the counter has
// gone silent, and ends when it is given, with calls still out.
func TestStopWithSilence(t *testing.T) {
	t.Parallel()
	for _, silent := range []string{"a backend", "the counter"} {
		t.Run(silent, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			change := unchangedConfig
			if silent == "the counter" {
				change = withCounter(counter, 0.1, 3, 30*time.Second)
			}
			r := startTestGatewayWith(t, change, backend)
			_, held := r.sendRequest(t, requestText("GET", "glance", ""))
			at := backend
			if silent == "the counter" {
				at = counter
			}
			_, br := at.accept(t)
			readRequest(t, br) // and no answer
			r.stop()
			if resp := await(t, held, "answer"); resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("status %d", resp.StatusCode)
			}
			if err := await(t, r.serveErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// After SIGTERM nothing that was taken may be lost: what is held is answered,
// and what still comes is taken for a while.
func TestStop(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := startTestGateway(t, backend)
	_, held := r.sendRequest(t, requestText("POST", "booking", "held"))
	conn, br := backend.accept(t)
	readRequest(t, br)
	unused, err := net.Dial("tcp", r.address) // must not hold up the end
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := r.sendRequest(t, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	await(t, first, "answer") // leaves an idle connection behind
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	r.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection after the stop: %v", err)
	}
	r.awaitReadiness(t, http.StatusServiceUnavailable)
	_, late := r.sendRequest(t, requestText("POST", "booking", "late"))
	serveOne(t, backend, "late")
	if resp := await(t, late, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	r.awaitListenerClosed(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := await(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the held request: status %d", resp.StatusCode)
	}
	if err := await(t, r.serveErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}
