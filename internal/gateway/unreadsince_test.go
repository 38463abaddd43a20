package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// waitFixture has what is needed to compute deadlines of requests whose goroutines have waited for a processor.
type waitFixture struct {
	table    *clientConnections
	frontend *frontend
	listener *channelListener
	peer     *peer
}

const (
	fixtureTimeout = 5 * time.Second        // timeout that the clients state
	fixtureWait    = 300 * time.Millisecond // time for which a request waits
)

func newWaitFixture(t *testing.T) *waitFixture {
	t.Helper()
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	listener := &channelListener{conns: make(chan net.Conn, 1)}
	f := &waitFixture{
		table:    newClientConnections(listener, 10),
		frontend: newFrontend(&config),
		listener: listener,
		peer:     newPeer(t),
	}
	f.table.delay = delayOfIdleProcessor()
	f.frontend.loop = &eventLoop{clock: newClock()}
	return f
}

// accept returns an accepted connection of a client that has sent the given text, and the client's end.
func (f *waitFixture) accept(t *testing.T, text string) (*clientConn, net.Conn) {
	t.Helper()
	near, far := connPair(t, f.peer)
	if text != "" {
		send(t, near, far, text)
	}
	f.listener.conns <- near
	conn, err := f.table.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn.(*clientConn), far
}

// expectDeadline reads a request from a connection, and checks that its client's timeout counts from the given time.
func (f *waitFixture) expectDeadline(t *testing.T, conn *clientConn, sentAt time.Time) {
	t.Helper()
	deadline := f.frontend.requestDeadline(t, conn)
	if late := deadline.Sub(sentAt.Add(fixtureTimeout)); late > 0 || late < -fixtureWait/2 {
		t.Errorf("the deadline is %v later than the client's", late)
	}
}

// requestOfFixture returns the text of a request.
func requestOfFixture() string { return requestText("GET", "lookup", "", timeLeftHeader, "5000") }

// A request that has arrived before its connection was accepted may wait again until its goroutine gets a processor. The
// client's time runs on meanwhile.
func TestWaitBetweenAcceptAndReadCountsAgainstDeadline(t *testing.T) {
	f := newWaitFixture(t)
	sentAt := time.Now()
	conn, _ := f.accept(t, requestOfFixture())
	time.Sleep(fixtureWait)
	f.expectDeadline(t, conn, sentAt)
}

// The bytes of a request that arrive while it is being read count from the time at which the socket was found empty, and
// those that arrive while the read blocks from then on.
func TestWaitForPartsOfRequestCountsAgainstDeadline(t *testing.T) {
	f := newWaitFixture(t)
	text := requestOfFixture()
	conn, far := f.accept(t, "")
	go func() {
		time.Sleep(fixtureWait)
		io.WriteString(far, text[:len(text)/2])
	}()
	first := make([]byte, len(text)/2)
	if _, err := io.ReadFull(conn, first); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	send(t, conn.Conn, far, text[len(text)/2:])
	time.Sleep(fixtureWait)
	rest := make([]byte, len(text)-len(first))
	if _, err := io.ReadFull(conn, rest); err != nil {
		t.Fatal(err)
	}
	if early := sentAt.Sub(conn.unreadSince); early < 0 || early > fixtureWait/2 {
		t.Errorf("the rest of the request counts from %v before it was sent", early)
	}
}

// While the answer to a request is written, the watch for a disconnect may receive the client's next request. It waits until
// the goroutine that serves the connection gets a processor, and its client's time runs on meanwhile.
func TestWaitOfRequestKeptDuringAnswerCountsAgainstDeadline(t *testing.T) {
	f := newWaitFixture(t)
	conn, far := f.accept(t, requestOfFixture())
	f.frontend.requestDeadline(t, conn)
	f.table.onConnState(conn, http.StateActive)
	watchEnded := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		watchEnded <- err
	}()
	sentAt := time.Now()
	if _, err := io.WriteString(far, requestOfFixture()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(fixtureWait)
	conn.SetReadDeadline(aLongTimeAgo) // as the server does after the answer
	if err := await(t, watchEnded, "end of the watch"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Time{})
	f.table.onConnState(conn, http.StateIdle)
	f.expectDeadline(t, conn, sentAt)
}

// On a busy processor, a read may return long after its bytes have arrived. They can't have arrived before it began.
func TestWaitForProcessorAfterBlockedReadCountsAgainstDeadline(t *testing.T) {
	const processorWait = 2 * fixtureWait
	f := newWaitFixture(t)
	for i := range f.table.delay.windows {
		f.table.delay.windows[i] = delayOfWindow{readAt: time.Now().Add(time.Hour), longest: processorWait}
	}
	conn, far := f.accept(t, "")
	for _, pause := range []time.Duration{processorWait + fixtureWait, fixtureWait} {
		time.AfterFunc(pause, func() { io.WriteString(far, "G") })
		began := time.Now()
		if _, err := conn.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		earliest := laterTime(began, time.Now().Add(-processorWait))
		if difference := conn.unreadSince.Sub(earliest).Abs(); difference > fixtureWait/2 {
			t.Errorf("read after %v: the bytes count from a time %v beside the earliest one", pause, difference)
		}
	}
}
