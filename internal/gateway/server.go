package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"amberlb/policy"
)

// cachedListDelay is how long a started gateway waits for discovery; then the cached list has to do.
const cachedListDelay = 3 * time.Second

// Run serves clients until ctx ends, then shuts down gracefully. It returns nil if every client has had its answer.
func Run(ctx context.Context, c *Config, reload Reload) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return serve(ctx, c, listener, reload)
}

// serve is Run on an open listener, which it closes.
func serve(ctx context.Context, config *Config, listener net.Listener, reload Reload) error {
	s := newServer(config, listener)
	s.start()
	defer s.stop()
	return s.run(ctx, reload)
}

// server is a running gateway. It owns the goroutines of all parts, which stop awaits; the goroutines of client
// connections belong to the HTTP server, and those of attempts to the event loop.
type server struct {
	config            *Config
	log               *slog.Logger
	frontend          *frontend
	pools             *connectionPools
	counter           *counterClient // nil where the deployment has none
	clientConnections *clientConnections
	httpServer        *http.Server
	serveErr          chan error // the end of the HTTP server's accepting

	componentsContext context.Context // of all parts but the HTTP server; it ends after the last client connection
	stopComponents    context.CancelFunc
	components        sync.WaitGroup

	cachedListTimer  *time.Timer
	discoveryAddress string // the address that is watched
	stopWatch        func() // ends the watch and waits for its end
}

// newServer makes the parts of a gateway and connects them. Nothing runs before start.
func newServer(config *Config, listener net.Listener) *server {
	s := &server{
		config:   config,
		log:      config.logger(),
		frontend: &frontend{deployment: &config.Deployment},
		pools:    newConnectionPools(seconds(config.ConnectTimeout), seconds(config.IdleTimeout), config.maxBackendConns()),
		serveErr: make(chan error, 1),
	}
	if config.Settings.Counter {
		s.counter = newCounterClient(config.Counter, seconds(config.CounterTimeout))
	}
	loop := newEventLoop(config, s.pools, s.counter, func() { s.markReady("discovery") })
	s.frontend.loop = loop
	s.componentsContext, s.stopComponents = context.WithCancel(context.Background())

	s.clientConnections = newClientConnections(listener, config.maxClientConns())
	s.clientConnections.metrics = &loop.metrics
	s.clientConnections.log = s.log
	maxRequestTime := config.longestDeadline() + seconds(config.AnswerSlack)
	s.httpServer = s.frontend.newHTTPServer(s.clientConnections, maxRequestTime)
	s.httpServer.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	return s
}

// start runs the parts, the HTTP server last, on goroutines that stop awaits.
func (s *server) start() {
	loop := s.frontend.loop
	loop.applyEndpointList(s.config.CachedEndpoints, policy.CachedList)
	s.components.Go(func() { loop.run(s.componentsContext) })
	s.components.Go(func() { s.pools.sweepIdle(s.componentsContext) })
	s.components.Go(func() { loop.metrics.logPeriodically(s.componentsContext, s.log) })
	if s.counter != nil {
		s.components.Go(func() { s.counter.run(s.componentsContext) })
	}
	hasCachedList := len(s.config.CachedEndpoints.Entries) > 0
	s.watchDiscovery(s.config.Discovery, hasCachedList)
	s.cachedListTimer = time.AfterFunc(cachedListDelay, func() {
		if hasCachedList {
			s.markReady("cached")
		}
	})
	s.components.Go(func() { s.serveErr <- s.httpServer.Serve(s.clientConnections) })
	s.log.Info("started", "listen", s.clientConnections.Addr().String(), "discovery", s.config.Discovery,
		"counter", s.config.Counter, "cached_backends", len(s.config.CachedEndpoints.Entries),
		"max_client_connections", s.clientConnections.maxConns)
}

// run serves until ctx ends, and then for the time of a graceful shutdown. It returns early if the HTTP server fails.
func (s *server) run(ctx context.Context, reload Reload) error {
	// The moment is taken at once: a reload may be under way.
	shutdownRequested := make(chan time.Time, 1)
	defer context.AfterFunc(ctx, func() { shutdownRequested <- time.Now() })()
	for {
		select {
		case err := <-s.serveErr:
			return fmt.Errorf("clients: %w", err)
		case requestedAt := <-shutdownRequested:
			return s.shutdown(requestedAt)
		case <-reload.Signal:
			s.reload(reload.Read)
		}
	}
}

// stop ends the parts and waits for their goroutines. Attempts are awaited last: the loop starts them, and the sweep of
// the pools ends them.
func (s *server) stop() {
	s.cachedListTimer.Stop()
	s.stopComponents()
	s.components.Wait()
	s.frontend.loop.attempts.Wait()
}

// markReady has readiness checks answered with 200 from now on. source is where the first list of backends came from.
func (s *server) markReady(source string) {
	if s.frontend.ready.CompareAndSwap(false, true) {
		s.log.Info("ready", "list", source)
	}
}

// watchDiscovery follows discovery at an address. listInUse says that requests are forwarded by an older list meanwhile.
func (s *server) watchDiscovery(address string, listInUse bool) {
	ctx, cancel := context.WithCancel(s.componentsContext)
	ended := make(chan struct{})
	watcher := newDiscoveryWatcher(address, seconds(s.config.DrainGrace), listInUse, s.frontend.loop.endpointsUpdated)
	watcher.log = s.log
	s.components.Go(func() {
		defer close(ended)
		watcher.run(ctx)
	})
	s.discoveryAddress = address
	s.stopWatch = func() {
		cancel()
		<-ended
	}
}
