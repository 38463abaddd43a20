package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// NetworkFaults is what a proxy does to the bytes that pass it. The zero value passes them on as they come.
type NetworkFaults struct {
	MaxDelay      time.Duration // each piece is held for up to this
	SplitShare    float64       // of the pieces that are passed on in two
	ResetShare    float64       // of the connections that are reset at a random moment of their use
	MaxResetDelay time.Duration // up to when after its start such a connection is reset
}

const proxyBuffer = 16 << 10

// Proxy passes the bytes of connections on to another address, with some trouble. Its methods may be called from many
// goroutines.
type Proxy struct {
	target     string
	faults     NetworkFaults
	listener   net.Listener
	forwarding sync.WaitGroup

	conns connSet

	mu             sync.Mutex
	rng            *rand.Rand
	unreached      map[string]bool // addresses of clients for whom the target was not to be reached
	blackholed     bool            // nothing passes
	blackholeStart chan struct{}   // closed as the next silence begins
}

// StartProxy starts a proxy on a port of loopback that the system chooses.
func StartProxy(target string, faults NetworkFaults, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, faults: faults, listener: l, rng: rand.New(rand.NewPCG(seed, 1)),
		unreached: map[string]bool{}, blackholeStart: make(chan struct{})}
	p.forwarding.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Unreached tells whether the connection of a client from this address never reached the target.
func (p *Proxy) Unreached(client net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreached[client.String()]
}

// SetBlackhole keeps all from passing, or ends that. What passed through a connection that has been silent is lost: it stays
// silent until one of its ends closes it.
func (p *Proxy) SetBlackhole(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.blackholed {
		close(p.blackholeStart)
		p.blackholeStart = make(chan struct{})
	}
	p.blackholed = on
}

// blackholeStarted returns a channel that is closed once a connection that begins now has fallen silent.
func (p *Proxy) blackholeStarted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blackholed {
		started := make(chan struct{})
		close(started)
		return started
	}
	return p.blackholeStart
}

// Close ends all connections and waits for their goroutines.
func (p *Proxy) Close() {
	p.listener.Close()
	p.conns.close()
	p.forwarding.Wait()
}

func (p *Proxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.forwarding.Go(func() { p.forward(downstream.(*net.TCPConn)) })
	}
}

// forward carries one connection until both of its directions have ended.
func (p *Proxy) forward(downstream *net.TCPConn) {
	conn, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		p.mu.Lock()
		p.unreached[downstream.RemoteAddr().String()] = true
		p.mu.Unlock()
		downstream.Close()
		return
	}
	upstream := conn.(*net.TCPConn)
	if !p.conns.add(downstream, upstream) {
		return
	}
	defer p.conns.remove(downstream, upstream)
	if p.randomlyTrue(p.faults.ResetShare) {
		resetTimer := time.AfterFunc(p.randomDelay(p.faults.MaxResetDelay), func() { resetConns(downstream, upstream) })
		defer resetTimer.Stop()
	}
	blackholed := p.blackholeStarted()
	var directions sync.WaitGroup
	directions.Go(func() { p.copyOneWay(upstream, downstream, blackholed) })
	directions.Go(func() { p.copyOneWay(downstream, upstream, blackholed) })
	directions.Wait()
}

// copyOneWay carries one direction, its end included.
func (p *Proxy) copyOneWay(to, from *net.TCPConn, blackholed <-chan struct{}) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		select {
		case <-blackholed:
			if err != nil {
				resetConns(to, from)
				return
			}
			continue
		default:
		}
		if n > 0 {
			if p.writePiece(to, buffer[:n]) != nil {
				from.Close() // the other end is gone: what still comes has nowhere to go
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.CloseWrite()
			return
		case err != nil:
			resetConns(to, from)
			return
		}
	}
}

// writePiece passes a piece on, late or in two.
func (p *Proxy) writePiece(to net.Conn, piece []byte) error {
	if p.faults.MaxDelay > 0 {
		time.Sleep(p.randomDelay(p.faults.MaxDelay))
	}
	if len(piece) > 1 && p.randomlyTrue(p.faults.SplitShare) {
		half := 1 + int(p.randomDelay(time.Duration(len(piece)-1)))
		if _, err := to.Write(piece[:half]); err != nil {
			return err
		}
		piece = piece[half:]
		time.Sleep(p.randomDelay(p.faults.MaxDelay))
	}
	_, err := to.Write(piece)
	return err
}

// resetConns resets both ends.
func resetConns(conns ...*net.TCPConn) {
	for _, conn := range conns {
		conn.SetLinger(0)
		conn.Close()
	}
}

func (p *Proxy) randomlyTrue(share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// randomDelay is a random time below most.
func (p *Proxy) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(limit)))
}
