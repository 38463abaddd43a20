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
	Service time.Duration // before the answer
	Hang    bool          // there is no answer
}

// Attempt is what a backend saw of one request.
type Attempt struct {
	ID, Backend string
	First       time.Duration // its first byte came
	Taken       time.Duration // it was whole
	Ended       time.Duration // it was answered, or its connection ended; 0: neither until the run's end
	Told        time.Duration // the time that the gateway said it would wait
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
	attempts []*Attempt
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
func (b *Backend) Attempts() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Attempt, len(b.attempts))
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
	a := &Attempt{ID: req.Header.Get(idHeader), Backend: b.Name, First: first, Taken: b.clock.Now(),
		Told: time.Duration(ms) * time.Millisecond}
	b.mu.Lock()
	b.attempts = append(b.attempts, a)
	b.mu.Unlock()
	does := b.behavior(a.Taken)
	answered := false
	switch {
	case does.Hang:
		r.ReadByte() // returns as the connection ends: no further request is due on it
	default:
		ended, stop := watch(conn, r)
		select {
		case <-time.After(does.Service):
			stop()
			_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.ID), a.ID)
			answered = err == nil
		case <-ended:
		}
	}
	b.mu.Lock()
	a.Ended, a.Answered = b.clock.Now(), answered
	b.mu.Unlock()
	return answered
}

// watch reports the end of a connection on which nothing is due. stop ends the watch, and waits for its end.
func watch(conn net.Conn, r *bufio.Reader) (ended <-chan struct{}, stop func()) {
	over, gone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		if _, err := r.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	return gone, func() {
		conn.SetReadDeadline(time.Unix(1, 0))
		<-over
		conn.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
