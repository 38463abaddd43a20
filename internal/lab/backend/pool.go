// Package backend stands in for a fleet of backends. Each has an address of its own
// in 127.0.0.0/8; a few listeners serve them all.
package backend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"amberlb/internal/lab/netstats"
)

// maxConns is the most open connections of all backends; a further one is closed at once.
const maxConns = 20_000

// Options say what the backends do.
type Options struct {
	ServiceTime time.Duration // of each request; the load brings the variance
	Listeners   int           // number of ports, over which the backends are spread
}

// Stats is what the backends have seen since the start.
type Stats struct {
	Requests            uint64 // without health checks
	Probes              uint64 // health checks: calls of /health/live and /stats
	Handshakes          uint64 // connections accepted
	OpenConns           int    // connections open now
	PeakConns           int    // connections open at one time, at most
	PeakConnsPerBackend int    // connections open at one time at one backend, at most
	BackendsReached     int    // distinct backends that got a request
	Traffic             netstats.Traffic
}

// Pool is the stand-in. Its methods may be called from many goroutines.
type Pool struct {
	options   Options
	listeners []*netstats.Listener
	serving   sync.WaitGroup

	requests atomic.Uint64
	probes   atomic.Uint64

	mu                  sync.Mutex
	handshakes          uint64
	openConns           int
	peakConns           int
	peakConnsPerBackend int
	backendsReached     int
	endpoints           map[netip.AddrPort]*endpoint // those that ever had a connection
}

// endpoint is the state of one backend.
type endpoint struct {
	openConns int
	reached   bool // it got a request
}

// New makes a pool. Listeners under 1 count as 1.
func New(options Options) *Pool {
	options.Listeners = max(options.Listeners, 1)
	return &Pool{options: options, endpoints: make(map[netip.AddrPort]*endpoint)}
}

// Start listens on ports that the system chooses, and serves until ctx ends or
// Close.
func (p *Pool) Start(ctx context.Context) error {
	for range p.options.Listeners {
		inner, err := listenOnLoopbackDevice(ctx)
		if err != nil {
			return errors.Join(err, p.Close())
		}
		listener := netstats.Listen(inner)
		p.listeners = append(p.listeners, listener)
		context.AfterFunc(ctx, func() { listener.CloseAll() })
		p.serving.Go(func() { listener.Serve(&p.serving, p.serve) })
	}
	return nil
}

// listenOnLoopbackDevice listens on a port of all addresses, but bound to the loopback
// device, so that every address of 127.0.0.0/8 reaches it and nothing from outside does.
func listenOnLoopbackDevice(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, rawConn syscall.RawConn) error {
		var bindErr error
		controlErr := rawConn.Control(func(fd uintptr) { bindErr = unix.BindToDevice(int(fd), "lo") })
		if controlErr != nil {
			return controlErr
		}
		return bindErr
	}}
	return config.Listen(ctx, "tcp4", "0.0.0.0:0")
}

// Close resets all connections and waits for their goroutines.
func (p *Pool) Close() error {
	var err error
	for _, listener := range p.listeners {
		err = errors.Join(err, listener.CloseAll())
	}
	p.serving.Wait()
	return err
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	stats := p.connStats()
	stats.Requests = p.requests.Load()
	stats.Probes = p.probes.Load()
	for _, listener := range p.listeners {
		stats.Traffic = stats.Traffic.Plus(listener.Traffic())
	}
	return stats
}

// connStats returns the counts that mu guards.
func (p *Pool) connStats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Handshakes:          p.handshakes,
		OpenConns:           p.openConns,
		PeakConns:           p.peakConns,
		PeakConnsPerBackend: p.peakConnsPerBackend,
		BackendsReached:     p.backendsReached,
	}
}

// connOpened counts a connection to the backend at an address. It returns nil if too many
// are open.
func (p *Pool) connOpened(address net.Addr) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= maxConns {
		return nil
	}
	addrPort := address.(*net.TCPAddr).AddrPort()
	e := p.endpoints[addrPort]
	if e == nil {
		e = new(endpoint)
		p.endpoints[addrPort] = e
	}
	e.openConns++
	p.openConns++
	p.handshakes++
	p.peakConns = max(p.peakConns, p.openConns)
	p.peakConnsPerBackend = max(p.peakConnsPerBackend, e.openConns)
	return e
}

// connClosed counts the close of a connection.
func (p *Pool) connClosed(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.openConns--
	p.openConns--
}

// countRequest counts a request at a backend.
func (p *Pool) countRequest(e *endpoint) {
	p.requests.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !e.reached {
		e.reached = true
		p.backendsReached++
	}
}
