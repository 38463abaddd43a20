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
	Hang        bool          // there is no answer
}

// BackendAttempt is what a backend saw of one request.
type BackendAttempt struct {
	ID, Backend string
	FirstByteAt time.Duration // its first byte came
	ReceivedAt  time.Duration // it was whole
	EndedAt     time.Duration // it was answered, or its connection ended; 0: neither until the run's end
	Timeout     time.Duration // the time that the gateway said it would wait
	Answered    bool
}

// Backend is a stand-in for one backend. Its methods may be called from many goroutines.
type Backend struct {
	Name     string
	clock    Clock
	behavior func(now time.Duration) Behavior
	listener net.Listener
	serving  sync.WaitGroup

	conns connSet

	mu       sync.Mutex
	attempts []*BackendAttempt
}

// StartBackend starts a backend on a port of loopback that the system chooses. behavior is asked once for each request;
// it may be called from many goroutines.
func StartBackend(name string, clock Clock, behavior func(now time.Duration) Behavior) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, clock: clock, behavior: behavior, listener: l}
	b.serving.Go(b.accept)
	return b, nil
}

// Address is where the backend listens.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close ends all connections and waits for their goroutines.
func (b *Backend) Close() {
	b.listener.Close()
	b.conns.close()
	b.serving.Wait()
}

// Attempts returns what the backend has seen so far.
func (b *Backend) Attempts() []BackendAttempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]BackendAttempt, len(b.attempts))
	for i, a := range b.attempts {
		all[i] = *a
	}
	return all
}

func (b *Backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.conns.add(conn) {
			return
		}
		b.serving.Go(func() {
			defer b.conns.remove(conn)
			r := bufio.NewReader(conn)
			for b.serveOne(conn, r) {
			}
		})
	}
}

// serveOne serves the next request of a connection. It returns false once the connection has no further use.
func (b *Backend) serveOne(conn net.Conn, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	first := b.clock.Now()
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	ms, _ := strconv.Atoi(req.Header.Get(timeHeader))
	a := &BackendAttempt{ID: req.Header.Get(idHeader), Backend: b.Name, FirstByteAt: first, ReceivedAt: b.clock.Now(),
		Timeout: time.Duration(ms) * time.Millisecond}
	b.mu.Lock()
	b.attempts = append(b.attempts, a)
	b.mu.Unlock()
	planned := b.behavior(a.ReceivedAt)
	answered := false
	switch {
	case planned.Hang:
		r.ReadByte() // returns as the connection ends: no further request is due on it
	default:
		ended, stop := watchClose(conn, r)
		select {
		case <-time.After(planned.ServiceTime):
			stop()
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.ID), a.ID)
			answered = err == nil
		case <-ended:
		}
	}
	b.mu.Lock()
	a.EndedAt, a.Answered = b.clock.Now(), answered
	b.mu.Unlock()
	return answered
}

// watchClose reports the end of a connection on which nothing is due. stop ends the watch, and waits for its end.
func watchClose(conn net.Conn, r *bufio.Reader) (peerClosed <-chan struct{}, stop func()) {
	done, closed := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := r.Peek(1); err != nil && !isTimeout(err) {
			close(closed)
		}
	}()
	return closed, func() {
		conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		conn.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
