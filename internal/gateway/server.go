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
	reservedFDs       = 64              // descriptors for the counter, discovery and the runtime
	clientFDShare     = 0.75            // of the other descriptors, for clients; backends get the rest
	clientMemoryShare = 0.25            // of the memory, for what stands idle with clients
	clientConnBytes   = 24 << 10        // bytes of an idle connection: two buffers, a stack and its entries in tables
	cachedListDelay   = 3 * time.Second // without discovery, the list known from before has to do
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

// maxClientConns is how many connections of clients the limits bear.
func (c *Config) maxClientConns() int {
	bySockets := clientFDShare * float64(c.Sockets-reservedFDs)
	byMemory := clientMemoryShare * float64(c.MemoryMB<<20) / clientConnBytes
	return int(min(bySockets, byMemory))
}

// server is a running gateway: its parts, and what ends them.
type server struct {
	config            *Config
	log               *slog.Logger
	frontend          *frontend
	clientConnections *clientConnections
	httpServer        *http.Server
	serveErr          chan error     // the end of the server's accepting
	counter           *counterClient // nil where the deployment has none

	partsContext     context.Context // of all parts but those of the clients; it ends after them
	parts            sync.WaitGroup
	discoveryAddress string // the address that is watched
	stopWatch        func() // ends the watch and waits for its end
}

func serve(ctx context.Context, config *Config, listener net.Listener, reload Reload) error {
	maxClients := config.maxClientConns()
	pools := newConnectionPools(seconds(config.ConnectTimeout), seconds(config.IdleTimeout), config.Sockets-reservedFDs-maxClients)
	s := &server{config: config, log: config.logger()}
	if config.Settings.Counter {
		s.counter = newCounterClient(config.Counter, seconds(config.CounterTimeout))
	}
	s.frontend = &frontend{deployment: &config.Deployment}
	loop := newEventLoop(config, pools, s.counter, func() { s.markReady("discovery") })
	s.frontend.loop = loop

	partsContext, stopParts := context.WithCancel(context.Background())
	s.partsContext = partsContext
	defer loop.attempts.Wait() // after the loop, which starts them, and the sweep, which ends them
	defer s.parts.Wait()
	defer stopParts()
	loop.applyEndpointList(config.CachedEndpoints, policy.CachedList)
	s.parts.Go(func() { loop.run(partsContext) })
	s.parts.Go(func() { pools.sweepIdle(partsContext) })
	s.parts.Go(func() { loop.metrics.logPeriodically(partsContext, s.log) })
	if s.counter != nil {
		s.parts.Go(func() { s.counter.run(partsContext) })
	}
	s.watchDiscovery(config.Discovery, len(config.CachedEndpoints.Entries) > 0)
	cachedListTimer := time.AfterFunc(cachedListDelay, func() {
		if len(config.CachedEndpoints.Entries) > 0 {
			s.markReady("the list known from before")
		}
	})
	defer cachedListTimer.Stop()

	s.clientConnections = newClientConnections(listener, maxClients)
	s.clientConnections.metrics, s.clientConnections.log = &loop.metrics, s.log
	s.httpServer = s.frontend.newServer(s.clientConnections, config.longestDeadline()+seconds(config.AnswerSlack))
	s.httpServer.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	s.serveErr = make(chan error, 1)
	s.parts.Go(func() { s.serveErr <- s.httpServer.Serve(s.clientConnections) })
	s.log.Info("started", "listen", listener.Addr().String(), "discovery", config.Discovery, "counter", config.Counter,
		"known_backends", len(config.CachedEndpoints.Entries), "most_clients", maxClients)
	stopRequested := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { stopRequested <- time.Now() })() // a reload may be under way
	for {
		select {
		case err := <-s.serveErr:
			return fmt.Errorf("clients: %w", err)
		case requestedAt := <-stopRequested:
			return s.shutdown(requestedAt)
		case <-reload.Signal:
			s.reload(reload.Read)
		}
	}
}

// markReady lets the front send clients here, once.
func (s *server) markReady(list string) {
	if s.frontend.ready.CompareAndSwap(false, true) {
		s.log.Info("ready", "list", list)
	}
}

// watchDiscovery follows discovery at an address. listInUse tells that requests are sent by an
// older list meanwhile.
func (s *server) watchDiscovery(address string, listInUse bool) {
	ctx, cancel := context.WithCancel(s.partsContext)
	ended := make(chan struct{})
	watcher := newDiscoveryWatcher(address, seconds(s.config.DrainGrace), listInUse, s.frontend.loop.endpointsUpdated)
	watcher.log = s.log
	s.parts.Go(func() {
		defer close(ended)
		watcher.run(ctx)
	})
	s.discoveryAddress = address
	s.stopWatch = func() { cancel(); <-ended }
}

// reload takes up the addresses of a new configuration. One that can't be read or
// run with changes nothing.
func (s *server) reload(read func() (Config, error)) {
	next, err := read()
	if err != nil {
		s.log.Warn("the old configuration stays", "error", err)
		return
	}
	c := s.config
	if s.counter != nil && next.Settings.Counter {
		s.counter.setAddress(next.Counter)
	}
	if next.Discovery != s.discoveryAddress {
		// A version of the old address may mean nothing to the new one. The new watch
		// starts from the whole list; until that comes, the old list stands.
		s.stopWatch()
		s.watchDiscovery(next.Discovery, true)
	}
	restart := next.Listen != c.Listen || next.Sockets != c.Sockets || next.MemoryMB != c.MemoryMB ||
		next.Cores != c.Cores || !reflect.DeepEqual(next.Deployment, c.Deployment)
	s.log.Info("discovery and counter are as the new configuration says", "discovery", next.Discovery,
		"counter", next.Counter, "rest_needs_restart", restart)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
