package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Trouble is what a proxy does to the bytes that pass it. The zero value passes them on as they come.
type Trouble struct {
	MostDelay  time.Duration // each piece is held for up to this
	SplitShare float64       // of the pieces that are passed on in two
	ResetShare float64       // of the connections that are reset at a random moment of their use
	MostUse    time.Duration // up to when after its start such a connection is reset
}

const proxyBuffer = 16 << 10

// Proxy passes the bytes of connections on to another address, with some trouble. Its methods may be called from many
// goroutines.
type Proxy struct {
	target   string
	trouble  Trouble
	listener net.Listener
	passing  sync.WaitGroup

	conns connSet

	mu      sync.Mutex
	rng     *rand.Rand
	refused map[string]bool // addresses of clients for whom the target was not to be reached
	silent  bool            // nothing passes
	silence chan struct{}   // closed as the next silence begins
}

// StartProxy starts a proxy on a port of loopback that the system chooses.
func StartProxy(target string, trouble Trouble, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, trouble: trouble, listener: l, rng: rand.New(rand.NewPCG(seed, 1)),
		refused: map[string]bool{}, silence: make(chan struct{})}
	p.passing.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Refused tells whether the connection of a client from this address never reached the target.
func (p *Proxy) Refused(client net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[client.String()]
}

// Silence keeps all from passing, or ends that. What passed through a connection that has been silent is lost: it stays
// silent until one of its ends closes it.
func (p *Proxy) Silence(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if silent && !p.silent {
		close(p.silence)
		p.silence = make(chan struct{})
	}
	p.silent = silent
}

// heard returns a channel that is closed once a connection that begins now has fallen silent.
func (p *Proxy) heard() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		over := make(chan struct{})
		close(over)
		return over
	}
	return p.silence
}

// Close ends all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.conns.close()
	p.passing.Wait()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.passing.Go(func() { p.pass(near.(*net.TCPConn)) })
	}
}

// pass carries one connection until both of its directions have ended.
func (p *Proxy) pass(near *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, dialLimit)
	if err != nil {
		p.mu.Lock()
		p.refused[near.RemoteAddr().String()] = true
		p.mu.Unlock()
		near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	if !p.conns.add(near, far) {
		return
	}
	defer p.conns.remove(near, far)
	if p.chance(p.trouble.ResetShare) {
		reset := time.AfterFunc(p.span(p.trouble.MostUse), func() { abort(near, far) })
		defer reset.Stop()
	}
	silent := p.heard()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, silent) })
	both.Go(func() { p.copy(near, far, silent) })
	both.Wait()
}

// copy carries one direction, its end included.
func (p *Proxy) copy(to, from *net.TCPConn, silent <-chan struct{}) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			if err != nil {
				abort(to, from)
				return
			}
			continue
		default:
		}
		if n > 0 {
			if p.write(to, buffer[:n]) != nil {
				from.Close() // the other end is gone: what still comes has nowhere to go
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.CloseWrite()
			return
		case err != nil:
			abort(to, from)
			return
		}
	}
}

// write passes a piece on, late or in two.
func (p *Proxy) write(to net.Conn, piece []byte) error {
	if p.trouble.MostDelay > 0 {
		time.Sleep(p.span(p.trouble.MostDelay))
	}
	if len(piece) > 1 && p.chance(p.trouble.SplitShare) {
		half := 1 + int(p.span(time.Duration(len(piece)-1)))
		if _, err := to.Write(piece[:half]); err != nil {
			return err
		}
		piece = piece[half:]
		time.Sleep(p.span(p.trouble.MostDelay))
	}
	_, err := to.Write(piece)
	return err
}

// abort resets both ends.
func abort(conns ...*net.TCPConn) {
	for _, conn := range conns {
		conn.SetLinger(0)
		conn.Close()
	}
}

func (p *Proxy) chance(share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// span is a random time below most.
func (p *Proxy) span(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(most)))
}
