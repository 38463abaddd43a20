package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// channelListener is a listener that accepts the connections sent on a channel.
type channelListener struct {
	conns    chan net.Conn
	onAccept func() // called at the beginning of Accept; may be nil
}

// Accept returns the next connection, or net.ErrClosed once the channel is closed.
func (l *channelListener) Accept() (net.Conn, error) {
	if l.onAccept != nil {
		l.onAccept()
	}
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

// queueLength returns the number of connections that wait on the channel.
func (l *channelListener) queueLength() (length int, known bool) { return len(l.conns), true }

// Close does nothing.
func (l *channelListener) Close() error { return nil }

// Addr returns an empty address.
func (l *channelListener) Addr() net.Addr { return &net.TCPAddr{} }

// While the table is full, connections wait in the accept queue. The time of this wait counts against the client's
// timeout: the deadline of the request comes earlier by that time. Without a wait, the deadline does not change.
func TestTimeInAcceptQueueCountsAgainstDeadline(t *testing.T) {
	const (
		clientTimeout = 5 * time.Second
		pause         = 100 * time.Millisecond
	)
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	peer := newPeer(t)
	arrive := func() net.Conn { // returns a new connection with a request on it
		near, far := connPair(t, peer)
		send(t, near, far, requestText("GET", "lookup", "", timeLeftHeader, "5000"))
		return near
	}
	listener := &channelListener{conns: make(chan net.Conn, 3)}
	listener.conns <- arrive()
	table := newClientConnections(listener, 1)
	f := newFrontend(&config)
	table.delay = delayOfIdleProcessor()
	f.loop = &eventLoop{clock: newClock()}
	accept := func() *clientConn {
		conn, err := table.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*clientConn)
	}
	timeLeft := func(conn *clientConn) time.Duration {
		return time.Until(f.requestDeadline(t, conn))
	}
	first := accept()
	if left := timeLeft(first); left < 4900*time.Millisecond {
		t.Errorf("without a wait, %v of %v are left", left, clientTimeout)
	}
	// All of these connections wait in the queue from now on. The first two get no slot. The third gets one after a pause.
	began := time.Now()
	for range 3 {
		listener.conns <- arrive()
	}
	calls := 0
	listener.onAccept = func() {
		if calls++; calls == 3 {
			time.Sleep(pause)
			table.mu.Lock()
			defer table.mu.Unlock()
			table.remove(first)
		}
	}
	third := accept()
	waited := time.Since(began)
	if left := timeLeft(third); left > clientTimeout-waited+5*time.Millisecond || waited < pause+minEvictionGrace+shortFullWait {
		t.Errorf("after a wait of %v, %v of %v are left", waited, left, clientTimeout)
	}
	// The table has a free slot and the accept queue is empty. The next connection arrives while Accept is waiting.
	table.mu.Lock()
	table.remove(third)
	table.mu.Unlock()
	next := arrive()
	listener.onAccept = func() {
		time.AfterFunc(20*time.Millisecond, func() { listener.conns <- next })
	}
	if left := timeLeft(accept()); left < 4900*time.Millisecond {
		t.Errorf("without a wait after an empty queue, %v of %v are left", left, clientTimeout)
	}
}

// requestDeadline decodes the request that waits on a connection, and returns the deadline of the request.
func (f *frontend) requestDeadline(t *testing.T, conn *clientConn) time.Time {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		t.Fatal(err)
	}
	r = r.WithContext(context.WithValue(r.Context(), connContextKey{}, conn))
	req, err := f.decode(httptest.NewRecorder(), r)
	if err != nil {
		t.Fatal(err)
	}
	return f.loop.clock.toTime(req.policyRequest.Deadline)
}

// A goroutine that gets no processor for a moment inside Accept must not take the accept queue for empty: a connection
// behind it may have waited there all the time, and its client's time ran on.
func TestDelayedAcceptDoesNotHideTimeInQueue(t *testing.T) {
	const (
		clientTimeout = 5 * time.Second
		busy          = 300 * time.Millisecond // time between two calls of Accept
		noProcessor   = 5 * time.Millisecond   // time for which the call of Accept waits for a processor
	)
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontend(&config)
	f.loop = &eventLoop{clock: newClock()}
	peer := newPeer(t)
	listener := &channelListener{conns: make(chan net.Conn, 2)}
	table := newClientConnections(listener, 2)
	table.delay = delayOfIdleProcessor()
	for range 2 {
		near, far := connPair(t, peer)
		send(t, near, far, requestText("GET", "lookup", "", timeLeftHeader, "5000"))
		listener.conns <- near
	}
	if _, err := table.Accept(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(busy)
	listener.onAccept = func() { time.Sleep(noProcessor) }
	conn, err := table.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if left := time.Until(f.requestDeadline(t, conn.(*clientConn))); left > clientTimeout-busy-noProcessor {
		t.Errorf("%v of %v are left after %v in the accept queue", left, clientTimeout, busy+noProcessor)
	}
}
