package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// NetworkFaults is what a proxy does to the bytes that pass it. The zero value forwards them as they come.
type NetworkFaults struct {
	MaxDelay      time.Duration // each piece is delayed by a random time below this
	SplitShare    float64       // share of the pieces that are forwarded in two
	ResetShare    float64       // share of the connections that are reset at a random moment of their use
	MaxResetDelay time.Duration // such a connection is reset within this time of its start
}

// Proxy forwards the bytes of connections to another address, with faults. Its methods may be called from many
// goroutines.
type Proxy struct {
	acceptor
	target string
	faults NetworkFaults

	mu             sync.Mutex
	rng            *rand.Rand
	failedDials    map[string]bool // addresses of clients for which the target could not be reached
	blackholed     bool            // no bytes pass
	blackholeStart chan struct{}   // closed when the next blackhole begins
}

// StartProxy starts a proxy on a port of loopback that the system chooses.
func StartProxy(target string, faults NetworkFaults, seed uint64) (*Proxy, error) {
	p := &Proxy{
		target:         target,
		faults:         faults,
		rng:            rand.New(rand.NewPCG(seed, 1)),
		failedDials:    map[string]bool{},
		blackholeStart: make(chan struct{}),
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.start(func(conn net.Conn) { p.forward(conn.(*net.TCPConn)) })
	return p, nil
}

// TargetDialFailed tells whether the connection of a client from this address never reached the target.
func (p *Proxy) TargetDialFailed(client net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedDials[client.String()]
}

// SetBlackhole stops all forwarding, or resumes it. Bytes that a connection carried during a blackhole are lost, so
// such a connection stays silent until one of its ends closes it.
func (p *Proxy) SetBlackhole(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.blackholed {
		close(p.blackholeStart)
		p.blackholeStart = make(chan struct{})
	}
	p.blackholed = on
}

// blackholeStarted returns a channel that is closed once a connection that begins now is in a blackhole.
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

// recordFailedDial records that the connection of a client never reached the target.
func (p *Proxy) recordFailedDial(client net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedDials[client.String()] = true
}

// randomlyTrue is true for a share of its calls.
func (p *Proxy) randomlyTrue(share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// randomDelay draws a time below limit; it is 0 where limit is.
func (p *Proxy) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(limit)))
}
