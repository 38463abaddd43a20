package standin

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// Proxy forwards connections to an address and delays every piece of bytes, in both directions, by either min or max,
// at random. The order of the bytes of a connection stays.
type Proxy struct {
	Address  string
	target   string
	answered func(bytes []byte, at time.Time) // called for bytes that have been passed on to the side that connected; may be nil
	min, max time.Duration
	longest  atomic.Int64 // longest delay of a piece, in nanoseconds
	pieces   atomic.Int64
	over     atomic.Int64 // pieces that were delayed by more than max and half a millisecond
}

// StartProxy starts a proxy.
func (l *Lab) StartProxy(target string, minDelay, maxDelay time.Duration, answered func([]byte, time.Time)) (*Proxy, error) {
	listener, err := l.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), target: target, min: minDelay, max: maxDelay, answered: answered}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *Proxy) serve(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	backend := conn.(*net.TCPConn)
	defer client.Close()
	defer backend.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.forward(client, backend, nil)
	}()
	p.forward(backend, client, p.answered)
	<-ended
}

// observe counts the delay that a piece really had.
func (p *Proxy) observe(delay time.Duration) {
	p.pieces.Add(1)
	if delay > p.max+500*time.Microsecond {
		p.over.Add(1)
	}
	for {
		longest := p.longest.Load()
		if int64(delay) <= longest || p.longest.CompareAndSwap(longest, int64(delay)) {
			return
		}
	}
}

// Delays returns how many pieces the proxy has passed on, how many of them more than half a millisecond late, and the
// longest delay.
func (p *Proxy) Delays() (pieces, over int64, longest time.Duration) {
	return p.pieces.Load(), p.over.Load(), time.Duration(p.longest.Load())
}

type piece struct {
	bytes  []byte
	readAt time.Time
	due    time.Time
}

func (p *Proxy) forward(from, to *net.TCPConn, passedOn func([]byte, time.Time)) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			delay := p.min
			if rand.IntN(2) == 0 {
				delay = p.max
			}
			now := time.Now()
			pieces <- piece{buffer[:n], now, now.Add(delay)}
			if err != nil {
				return
			}
		}
	}()
	for next := range pieces {
		SleepUntil(next.due)
		if len(next.bytes) > 0 {
			if _, err := to.Write(next.bytes); err != nil {
				break
			}
			if passedOn != nil {
				passedOn(next.bytes, time.Now())
			}
			p.observe(time.Since(next.readAt))
		}
	}
	to.CloseWrite()
	for range pieces { // until the sender has closed too
	}
}
