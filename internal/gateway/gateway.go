package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"reflect"
	"sync"
	"time"

	"amberlb/policy"
)

const (
	reserved     = 64              // descriptors for the counter, discovery and the runtime
	clientShare  = 0.75            // of the other descriptors, for clients; backends get the rest
	clientMemory = 0.25            // of the memory, for what stands idle with clients
	clientCost   = 24 << 10        // bytes of an idle connection: two buffers, a stack and its entries in tables
	knownAfter   = 3 * time.Second // without discovery, the list known from before has to do
)

// Reload tells a running gateway that its configuration has been replaced.
type Reload struct {
	Signal <-chan os.Signal
	Read   func() (Config, error) // the new configuration
}

// Run serves clients until ctx ends, then answers what it holds and returns.
func Run(ctx context.Context, c *Config, reload Reload) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return serve(ctx, c, listener, reload)
}

// mostClients is how many connections of clients the limits bear.
func (c *Config) mostClients() int {
	bySockets := clientShare * float64(c.Sockets-reserved)
	byMemory := clientMemory * float64(c.MemoryMB<<20) / clientCost
	return int(min(bySockets, byMemory))
}

// gateway is a running gateway: its parts, and what ends them.
type gateway struct {
	config  *Config
	log     *slog.Logger
	front   *frontend
	clients *clients
	server  *http.Server
	served  chan error // the end of the server's accepting
	calls   *counter   // nil where the deployment has none

	inner     context.Context // of all parts but those of the clients; it ends after them
	parts     sync.WaitGroup
	discovery string // the address that is watched
	unwatch   func() // ends the watch and waits for its end
}

func serve(ctx context.Context, c *Config, listener net.Listener, reload Reload) error {
	most := c.mostClients()
	pools := newPools(seconds(c.ConnectTimeout), seconds(c.KeepAlive), c.Sockets-reserved-most)
	g := &gateway{config: c, log: c.logger()}
	if c.Settings.Counter {
		g.calls = newCounter(c.Counter, seconds(c.CounterTimeout))
	}
	g.front = &frontend{deploy: &c.Deployment}
	loop := newLoop(c, pools, g.calls, func() { g.ready("discovery") })
	g.front.loop = loop

	inner, stop := context.WithCancel(context.Background())
	g.inner = inner
	defer loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer g.parts.Wait()
	defer stop()
	loop.list(c.Known, policy.CachedList)
	g.parts.Go(func() { loop.run(inner) })
	g.parts.Go(func() { pools.sweep(inner) })
	g.parts.Go(func() { loop.metrics.report(inner, g.log) })
	if g.calls != nil {
		g.parts.Go(func() { g.calls.run(inner) })
	}
	g.watch(c.Discovery, len(c.Known.Instances) > 0)
	known := time.AfterFunc(knownAfter, func() {
		if len(c.Known.Instances) > 0 {
			g.ready("the list known from before")
		}
	})
	defer known.Stop()

	g.clients = newClients(listener, most)
	g.clients.metrics, g.clients.log = &loop.metrics, g.log
	g.server = g.front.server(g.clients, c.longestDeadline()+seconds(c.AnswerSlack))
	g.server.ErrorLog = slog.NewLogLogger(g.log.Handler(), slog.LevelWarn)
	g.served = make(chan error, 1)
	g.parts.Go(func() { g.served <- g.server.Serve(g.clients) })
	g.log.Info("started", "listen", listener.Addr().String(), "discovery", c.Discovery, "counter", c.Counter,
		"known_backends", len(c.Known.Instances), "most_clients", most)
	asked := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { asked <- time.Now() })() // a reload may be under way
	for {
		select {
		case err := <-g.served:
			return fmt.Errorf("clients: %w", err)
		case at := <-asked:
			return g.shutdown(at)
		case <-reload.Signal:
			g.reload(reload.Read)
		}
	}
}

// ready lets the front send clients here, once.
func (g *gateway) ready(list string) {
	if g.front.ready.CompareAndSwap(false, true) {
		g.log.Info("ready", "list", list)
	}
}

// watch follows discovery at an address. inUse tells that requests are sent by an
// older list meanwhile.
func (g *gateway) watch(address string, inUse bool) {
	ctx, cancel := context.WithCancel(g.inner)
	ended := make(chan struct{})
	w := newWatcher(address, seconds(g.config.DrainGrace), inUse, g.front.loop.hear)
	w.log = g.log
	g.parts.Go(func() {
		defer close(ended)
		w.run(ctx)
	})
	g.discovery = address
	g.unwatch = func() { cancel(); <-ended }
}

// reload takes up the addresses of a new configuration. One that can't be read or
// run with changes nothing.
func (g *gateway) reload(read func() (Config, error)) {
	next, err := read()
	if err != nil {
		g.log.Warn("the old configuration stays", "error", err)
		return
	}
	c := g.config
	if g.calls != nil && next.Settings.Counter {
		g.calls.move(next.Counter)
	}
	if next.Discovery != g.discovery {
		// A version of the old address may mean nothing to the new one. The new watch
		// starts from the whole list; until that comes, the old list stands.
		g.unwatch()
		g.watch(next.Discovery, true)
	}
	restart := next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
		next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment)
	g.log.Info("discovery and counter are as the new configuration says", "discovery", next.Discovery,
		"counter", next.Counter, "rest_needs_restart", restart)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
