package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// exchange is one request that a backend has received whole.
type exchange struct {
	backend   *backend
	conn      net.Conn
	id        string
	method    string
	path      string
	timeLeft  time.Duration // as the gateway states it
	body      []byte
	firstByte time.Time
	lastByte  time.Time
	ran       bool // the backend has begun to run the request; set by serve
}

// answerBody is the body of the answer that a backend makes for a request. It names the request, so that a client can tell
// the answer to its own request.
func answerBody(id string) string { return "answer to " + id + "\n" }

// answerText is the whole answer with a length.
func answerText(id string) string {
	body := answerBody(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// backend is a stand-in of a backend. serve answers a request; the connection is closed if it returns false.
type backend struct {
	name     string
	address  string
	listener net.Listener
	serve    func(x *exchange) bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	got   []*exchange
}

func startBackend(name string, serve func(x *exchange) bool) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		name: name, address: listener.Addr().String(), listener: listener, serve: serve, conns: map[net.Conn]struct{}{},
	}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.handle(conn)
	}
}

// handle serves the requests of a connection, one at a time.
func (b *backend) handle(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		x := &exchange{backend: b, conn: c, firstByte: time.Now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x.body, err = io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x.lastByte = time.Now()
		x.id = request.Header.Get("X-Correlation-Id")
		x.method, x.path = request.Method, request.URL.Path
		if millis, err := strconv.Atoi(request.Header.Get("X-Time-Left-Ms")); err == nil {
			x.timeLeft = time.Duration(millis) * time.Millisecond
		}
		b.mu.Lock()
		b.got = append(b.got, x)
		b.mu.Unlock()
		if !b.serve(x) || request.Close {
			return
		}
	}
}

// requests returns the requests that have been received whole.
func (b *backend) requests() []*exchange {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*exchange(nil), b.got...)
}

// close ends the backend and resets its connections, as the end of a process does.
func (b *backend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// servePlain returns a serve function that answers after the given time.
func servePlain(work func(x *exchange) time.Duration) func(x *exchange) bool {
	return func(x *exchange) bool {
		x.ran = true
		time.Sleep(work(x))
		_, err := io.WriteString(x.conn, answerText(x.id))
		return err == nil
	}
}
