package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"amberlb/policy"
)

// gated is a way to the gateway on which a test stands between the gateway and
// the kernel: it sees each read before and after it happens.
type gated struct {
	net.Listener
	accepted      func()       // before the gateway has the connection
	refuses       func() error // fails an accept, unless it returns nil
	before, after func(*gatedConn)
	deadline      func(*gatedConn, time.Time) // before a deadline for reading is set
	conns         sync.Map                    // *gatedConn by the client's address
}

type gatedConn struct {
	*net.TCPConn
	way   *gated
	waits atomic.Int32 // for a request or more of it, so far
	armed atomic.Bool
	ended chan struct{} // its wait for a request was ended, once armed
}

func (g *gated) Accept() (net.Conn, error) {
	if g.refuses != nil {
		if err := g.refuses(); err != nil {
			return nil, err
		}
	}
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if g.accepted != nil {
		g.accepted()
	}
	at := &gatedConn{TCPConn: c.(*net.TCPConn), way: g, ended: make(chan struct{})}
	g.conns.Store(c.RemoteAddr().String(), at)
	return at, nil
}

func (c *gatedConn) Read(p []byte) (int, error) {
	if len(p) > 1 { // else the server watches for a client that leaves
		c.waits.Add(1)
	}
	if c.way.before != nil {
		c.way.before(c)
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.way.after != nil {
		c.way.after(c)
	}
	return n, err
}

func (c *gatedConn) SetReadDeadline(at time.Time) error {
	if c.way.deadline != nil {
		c.way.deadline(c, at)
	}
	err := c.TCPConn.SetReadDeadline(at)
	if !at.IsZero() && at.Before(time.Now()) && c.armed.CompareAndSwap(true, false) {
		close(c.ended)
	}
	return err
}

func unchanged(config string) string { return config }

// withCounter gives the test's customers a quota kept on a counter, which is
// given so long to answer. With a small depth their first request has to call it.
func withCounter(counter *peer, rate, depth float64, timeout time.Duration) func(string) string {
	return strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.address()+`"`,
		`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": %g, "depth": %g}`, rate, depth),
		`"mostUnits": 4`, fmt.Sprintf(`"mostUnits": 4, "hasCounter": true, "counterTimeoutS": %g`, timeout.Seconds())).Replace
}

// exchangeOn sends one more request on a connection.
func exchangeOn(t *testing.T, conn net.Conn, text string) (*http.Response, error) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// A client that leaves while its request waits is noticed whatever it has sent
// behind it, and the request is not sent on. One that has closed its sending alone
// must not be told that it was served.
func TestClientLeavesWhileQueued(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]int{"nothing behind": 0, "one byte behind": 1, "a buffer behind": 5000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			r := newRigWith(t, withCounter(counter, 0.001, 3, 30*time.Second), backend)
			id := fmt.Sprintf("left-%d", extra)
			conn, answers := r.client(t, ask("GET", "lookup", "", correlationIDHeader, id))
			calls, cr := counter.accept(t)
			call, _ := readRequest(t, cr) // the request waits for its units
			io.WriteString(conn, strings.Repeat("x", extra))
			conn.(*net.TCPConn).CloseWrite()
			if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway || !resp.Close {
				t.Errorf("the one that left: status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			total(calls, http.StatusOK, call.URL.Query().Get("add"))
			_, answers = r.client(t, ask("GET", "lookup", ""))
			bc, br := backend.accept(t)
			if req, _ := readRequest(t, br); req.Header.Get(correlationIDHeader) == id {
				t.Error("the request of the one that left was sent on")
			}
			total(bc, http.StatusOK, "ok")
			if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next: status %d", resp.StatusCode)
			}
		})
	}
}

// A client that floods the gateway behind its open request ends its connection,
// and its request with it.
func TestFloodBehindRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	conn, _ := r.client(t, ask("GET", "lookup", ""))
	_, br := backend.accept(t)
	readRequest(t, br)
	go io.WriteString(conn, strings.Repeat("x", 4*maxPipelinedBytes)) // ends with the connection
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

// What came behind a request before its answer is the next request, no more and no
// less.
func TestPipelined(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	conn, first := r.client(t, ask("GET", "lookup", ""))
	bc, br := backend.accept(t)
	readRequest(t, br)
	second := ask("POST", "booking", strings.Repeat("y", 6000))
	io.WriteString(conn, second[:1])
	io.WriteString(conn, second[1:])
	io.WriteString(bc, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst")
	if resp := wait(t, first, "answer"); resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	_, br = backend.accept(t)
	if _, body := readRequest(t, br); len(body) != 6000 {
		t.Errorf("%d bytes came on", len(body))
	}
}

// raced is a gateway with a connection on which a request has been read, but not
// yet begun on, when something else happens to that connection.
func raced(t *testing.T, fresh bool, change func(string) string, backend *peer, happens func(*rig, *gatedConn)) (*rig, net.Conn) {
	t.Helper()
	var r *rig
	var target atomic.Pointer[net.TCPAddr]
	way := &gated{}
	way.after = func(c *gatedConn) {
		if at := target.Load(); at != nil && c.RemoteAddr().String() == at.String() {
			target.Store(nil)
			happens(r, c)
		}
	}
	r = newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, change, backend)
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	if !fresh {
		if _, err := exchangeOn(t, conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		at, _ := way.conns.Load(conn.LocalAddr().String())
		for end := time.Now().Add(patience); at.(*gatedConn).waits.Load() < 2; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gateway never waits for another request")
			}
		}
	}
	target.Store(conn.LocalAddr().(*net.TCPAddr))
	return r, conn
}

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
			_, conn := raced(t, fresh, unchanged, backend, func(r *rig, c *gatedConn) {
				c.armed.Store(true)
				r.stop()
				<-c.ended
				close(crossed)
			})
			text := ask("POST", "payment", "cash")
			io.WriteString(conn, text[:40])
			wait(t, crossed, "crossing")
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

// A request that the gateway has read, but not yet begun on, when its connection is
// to end to make room is served there, once.
func TestMakeRoomRacesRequestThatIsRead(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	silent := make(chan net.Conn, 100)
	_, conn := raced(t, false, strings.NewReplacer(`"sockets": 1024`, `"sockets": 128`).Replace, backend, func(r *rig, c *gatedConn) {
		c.armed.Store(true)
		for range cap(silent) { // the bound is below 50
			if conn, err := net.Dial("tcp", r.address); err == nil {
				silent <- conn
			}
		}
		close(silent)
		<-c.ended
	})
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		serveOne(t, backend, "paid")
	}()
	if resp, err := exchangeOn(t, conn, ask("POST", "payment", "cash")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the request that had been read: %v, %v", resp, err)
	}
	wait(t, answered, "attempt")
	for c := range silent {
		c.Close()
	}
	if n := len(backend.conns); n > 0 {
		t.Errorf("%d more connections to the backend: it ran twice", n)
	}
}

// freeAddress is one on loopback that nobody uses, for a client whose connection is to be known beforehand.
func freeAddress(t *testing.T) *net.TCPAddr {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr)
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
			way := &gated{before: func(c *gatedConn) {
				if c.RemoteAddr().String() == own.String() && shut.CompareAndSwap(true, false) {
					waiting <- c
					<-gate
				}
			}}
			r := newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchanged, backend)
			shut.Store(!idle)
			conn, err := (&net.Dialer{LocalAddr: own}).Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(patience))
			if idle {
				// The watch for a client that leaves is one read, the wait for the next request the other.
				io.WriteString(conn, ask("GET", "lookup", ""))
				bc, br := backend.accept(t)
				readRequest(t, br)
				shut.Store(true)
				total(bc, http.StatusOK, "ok")
				if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatal(resp, err)
				}
			}
			at := wait(t, waiting, "read")
			io.WriteString(conn, ask("GET", "glance", ""))
			for end := time.Now().Add(patience); isQuiet(at.TCPConn) && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // the request is on its way through the kernel
			}
			r.stop()
			r.closedListener(t)
			close(gate)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
				t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
			}
			if err := wait(t, r.ended, "end"); err != nil {
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
	var r *rig
	var shut atomic.Bool
	stopped := make(chan struct{})
	own := freeAddress(t)
	way := &gated{deadline: func(c *gatedConn, at time.Time) {
		// The server sets the longest deadline for the wait between two requests.
		if c.RemoteAddr().String() == own.String() && time.Until(at) > idleTimeout/2 && shut.CompareAndSwap(true, false) {
			c.armed.Store(true)
			r.stop()
			select {
			case <-c.ended: // the stop has closed idle connections
			case <-time.After(lateConnectionDelay / 4): // or waits for this one
			}
			close(stopped)
		}
	}}
	r = newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchanged, backend)
	shut.Store(true)
	conn, err := (&net.Dialer{LocalAddr: own}).Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	wait(t, stopped, "stop")
	began := time.Now()
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > lateConnectionDelay/2 {
		t.Errorf("closed %.3f s after the other idle ones", took.Seconds())
	}
}

// crowded is a backend whose backlog is full, so that dials to it hang until it is
// freed.
type crowded struct {
	fd      int
	address string
	fillers []net.Conn
}

func newCrowded(t *testing.T) *crowded {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	c := &crowded{fd: fd, address: fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)}
	for {
		conn, err := net.DialTimeout("tcp", c.address, 200*time.Millisecond)
		if err != nil {
			return c
		}
		t.Cleanup(func() { conn.Close() })
		c.fillers = append(c.fillers, conn)
	}
}

// accept returns the next connection but those that filled the backlog.
func (c *crowded) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	for {
		fd, _, err := syscall.Accept(c.fd)
		if err != nil {
			t.Fatal(err)
		}
		f := os.NewFile(uintptr(fd), "accepted")
		conn, err := net.FileConn(f)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		if filler := slices.ContainsFunc(c.fillers, func(f net.Conn) bool {
			return f.LocalAddr().String() == conn.RemoteAddr().String()
		}); !filler {
			conn.SetDeadline(time.Now().Add(patience))
			return conn, bufio.NewReader(conn)
		}
	}
}

// A request whose client has left while its connection to a backend was being
// made is not sent on when that comes up, also where nothing may be cancelled.
func TestClientLeavesWhileDialling(t *testing.T) {
	t.Parallel()
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancel %t", cancel), func(t *testing.T) {
			t.Parallel()
			backend := newCrowded(t)
			r := newRigWith(t, strings.NewReplacer(`"cancel": true`, fmt.Sprintf(`"cancel": %t`, cancel),
				`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
			r.list(t, backend.address)
			conn, answers := r.client(t, ask("POST", "payment", "x", correlationIDHeader, "left"))
			for end := time.Now().Add(patience); !dialling(t, backend.address) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			conn.(*net.TCPConn).CloseWrite()
			if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("the one that left: status %d", resp.StatusCode)
			}
			for end := time.Now().Add(5 * time.Second); dialling(t, backend.address); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("its dial goes on")
				}
			}
			_, answers = r.client(t, ask("POST", "payment", "x", correlationIDHeader, "stays"))
			bc, br := backend.accept(t)
			if req, _ := readRequest(t, br); req.Header.Get(correlationIDHeader) != "stays" {
				t.Errorf("request %q was sent on", req.Header.Get(correlationIDHeader))
			}
			total(bc, http.StatusOK, "ok")
			if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the next: status %d", resp.StatusCode)
			}
		})
	}
}

// dialling tells whether somebody waits for a connection to an address.
func dialling(t *testing.T, address string) bool {
	t.Helper()
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(table), fmt.Sprintf("0100007F:%04X 02 ", n)) // SYN_SENT
}

// list tells the gateway of backends at these addresses, and waits until it has
// heard.
func (r *rig) list(t *testing.T, addresses ...string) {
	t.Helper()
	told := Listing{Generation: 2, Reset: true}
	for _, address := range addresses {
		told.Instances = append(told.Instances, Instance{ID: address, HostPort: address, Zone: "a", Lifecycle: "Ready", Weight: 1})
	}
	wait(t, r.registry.calls, "first list")
	wait(t, r.registry.calls, "watch")
	r.registry.answers <- told
	wait(t, r.registry.calls, "next watch")
}

// A drain ends the dials to its backend: what waits for one goes elsewhere, or is
// refused, and nothing is sent when the connection comes up.
func TestDrainRacesDial(t *testing.T) {
	t.Parallel()
	backend, other := newCrowded(t), newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"connectTimeoutS": 5`, `"connectTimeoutS": 15`).Replace)
	r.list(t, backend.address)
	_, answers := r.client(t, ask("POST", "payment", "x"))
	for end := time.Now().Add(patience); !dialling(t, backend.address) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	told := listingOf(true, "Ready", other)
	told.Instances = append(told.Instances, Instance{ID: backend.address, HostPort: backend.address, Zone: "a", Lifecycle: "Terminating"})
	r.registry.answers <- told
	serveOne(t, other, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	if dialling(t, backend.address) {
		t.Error("the dial to the draining backend goes on")
	}
}

// SetDeadline bounds the wait for a connection.
func (g *gated) SetDeadline(at time.Time) error { return g.Listener.(*net.TCPListener).SetDeadline(at) }

// holdAccept is a way on which the next accept, once shut is set, says so on waiting and is held until gate is closed.
func holdAccept() (way *gated, shut *atomic.Bool, waiting <-chan struct{}, gate chan<- struct{}) {
	shut = &atomic.Bool{}
	held, closed := make(chan struct{}, 1), make(chan struct{})
	way = &gated{accepted: func() {
		if shut.CompareAndSwap(true, false) {
			held <- struct{}{}
			<-closed
		}
	}}
	return way, shut, held, closed
}

// Connections that still wait in the kernel's queue when the listener is to close, since the gateway was held up, are
// accepted, and their requests get a refusal. A close of the listener would reset them.
func TestStopEmptiesTheAcceptQueue(t *testing.T) {
	t.Parallel()
	way, shut, waiting, gate := holdAccept()
	r := newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchanged, newPeer(t))
	shut.Store(true)
	var all []<-chan *http.Response
	for range 20 {
		_, answers := r.client(t, ask("GET", "glance", ""))
		all = append(all, answers)
	}
	wait(t, waiting, "connection")
	r.stop()
	time.Sleep(newShutdownSchedule(20*time.Second).listenUntil + 50*time.Millisecond) // the moment that is to be crossed
	close(gate)
	for _, answers := range all {
		if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
			t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
		}
	}
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// An accept that fails, for a moment or for a while, ends nothing: what is open is answered, and new connections are
// accepted soon after.
func TestFailingAcceptEndsNothing(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EINTR, syscall.ETIMEDOUT} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			var failures atomic.Int64
			way := &gated{refuses: func() error {
				if failures.Add(-1) >= 0 {
					return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				}
				return nil
			}}
			r := newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchanged, backend)
			_, held := r.client(t, ask("POST", "payment", "held"))
			conn, br := backend.accept(t)
			readRequest(t, br)
			serve := func() { // on a connection of its own
				conn, br := backend.accept(t)
				readRequest(t, br)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}
			failures.Store(12) // the accept that is under way comes first
			_, first := r.client(t, ask("GET", "lookup", ""))
			serve()
			if resp := wait(t, first, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
			began := time.Now()
			_, second := r.client(t, ask("GET", "lookup", ""))
			serve()
			if resp := wait(t, second, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d after the failures", resp.StatusCode)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("accepted %v after 12 failures", took)
			}
			total(conn, http.StatusOK, "paid")
			if resp := wait(t, held, "answer"); resp.StatusCode != http.StatusOK {
				t.Errorf("the held request: status %d", resp.StatusCode)
			}
		})
	}
}

// A stop's times count from the signal, also where a reload is under way then.
func TestStopDuringReload(t *testing.T) {
	t.Parallel()
	r := newRig(t, newPeer(t))
	const reading = 500 * time.Millisecond
	r.reading.Store(int64(reading))
	r.hup <- syscall.SIGHUP
	began := time.Now()
	r.stop()
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
	if took, most := time.Since(began), newShutdownSchedule(time.Second).listenUntil+reading/2; took > most {
		t.Errorf("ended %v after the stop, want %v at most", took, most)
	}
}

// closedListener waits until clients are taken no longer.
func (r *rig) closedListener(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			return
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("the listener never closed")
		}
	}
}

// A connection that waits to be accepted when a stop comes is still taken, and its
// request answered: served, or refused where it is too late for that.
func TestStopRacesAccept(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	way, shut, waiting, gate := holdAccept()
	r := newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way }, unchanged, backend)
	shut.Store(true)
	_, answers := r.client(t, ask("GET", "glance", "")) // its backend says nothing
	wait(t, waiting, "connection")
	r.stop()
	close(gate)
	resp := wait(t, answers, "answer")
	if late := resp.StatusCode == http.StatusServiceUnavailable; !late && resp.StatusCode != http.StatusTooManyRequests || !resp.Close {
		t.Errorf("status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A client that leaves just behind the grant that lets its request go takes back
// what has been sent for it.
func TestClientLeavesBehindGrant(t *testing.T) {
	backend, far := newPeer(t), newPeer(t)
	c, err := parseConfig([]byte(withCounter(far, 0.1, 20, 30*time.Second)(configText("127.0.0.1:1", testSettings))))
	if err != nil {
		t.Fatal(err)
	}
	l := newEventLoop(&c, newConnectionPools(patience, time.Minute, 8), newCounterClient(far.address(), patience), func() {})
	l.applyListing(listingOf(true, "Ready", backend), policy.FullList)
	now := l.clock.now()
	x := &clientRequest{correlationID: "one", method: "GET", uri: "/lookup", host: "h", header: http.Header{}, response: make(chan clientResponse, 2),
		decoded: policy.Request{Units: 1, Gateways: 1, Customer: 5, SentAt: now, Deadline: now + 15}}
	l.startRequest(x)
	for _, calls := range l.pendingCalls {
		l.handleMessage(counterCallDone{calls[0], policy.Served, calls[0].amount})
	}
	if len(x.attempts) != 1 {
		t.Fatalf("%d attempts by the grant", len(x.attempts))
	}
	l.handleMessage(clientDisconnected{x})
	if !x.attempts[0].ended || len(x.response) != 0 || len(l.requests) != 0 {
		t.Errorf("attempt ended %t, %d answers, %d live", x.attempts[0].ended, len(x.response), len(l.requests))
	}
	close(l.stopped)
	l.attempts.Wait() // it has been called off, whatever the backend does
}

// A stop owes an answer to what it holds, also where a backend or the counter has
// gone silent, and ends when it is given, with calls still out.
func TestStopWithSilence(t *testing.T) {
	t.Parallel()
	for _, silent := range []string{"a backend", "the counter"} {
		t.Run(silent, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			change := unchanged
			if silent == "the counter" {
				change = withCounter(counter, 0.1, 3, 30*time.Second)
			}
			r := newRigWith(t, change, backend)
			_, held := r.client(t, ask("GET", "glance", ""))
			at := backend
			if silent == "the counter" {
				at = counter
			}
			_, br := at.accept(t)
			readRequest(t, br) // and no answer
			r.stop()
			if resp := wait(t, held, "answer"); resp.StatusCode != http.StatusTooManyRequests {
				t.Errorf("status %d", resp.StatusCode)
			}
			if err := wait(t, r.ended, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// What comes of an attempt after its time-out or cancel reaches nobody: the request
// has its one answer.
func TestAnswerRacesTimeOut(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	for name, ends := range map[string]func(*eventLoop, *clientRequest){
		"the time-out of the attempt": func(l *eventLoop, x *clientRequest) { l.fireTimer(timerEntry{attempt: x.attempts[0]}) },
		"a client that leaves":        func(l *eventLoop, x *clientRequest) { l.handleMessage(clientDisconnected{x}) },
	} {
		backend := newPeer(t)
		p := newConnectionPools(patience, time.Minute, 8)
		l := newEventLoop(&c, p, nil, func() {})
		l.applyListing(listingOf(true, "Ready", backend), policy.FullList)
		now := l.clock.now()
		x := &clientRequest{correlationID: "one", method: "POST", uri: "/payment", host: "h", header: http.Header{}, response: make(chan clientResponse, 2),
			decoded: policy.Request{Class: 2, Units: 1, Gateways: 1, SentAt: now, Deadline: now + 15}}
		l.startRequest(x)
		_, br := backend.accept(t)
		readRequest(t, br)
		ends(l, x)
		owed := len(x.response)
		l.handleMessage(attemptDone{x.attempts[0], attemptResult{outcome: policy.Served, header: http.Header{}, body: []byte("late")}})
		if len(x.response) != owed || len(l.requests) != 0 || x.attemptsInFlight != 0 {
			t.Errorf("%s: %d answers for %d, %d requests live", name, len(x.response), owed, len(l.requests))
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: the attempt's connection: %v", name, err)
		}
		close(l.stopped) // lets the attempt end
		l.attempts.Wait()
	}
}

// A client that never reads its answer costs no other client one, and holds up a
// stop no longer than the longest request could.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	way := &gated{before: func(c *gatedConn) { c.SetWriteBuffer(4096) }}
	r := newRigBehind(t, func(l net.Listener) net.Listener { way.Listener = l; return way },
		strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 2`, `"objectiveS": 10`, `"objectiveS": 2`).Replace, backend)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	slow, err := d.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	io.WriteString(slow, ask("GET", "lookup", ""))
	serveOne(t, backend, strings.Repeat("x", maxBodyBytes))
	for range 2 { // on a connection of its own, or on the first again
		_, answers := r.client(t, ask("GET", "glance", ""))
		resp := wait(t, answers, "another client's answer")
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusTooManyRequests {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	r.stop()
	if err := wait(t, r.ended, "end"); err == nil {
		t.Error("the answer that nobody read was not held at all")
	}
}

// No client holds a request, and so a stop, for longer than its class allows.
func TestPatienceIsBounded(t *testing.T) {
	c, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f := &frontend{loop: &eventLoop{clock: newClock()}, deployment: &c.Deployment}
	for left, most := range map[string]float64{"3600000": 20, "7000": 7} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(ask("GET", "lookup", "", timeLeftHeader, left))))
		if err != nil {
			t.Fatal(err)
		}
		x, _, err := f.decode(httptest.NewRecorder(), r)
		if err != nil {
			t.Fatal(err)
		}
		if got := x.decoded.Deadline - x.decoded.SentAt + responseMargin; got < most-0.001 || got > most+0.001 {
			t.Errorf("%s ms: held for up to %.3f s, want %.3f", left, got, most)
		}
	}
}
