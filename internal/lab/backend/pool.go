// Package backend stands in for a fleet of backends. Each has an address of its own
// in 127.0.0.0/8; a few listeners serve them all.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/netstats"
	"amberlb/internal/lab/request"
)

const (
	idleTimeout  = 30 * time.Second // a connection that rests so long is closed
	writeTimeout = 10 * time.Second // for a caller that doesn't read its answer
	maxConns     = 20_000           // over all backends; a further one is closed at once
	maxLineBytes = 4 << 10          // bytes of a line of a request

	// MostInstances is how many backends one origin can be.
	MaxInstances = 1 << 23
	firstIP      = 127<<24 | 1<<16 // 127.1.0.0, clear of 127.0.0.1
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"

// Options say what a backend is.
type Options struct {
	ServiceTime time.Duration // of each request; the load brings the variance
	Listeners   int           // ports; addresses are spread over them
}

// Stats is what the backends have seen since the start.
type Stats struct {
	Requests, Probes                          uint64 // probes: calls of /health/live and /stats, which are not among the requests
	Handshakes                                uint64 // connections accepted
	OpenConns, PeakConns, PeakConnsPerBackend int    // connections: now, at most, and at most at one backend
	BackendsReached                           int    // distinct backends that got a request
	Traffic                                   netstats.Traffic
}

// Pool is the stand-in. Its methods may be called from many goroutines.
type Pool struct {
	options   Options
	listeners []*netstats.Listener
	serving   sync.WaitGroup

	requests, probes atomic.Uint64

	mu                  sync.Mutex
	handshakes          uint64
	openConns           int
	peakConns           int
	peakConnsPerBackend int
	backendsReached     int
	endpoints           map[netip.AddrPort]*endpoint // those that ever had a connection
}

// endpoint is what is known of one address.
type endpoint struct {
	openConns int
	reached   bool
}

// New makes an origin. Listeners under 1 count as 1.
func New(o Options) *Pool {
	o.Listeners = max(o.Listeners, 1)
	return &Pool{options: o, endpoints: make(map[netip.AddrPort]*endpoint)}
}

// Start listens on ports that the system chooses, and serves until ctx ends or
// Close. The listeners are bound to the loopback device, so that every address of
// 127.0.0.0/8 reaches them and nothing from outside does.
func (p *Pool) Start(ctx context.Context) error {
	loopbackConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.BindToDevice(int(fd), "lo") }); e != nil {
			return e
		}
		return err
	}}
	for range p.options.Listeners {
		l, err := loopbackConfig.Listen(ctx, "tcp4", "0.0.0.0:0")
		if err != nil {
			return errors.Join(err, p.Close())
		}
		t := netstats.Listen(l)
		p.listeners = append(p.listeners, t)
		context.AfterFunc(ctx, func() { t.CloseAll() })
		p.serving.Go(func() { t.Serve(&p.serving, p.serve) })
	}
	return nil
}

// Close resets all connections and waits for their goroutines.
func (p *Pool) Close() error {
	var err error
	for _, l := range p.listeners {
		err = errors.Join(err, l.CloseAll())
	}
	p.serving.Wait()
	return err
}

// Instances returns n backends with their addresses, spread over zones and kinds in
// turn. It needs a Start before; n is MostInstances at most.
func (p *Pool) Instances(n int, zones, kinds []string) []gateway.EndpointEntry {
	list := make([]gateway.EndpointEntry, n)
	for i := range list {
		ip := firstIP + i
		port := p.listeners[i%len(p.listeners)].Addr().(*net.TCPAddr).Port
		list[i] = gateway.EndpointEntry{ID: fmt.Sprintf("b-%05d", i+1), Lifecycle: "Ready", Weight: 1,
			HostPort: fmt.Sprintf("%d.%d.%d.%d:%d", ip>>24, ip>>16&255, ip>>8&255, ip&255, port)}
		if len(zones) > 0 {
			list[i].Zone = zones[i%len(zones)]
		}
		if len(kinds) > 0 {
			list[i].MachineType = kinds[i/max(len(zones), 1)%len(kinds)]
		}
	}
	return list
}

// Stats returns the counts so far.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	s := Stats{Requests: p.requests.Load(), Probes: p.probes.Load(), Handshakes: p.handshakes,
		OpenConns: p.openConns, PeakConns: p.peakConns, PeakConnsPerBackend: p.peakConnsPerBackend, BackendsReached: p.backendsReached}
	p.mu.Unlock()
	for _, l := range p.listeners {
		s.Traffic = s.Traffic.Plus(l.Traffic())
	}
	return s
}

// serve answers the requests of one connection, one at a time.
func (p *Pool) serve(nc net.Conn) {
	defer nc.Close()
	e := p.connOpened(nc.LocalAddr())
	if e == nil {
		return
	}
	defer p.connClosed(e)
	r := bufio.NewReaderSize(nc, maxLineBytes)
	var q request.Request
	for {
		nc.SetReadDeadline(time.Now().Add(idleTimeout))
		if err := q.Read(r); err != nil {
			return
		}
		if t := string(q.Target); t == "/health/live" || t == "/stats" {
			p.probes.Add(1)
		} else {
			p.countRequest(e)
			time.Sleep(p.options.ServiceTime)
		}
		nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := nc.Write([]byte(okResponse)); err != nil || q.Close {
			return
		}
	}
}

// connOpened counts a connection to the backend at an address, nil if there are too
// many.
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

func (p *Pool) connClosed(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.openConns--
	p.openConns--
}

func (p *Pool) countRequest(e *endpoint) {
	p.requests.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !e.reached {
		e.reached = true
		p.backendsReached++
	}
}
