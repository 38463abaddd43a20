// Package backend is a stand-in for a fleet of backends. Each backend has its own address
// in 127.0.0.0/8; a few listeners serve all of them.
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

// maxConns is the limit of open connections to all backends together. A connection above the limit is closed at once.
const maxConns = 20_000

// Options configure the backends.
type Options struct {
	ServiceTime time.Duration // service time of each request; constant, since the load already makes latencies vary
	Listeners   int           // number of listeners, each on its own port, over which the backends are spread
}

// Stats holds the counts of all backends since the start of the pool.
type Stats struct {
	Requests            uint64 // excluding health checks
	Probes              uint64 // health checks: calls of /health/live and /stats
	Handshakes          uint64 // connections accepted
	OpenConns           int    // connections open now
	PeakConns           int    // largest number of connections open at the same time
	PeakConnsPerBackend int    // largest number of connections open at the same time to one backend
	BackendsReached     int    // number of backends that got at least one request
	Traffic             netstats.Traffic
}

// Pool serves the requests of all backends. Its methods may be called concurrently.
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
	endpoints           map[netip.AddrPort]*endpoint // backends that have had a connection, by address
}

// endpoint is the state of one backend.
type endpoint struct {
	openConns int
	reached   bool // the backend has received a request
}

// New creates a pool. If options.Listeners is below 1, the pool has one listener.
func New(options Options) *Pool {
	options.Listeners = max(options.Listeners, 1)
	return &Pool{options: options, endpoints: make(map[netip.AddrPort]*endpoint)}
}

// Start listens on ports that the system chooses, and serves until ctx ends or
// Close is called.
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

// listenOnLoopbackDevice listens on one port of all addresses, and binds the socket to the loopback device. The port
// can then be reached at every address of 127.0.0.0/8, but not from other machines.
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

// Close stops listening, resets all connections and waits until their goroutines have ended.
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

// connStats returns the counts that are guarded by mu.
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

// connOpened counts a new connection to the backend at an address and returns the backend's state. It returns nil
// if maxConns connections are already open.
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

// connClosed counts the close of a connection to a backend.
func (p *Pool) connClosed(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.openConns--
	p.openConns--
}

// countRequest counts a request to a backend.
func (p *Pool) countRequest(e *endpoint) {
	p.requests.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !e.reached {
		e.reached = true
		p.backendsReached++
	}
}
