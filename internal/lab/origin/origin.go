// Package origin stands in for a fleet of backends. Each has an address of its own
// in 127.0.0.0/8; a few listeners serve them all.
package origin

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
	"amberlb/internal/lab/request"
	"amberlb/internal/lab/tally"
)

const (
	idle      = 30 * time.Second // a connection that rests so long is closed
	writeWait = 10 * time.Second // for a caller that doesn't read its answer
	mostConns = 20_000           // over all backends; a further one is closed at once
	mostLine  = 4 << 10          // bytes of a line of a request

	// MostInstances is how many backends one origin can be.
	MostInstances = 1 << 23
	firstIP       = 127<<24 | 1<<16 // 127.1.0.0, clear of 127.0.0.1
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"

// Options say what a backend is.
type Options struct {
	Service   time.Duration // of each request; the load brings the variance
	Listeners int           // ports; addresses are spread over them
}

// Stats is what the backends have seen since the start.
type Stats struct {
	Requests, Probes          uint64 // probes: calls of /health/live and /stats, which are not among the requests
	Handshakes                uint64 // connections accepted
	Open, MostOpen, MostAtOne int    // connections: now, at most, and at most at one backend
	Reached                   int    // distinct backends that got a request
	Wire                      tally.Traffic
}

// Origin is the stand-in. Its methods may be called from many goroutines.
type Origin struct {
	options   Options
	listeners []*tally.Listener
	serving   sync.WaitGroup

	requests, probes atomic.Uint64

	mu         sync.Mutex
	handshakes uint64
	open       int
	mostOpen   int
	mostAtOne  int
	reached    int
	backends   map[netip.AddrPort]*backend // those that ever had a connection
}

// backend is what is known of one address.
type backend struct {
	open    int
	reached bool
}

// New makes an origin. Listeners under 1 count as 1.
func New(o Options) *Origin {
	o.Listeners = max(o.Listeners, 1)
	return &Origin{options: o, backends: make(map[netip.AddrPort]*backend)}
}

// Start listens on ports that the system chooses, and serves until ctx ends or
// Close. The listeners are bound to the loopback device, so that every address of
// 127.0.0.0/8 reaches them and nothing from outside does.
func (o *Origin) Start(ctx context.Context) error {
	onLoopback := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.BindToDevice(int(fd), "lo") }); e != nil {
			return e
		}
		return err
	}}
	for range o.options.Listeners {
		l, err := onLoopback.Listen(ctx, "tcp4", "0.0.0.0:0")
		if err != nil {
			return errors.Join(err, o.Close())
		}
		t := tally.Listen(l)
		o.listeners = append(o.listeners, t)
		context.AfterFunc(ctx, func() { t.Shut() })
		o.serving.Go(func() { t.Serve(&o.serving, o.serve) })
	}
	return nil
}

// Close resets all connections and waits for their goroutines.
func (o *Origin) Close() error {
	var err error
	for _, l := range o.listeners {
		err = errors.Join(err, l.Shut())
	}
	o.serving.Wait()
	return err
}

// Instances returns n backends with their addresses, spread over zones and kinds in
// turn. It needs a Start before; n is MostInstances at most.
func (o *Origin) Instances(n int, zones, kinds []string) []gateway.Instance {
	list := make([]gateway.Instance, n)
	for i := range list {
		ip := firstIP + i
		port := o.listeners[i%len(o.listeners)].Addr().(*net.TCPAddr).Port
		list[i] = gateway.Instance{ID: fmt.Sprintf("b-%05d", i+1), Lifecycle: "Ready", Weight: 1,
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
func (o *Origin) Stats() Stats {
	o.mu.Lock()
	s := Stats{Requests: o.requests.Load(), Probes: o.probes.Load(), Handshakes: o.handshakes,
		Open: o.open, MostOpen: o.mostOpen, MostAtOne: o.mostAtOne, Reached: o.reached}
	o.mu.Unlock()
	for _, l := range o.listeners {
		s.Wire = s.Wire.Plus(l.Traffic())
	}
	return s
}

// serve answers the requests of one connection, one at a time.
func (o *Origin) serve(nc net.Conn) {
	defer nc.Close()
	b := o.opened(nc.LocalAddr())
	if b == nil {
		return
	}
	defer o.closed(b)
	r := bufio.NewReaderSize(nc, mostLine)
	var q request.Request
	for {
		nc.SetReadDeadline(time.Now().Add(idle))
		if err := q.Read(r); err != nil {
			return
		}
		if t := string(q.Target); t == "/health/live" || t == "/stats" {
			o.probes.Add(1)
		} else {
			o.request(b)
			time.Sleep(o.options.Service)
		}
		nc.SetWriteDeadline(time.Now().Add(writeWait))
		if _, err := nc.Write([]byte(okAnswer)); err != nil || q.Close {
			return
		}
	}
}

// opened counts a connection to the backend at an address, nil if there are too
// many.
func (o *Origin) opened(address net.Addr) *backend {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open >= mostConns {
		return nil
	}
	at := address.(*net.TCPAddr).AddrPort()
	b := o.backends[at]
	if b == nil {
		b = new(backend)
		o.backends[at] = b
	}
	b.open++
	o.open++
	o.handshakes++
	o.mostOpen = max(o.mostOpen, o.open)
	o.mostAtOne = max(o.mostAtOne, b.open)
	return b
}

func (o *Origin) closed(b *backend) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b.open--
	o.open--
}

func (o *Origin) request(b *backend) {
	o.requests.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !b.reached {
		b.reached = true
		o.reached++
	}
}
