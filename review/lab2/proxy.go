package main

import (
	"net"
	"sync"
	"time"
)

// delayProxy forwards connections to an address, and delivers all bytes, and the end of a connection, a fixed time later.
type delayProxy struct {
	address string
	target  string
	delay   time.Duration
}

// startDelayProxy starts a proxy that delays either direction.
func startDelayProxy(target string, delay time.Duration) (*delayProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &delayProxy{address: listener.Addr().String(), target: target, delay: delay}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// serve forwards one connection.
func (p *delayProxy) serve(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		near.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.forward(far, near) })
	both.Go(func() { p.forward(near, far) })
	both.Wait()
	near.Close()
	far.Close()
}

// delayedBytes are bytes that are due at a time; nil bytes are the end of the stream.
type delayedBytes struct {
	due   time.Time
	bytes []byte
}

// forward forwards one direction.
func (p *delayProxy) forward(to, from net.Conn) {
	queue := make(chan delayedBytes, 1024)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- delayedBytes{time.Now().Add(p.delay), buffer[:n]}
			}
			if err != nil {
				queue <- delayedBytes{time.Now().Add(p.delay), nil}
				return
			}
		}
	}()
	for d := range queue {
		time.Sleep(time.Until(d.due))
		if d.bytes == nil {
			break
		}
		if _, err := to.Write(d.bytes); err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	from.SetReadDeadline(time.Now().Add(time.Second)) // the reader above ends soon, also after a failed write
	for range queue {
	}
}
