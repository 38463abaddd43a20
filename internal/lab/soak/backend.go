package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Behavior is what a backend does with a request.
type Behavior struct {
	ServiceTime time.Duration // before the answer
	Hang        bool          // the request is never answered
}

// BackendAttempt is what a backend saw of one request. Times are of the run's clock.
type BackendAttempt struct {
	ID          string // of the request
	Backend     string
	FirstByteAt time.Duration // when its first byte was read
	ReceivedAt  time.Duration // when it was complete
	EndedAt     time.Duration // when it was answered, or its connection ended; 0: neither until the run's end
	Timeout     time.Duration // how long the gateway said that it would wait
	Answered    bool
}

// Backend is a stand-in for one backend. Its methods may be called from many goroutines.
type Backend struct {
	acceptor
	Name     string
	clock    Clock
	behavior func(now time.Duration) Behavior

	mu       sync.Mutex
	attempts []*BackendAttempt
}

// StartBackend starts a backend on a port of loopback that the system chooses. behavior is called once for each
// request, from many goroutines.
func StartBackend(name string, clock Clock, behavior func(now time.Duration) Behavior) (*Backend, error) {
	b := &Backend{Name: name, clock: clock, behavior: behavior}
	if err := b.listen(); err != nil {
		return nil, err
	}
	b.start(b.serveConn)
	return b, nil
}

// Attempts returns what the backend has seen so far.
func (b *Backend) Attempts() []BackendAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	attempts := make([]BackendAttempt, len(b.attempts))
	for i, attempt := range b.attempts {
		attempts[i] = *attempt
	}
	return attempts
}

// serveConn serves the requests of one connection, one at a time.
func (b *Backend) serveConn(conn net.Conn) {
	if !b.conns.add(conn) {
		return
	}
	defer b.conns.remove(conn)
	reader := bufio.NewReader(conn)
	for reusable := true; reusable; {
		reusable = b.serveRequest(conn, reader)
	}
}

// serveRequest serves the next request of a connection. It returns false once the connection is of no further use.
func (b *Backend) serveRequest(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	attempt, err := b.receive(reader)
	if err != nil {
		return false
	}
	answered := respond(conn, reader, attempt.ID, b.behavior(attempt.ReceivedAt))
	b.mu.Lock()
	defer b.mu.Unlock()
	attempt.EndedAt = b.clock.Now()
	attempt.Answered = answered
	return answered
}

// receive reads the next request and records it. The error is one of the connection or of a malformed request, which
// is not recorded.
func (b *Backend) receive(reader *bufio.Reader) (*BackendAttempt, error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	firstByteAt := b.clock.Now()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, err
	}
	timeoutMillis, _ := strconv.Atoi(request.Header.Get(timeoutHeader)) // 0 if it can't be read
	attempt := &BackendAttempt{
		ID:          request.Header.Get(idHeader),
		Backend:     b.Name,
		FirstByteAt: firstByteAt,
		ReceivedAt:  b.clock.Now(),
		Timeout:     time.Duration(timeoutMillis) * time.Millisecond,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, attempt)
	return attempt, nil
}

// respond answers a request with its id once it is served. It returns false if the connection ended before, as it does
// in any case where the behavior is to hang.
func respond(conn net.Conn, reader *bufio.Reader, id string, behavior Behavior) bool {
	if behavior.Hang {
		reader.ReadByte() // returns as the connection ends: no further request is due on it
		return false
	}
	peerClosed, stopWatch := watchClose(conn, reader)
	select {
	case <-time.After(behavior.ServiceTime):
		stopWatch()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		return err == nil
	case <-peerClosed:
		return false
	}
}

// watchClose reports the end of a connection on which no bytes are due. stop ends the watch and waits for its
// goroutine, after which the connection may be read again.
func watchClose(conn net.Conn, reader *bufio.Reader) (peerClosed <-chan struct{}, stop func()) {
	done := make(chan struct{})
	closed := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil && !isTimeout(err) {
			close(closed)
		}
	}()
	return closed, func() {
		conn.SetReadDeadline(time.Unix(1, 0)) // in the past: the watch returns at once
		<-done
		conn.SetReadDeadline(time.Time{})
	}
}

// isTimeout tells whether an error is that of a deadline that has passed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
