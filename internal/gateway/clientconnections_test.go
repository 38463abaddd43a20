package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Connections that send nothing must not keep another client from being served, even if there are more of them than the
// limit of client connections. The gateway must close the silent connections.
func TestSilentConnectionsDoNotKeepClientsOut(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGatewayWith(t, fewDescriptors, backend)
	var silent []net.Conn
	for range 100 { // the limit of client connections is clientFDShare*(128-reservedFDs) = 48
		conn, err := net.Dial("tcp", g.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		silent = append(silent, conn)
	}
	_, answers := g.sendRequest(t, requestText("POST", "booking", "x"))
	serveOne(t, backend, "ok")
	if resp := await(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for i, conn := range silent {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("silent connection %d was not closed: read %d bytes, %v", i, n, err)
		}
	}
}

// isTimeout reports whether err was caused by a deadline.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// A request that never becomes complete is answered 408 when the read timeout ends. The read timeout must not end a
// complete request that waits for its answer.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	g := startTestGateway(t, backend)
	_, openAnswers := g.sendRequest(t, requestText("GET", "lookup", ""))
	conn, reader := backend.accept(t)
	readRequest(t, reader)
	complete := requestText("POST", "booking", "pickup")
	for _, text := range []string{complete[:10], complete[:len(complete)-1]} {
		client, _ := net.Dial("tcp", g.address)
		defer client.Close()
		io.WriteString(client, text)
		client.SetReadDeadline(time.Now().Add(testTimeout))
		answer, err := io.ReadAll(client)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 408 ") {
			t.Errorf("after %d bytes the client read %q, %v", len(text), answer, err)
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // after the read timeout
	if resp := await(t, openAnswers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
}

// evictionTable is a connection table to which a test adds connections that peer has accepted.
type evictionTable struct {
	*clientConnections
	peer *peer
}

// newConn returns both ends of a connection that is not in the table yet.
func (e *evictionTable) newConn(t *testing.T) (near, far net.Conn) {
	t.Helper()
	return connPair(t, e.peer)
}

// add adds a connection in the given state to the table. The connection's last activity was the given age ago. add
// returns the connection and the client's end of it.
func (e *evictionTable) add(t *testing.T, state http.ConnState, age time.Duration) (conn *clientConn, client net.Conn) {
	t.Helper()
	near, client := e.newConn(t)
	conn = e.tryAdd(near)
	if state == http.StateIdle {
		e.onConnState(conn, http.StateActive)
	}
	e.onConnState(conn, state)
	conn.lastActive = conn.lastActive.Add(-age)
	return conn, client
}

// addServed adds a connection like add. It also starts a goroutine that reads from the connection, and closes it when
// the read fails, as the HTTP server does.
func (e *evictionTable) addServed(t *testing.T, state http.ConnState, age time.Duration) *clientConn {
	t.Helper()
	conn, _ := e.add(t, state, age)
	go func() {
		if _, err := conn.Read(make([]byte, 16)); err != nil {
			conn.Close()
			e.onConnState(conn, http.StateClosed)
		}
	}()
	return conn
}

// canAdd reports whether another connection can be added to the table. It removes the added connection again. If
// expected is set, canAdd retries for up to half of minEvictionGrace.
func (e *evictionTable) canAdd(t *testing.T, expected bool) bool {
	t.Helper()
	near, _ := e.newConn(t)
	conn := e.tryAdd(near)
	for end := time.Now().Add(minEvictionGrace / 2); expected && conn == nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // an evicted connection leaves the table when its goroutine has closed it
		conn = e.tryAdd(near)
	}
	if conn == nil {
		return false
	}
	e.onConnState(conn, http.StateClosed)
	return true
}

// New connections evict the connections without activity for the longest time. A connection with unread bytes, with an
// open request or with recent activity must not be evicted.
func TestEvictionOrder(t *testing.T) {
	table := &evictionTable{newClientConnections(nil, 100), newPeer(t)}
	arrived, client := table.add(t, http.StateNew, time.Hour)
	send(t, arrived.Conn, client, "G")
	longIdle := table.addServed(t, http.StateIdle, time.Hour)
	incomplete, client := table.add(t, http.StateNew, time.Hour)
	io.WriteString(client, "GE")
	if n, err := incomplete.Read(make([]byte, 16)); n == 0 || err != nil { // puts the connection in phaseReading
		t.Fatal(n, err)
	}
	silent := table.addServed(t, http.StateNew, time.Minute)
	open, _ := table.add(t, http.StateActive, 0)
	recent := table.addServed(t, http.StateIdle, evictionGrace/2)
	fresh, _ := table.add(t, http.StateNew, 0)
	// The idle list must be ordered by last activity. The connection incomplete was active later than recent, because
	// the first byte of its request has just been read.
	table.mu.Lock()
	table.idle.MoveAfter(incomplete.idleElement, recent.idleElement)
	table.mu.Unlock()
	for _, step := range []struct {
		name     string
		maxConns int
		added    bool // another connection can be added
		kept     []*clientConn
	}{
		{"below the soft limit", 10, true, []*clientConn{arrived, longIdle, silent, open, recent, incomplete, fresh}},
		{"above the soft limit", 7, true, []*clientConn{arrived, open, recent, incomplete, fresh}},
		{"below the limit, recent connections stay", 6, true, []*clientConn{arrived, open, recent, incomplete, fresh}},
		{"at the limit", 5, true, []*clientConn{arrived, open, incomplete, fresh}},
		{"nothing to evict", 4, false, []*clientConn{arrived, open, incomplete, fresh}},
	} {
		table.mu.Lock()
		table.maxConns = step.maxConns
		incomplete.lastActive = time.Now() // so that the time of earlier steps does not count
		fresh.lastActive = incomplete.lastActive
		table.mu.Unlock()
		if added := table.canAdd(t, step.added); added != step.added {
			t.Errorf("%s: new connection added %t", step.name, added)
		}
		table.expectKept(t, step.name, step.kept)
	}
	for conn := range table.conns {
		table.onConnState(conn, http.StateClosed)
	}
	table.maxConns = 1
	near, _ := table.newConn(t)
	if table.tryAdd(near) == nil || table.idle.Len() != 1 {
		t.Errorf("no free slot after all connections were closed; %d idle", table.idle.Len())
	}
}

// expectKept waits until evicted connections are closed, and then checks that the table has exactly the given
// connections and that none of them is closing.
func (e *evictionTable) expectKept(t *testing.T, step string, want []*clientConn) {
	t.Helper()
	awaitCondition(t, step+": evicted connections are still in the table", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.closingCount == 0
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) != len(want) || e.closingCount != 0 {
		t.Errorf("%s: %d connections kept, want %d; %d are closing", step, len(e.conns), len(want), e.closingCount)
	}
	for i, conn := range want {
		if _, kept := e.conns[conn]; !kept || conn.closing {
			t.Errorf("%s: connection %d was not kept", step, i)
		}
	}
}

// Clients that stop in the middle of a request keep no slot that a new connection waits for, whether they stopped in the
// head or in the body. They get an error, and the new client's request is served.
func TestStalledRequestsMakeRoom(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"in the head": "POST /payment HTTP/1.1\r\nHost: h\r\n",
		"in the body": requestText("POST", "payment", "body")[:len(requestText("POST", "payment", "body"))-1],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			g := startTestGatewayWith(t, fewDescriptors, backend)
			table := g.server.clientConnections
			var stalled []net.Conn
			for range table.maxConns {
				stalled = append(stalled, dial(t, g.address, text))
			}
			awaitCondition(t, "the table is not full of incomplete requests", func() bool {
				phases := table.countByPhase()
				return phases[phaseReading]+phases[phaseOpen] == table.maxConns
			})
			time.Sleep(maxStall) // none of them has a moment ago begun
			begin := time.Now()
			conn := dial(t, g.address, requestText("POST", "payment", "x"))
			serveOne(t, backend, "served")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if took := time.Since(begin); err != nil || resp.StatusCode != http.StatusOK || took > readTimeout/2 {
				t.Errorf("the new client: %v, %v, after %v", resp, err, took)
			}
			statuses := map[string]int{}
			for _, conn := range stalled {
				answer := make([]byte, len("HTTP/1.1 503"))
				if _, err := io.ReadFull(conn, answer); err != nil {
					t.Errorf("a stalled client got no answer: %v", err)
				}
				statuses[string(answer)]++
			}
			if statuses["HTTP/1.1 503"] == 0 || statuses["HTTP/1.1 503"]+statuses["HTTP/1.1 408"] != len(stalled) {
				t.Errorf("the stalled clients got %v", statuses)
			}
		})
	}
}

// A connection that has been served keeps its slot while there are connections that have brought no complete request.
func TestServedConnectionsAreEvictedLast(t *testing.T) {
	table := newClientConnections(nil, 4)
	p := newPeer(t)
	add := func() *clientConn {
		near, _ := connPair(t, p)
		return table.tryAdd(near)
	}
	served := add()
	table.onConnState(served, http.StateActive)
	table.onConnState(served, http.StateIdle)
	silent, reading := add(), add()
	table.markReading(reading)
	last := add()
	for _, conn := range []*clientConn{served, silent, reading, last} {
		conn.lastActive = time.Now().Add(-time.Hour)
	}
	table.evictIdle() // down to the soft limit, which is three connections
	if served.closing || !silent.closing || reading.closing || last.closing {
		t.Errorf("closing: served %t, silent %t, reading %t, last %t", served.closing, silent.closing, reading.closing, last.closing)
	}
	table.maxConns = 0
	reading.setWakeAt(time.Now().Add(maxStall))
	table.evictIdle() // beyond the limit, and with more than floodShare of incomplete requests
	if served.closing || !reading.closing || !last.closing {
		t.Errorf("closing: served %t, reading %t, last %t", served.closing, reading.closing, last.closing)
	}
	reading.setWakeAt(time.Time{})
	table.evictIdle()
	if !served.closing {
		t.Error("the served connection was kept although there was no other one")
	}
}

// While clients that write slowly, but don't stop, hold all slots, a new connection behind others in the accept queue is
// answered or closed before its client's time is over, so that the client can send its request elsewhere.
func TestFullTableDoesNotHoldUpAcceptQueue(t *testing.T) {
	t.Parallel()
	const (
		waitingClients = 300
		clientTimeout  = 1200 * time.Millisecond
		lateLimit      = 500 * time.Millisecond // by which an answer may be later than the client's timeout
	)
	shortDeadlines := strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 1.2`, `"objectiveS": 10`, `"objectiveS": 1`).Replace
	g := startTestGatewayWith(t, func(config string) string { return fewDescriptors(shortDeadlines(config)) }, newPeer(t))
	table := g.server.clientConnections
	slow := make([]net.Conn, table.maxConns)
	for i := range slow {
		text := requestText("POST", "payment", strings.Repeat("x", 1000))
		slow[i] = dial(t, g.address, text[:len(text)-999])
	}
	awaitCondition(t, "the table is not full of incomplete requests", func() bool {
		return table.countByPhase()[phaseOpen] == table.maxConns
	})
	go func() {
		for t.Context().Err() == nil {
			for _, conn := range slow {
				io.WriteString(conn, "x")
			}
			time.Sleep(maxStall / 4)
		}
	}()
	for range waitingClients {
		dial(t, g.address, "")
	}
	begin := time.Now()
	conn := dial(t, g.address, requestText("GET", "lookup", "", timeLeftHeader, strconv.FormatInt(clientTimeout.Milliseconds(), 10)))
	conn.Read(make([]byte, 1)) // an answer or the end of the connection
	if took := time.Since(begin); took > clientTimeout+lateLimit {
		t.Errorf("neither an answer nor a close for %v", took)
	}
}
