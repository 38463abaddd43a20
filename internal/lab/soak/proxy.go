package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// NetworkFaults define the faults that a proxy injects into connections. The zero value defines no faults.
type NetworkFaults struct {
	MaxDelay      time.Duration // upper bound of the random delay of each piece (the bytes of one read)
	SplitShare    float64       // share of the pieces that are forwarded in two parts
	ResetShare    float64       // share of the connections that are reset after a random delay
	MaxResetDelay time.Duration // upper bound of the time from the start of a connection to its reset
}

// Proxy forwards connections to a target address and injects faults into them. Its methods may be called concurrently.
type Proxy struct {
	acceptor
	target string
	faults NetworkFaults

	mu             sync.Mutex
	rng            *rand.Rand
	failedDials    map[string]bool // addresses of clients for whose connections the dial of the target failed
	blackholed     bool            // true during a blackhole, in which nothing is forwarded
	blackholeStart chan struct{}   // closed when the next blackhole begins
}

// StartProxy starts a proxy on a port of 127.0.0.1 that the system chooses.
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

// TargetDialFailed reports whether the proxy could not connect to the target for the connection from a client address.
func (p *Proxy) TargetDialFailed(client net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedDials[client.String()]
}

// SetBlackhole begins or ends a blackhole. The proxy drops all further bytes of each connection that is open during a
// blackhole, until the client or the target closes the connection. It also drops them after the end of the blackhole.
// Connections that are opened after the end of the blackhole are forwarded as usual.
func (p *Proxy) SetBlackhole(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.blackholed {
		close(p.blackholeStart)
		p.blackholeStart = make(chan struct{})
	}
	p.blackholed = on
}

// blackholeStarted returns a channel that is closed once there is a blackhole. During a blackhole, the channel is
// already closed.
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

// recordFailedDial records that the dial of the target failed for the connection of a client.
func (p *Proxy) recordFailedDial(client net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedDials[client.String()] = true
}

// randomlyTrue returns true with the given probability.
func (p *Proxy) randomlyTrue(share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64() < share
}

// randomDelay returns a random duration below limit, or 0 if limit is not above 0.
func (p *Proxy) randomDelay(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(limit)))
}
