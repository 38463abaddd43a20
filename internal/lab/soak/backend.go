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

// Behavior defines how a backend handles one request.
type Behavior struct {
	ServiceTime time.Duration // time from the request to its response
	Hang        bool          // send no response
}

// BackendAttempt is a backend's record of one attempt of a request. Times are on the run's clock.
type BackendAttempt struct {
	ID          string // id of the request
	Backend     string
	FirstByteAt time.Duration // time at which the first byte of the request was read
	ReceivedAt  time.Duration // time at which the request was complete
	EndedAt     time.Duration // time of the response or of the end of the connection; 0: neither came during the run
	Timeout     time.Duration // time for which the gateway waits for the response, from the timeout header
	Responded   bool
}

// Backend is a stand-in for one backend. Its methods may be called concurrently.
type Backend struct {
	acceptor
	Name     string
	clock    Clock
	behavior func(now time.Duration) Behavior

	mu       sync.Mutex
	attempts []*BackendAttempt
}

// StartBackend starts a backend on a port of 127.0.0.1 that the system chooses. The function behavior is called
// once for each request. Calls may be concurrent.
func StartBackend(name string, clock Clock, behavior func(now time.Duration) Behavior) (*Backend, error) {
	b := &Backend{Name: name, clock: clock, behavior: behavior}
	if err := b.listen(); err != nil {
		return nil, err
	}
	b.start(b.serveConn)
	return b, nil
}

// Attempts returns the attempts that the backend has received so far.
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

// serveRequest serves the next request of a connection. It returns false if no further request can be read from the
// connection.
func (b *Backend) serveRequest(conn net.Conn, reader *bufio.Reader) (reusable bool) {
	attempt, err := b.receive(reader)
	if err != nil {
		return false
	}
	responded := respond(conn, reader, attempt.ID, b.behavior(attempt.ReceivedAt))
	b.mu.Lock()
	defer b.mu.Unlock()
	attempt.EndedAt = b.clock.Now()
	attempt.Responded = responded
	return responded
}

// receive reads the next request and records it. It returns an error, and records nothing, if the connection fails or
// the request is malformed.
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
	timeoutMillis, _ := strconv.Atoi(request.Header.Get(timeoutHeader)) // 0 if the header is missing or invalid
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

// respond waits for the service time, sends the response, whose body is the request's id, and returns true. It returns
// false if the connection ends before the response is sent. If the backend hangs, respond sends no response, waits for
// the end of the connection and returns false.
func respond(conn net.Conn, reader *bufio.Reader, id string, behavior Behavior) bool {
	if behavior.Hang {
		reader.ReadByte() // returns when the connection ends, since no further request is sent on it
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

// watchClose watches for the end of a connection while no bytes are expected on it; it closes peerClosed when the
// connection ends. The returned function stop ends the watch. Once stop has returned, the connection may be read again.
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
		conn.SetReadDeadline(time.Unix(1, 0)) // in the past, so that the pending Peek fails at once
		<-done
		conn.SetReadDeadline(time.Time{})
	}
}

// isTimeout reports whether an error was caused by a read or write deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
