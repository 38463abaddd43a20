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

// cachedListDelay is how long a started gateway waits for a list from discovery before it becomes ready with the
// cached list.
const cachedListDelay = 3 * time.Second

// Run serves clients until ctx ends, then shuts down gracefully. It returns nil if every client has received its
// answer.
func Run(ctx context.Context, c *Config, reload Reload) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	return newServer(c, listener).serve(ctx, reload)
}

// server is a running gateway. It owns the goroutines of the components, and the method stop waits for them. The
// HTTP server owns the goroutines of client connections, and the event loop owns the goroutines of attempts.
type server struct {
	config            *Config
	log               *slog.Logger
	frontend          *frontend
	pools             *connectionPools
	counter           *counterClient // nil if the deployment has no counter
	discovery         *discoveryWatcher
	clientConnections *clientConnections
	httpServer        *http.Server
	serveErr          chan error // receives the error with which the HTTP server stops accepting

	componentsContext context.Context // for all components but the HTTP server; ends after client connections are closed
	stopComponents    context.CancelFunc
	components        sync.WaitGroup

	cachedListTimer *time.Timer
}

// newServer creates and connects the components of a gateway. The method serve runs them, and closes the listener.
func newServer(config *Config, listener net.Listener) *server {
	limits := config.limits()
	s := &server{
		config:   config,
		log:      config.logger(),
		frontend: newFrontend(config),
		pools:    newConnectionPools(toDuration(config.ConnectTimeout), toDuration(config.IdleTimeout), limits.backendConns),
		serveErr: make(chan error, 1),
	}
	s.pools.memory = newMemoryBudget(responsesKind, limits.responseBytes, s.log)
	if config.Settings.HasCounter {
		s.counter = newCounterClient(config.Counter, toDuration(config.CounterTimeout))
	}
	engineConfig := *config
	engineConfig.Settings.MaxCustomers = limits.customers
	loop := newEventLoop(&engineConfig, s.pools, s.counter, func() { s.markReady("discovery") })
	s.frontend.loop = loop
	s.discovery = newDiscoveryWatcher(config.Discovery, toDuration(config.DrainGrace), config.hasCachedList(),
		loop.postEndpointList)
	s.discovery.log = s.log
	s.discovery.metrics = &loop.metrics
	s.componentsContext, s.stopComponents = context.WithCancel(context.Background())

	s.clientConnections = newClientConnections(listener, limits.clientConns)
	s.clientConnections.metrics = &loop.metrics
	s.clientConnections.memory = s.frontend.memory
	s.clientConnections.log = s.log
	s.clientConnections.retryAfter = s.frontend.retryAfter()
	s.clientConnections.maxHeadWait = toDuration(config.shortestDeadline() * maxMemoryWaitShare)
	s.clientConnections.maxSlotWait = max(minMaxSlotWait, toDuration(config.shortestDeadline()))
	maxRequestTime := config.longestDeadline() + toDuration(config.AnswerSlack)
	s.httpServer = s.frontend.newHTTPServer(s.clientConnections, maxRequestTime)
	s.httpServer.ErrorLog = slog.NewLogLogger(s.log.Handler(), slog.LevelWarn)
	return s
}

// serve serves clients until ctx ends, then shuts down gracefully. It returns nil if every client has received its
// answer.
func (s *server) serve(ctx context.Context, reload Reload) error {
	s.start()
	defer s.stop()
	return s.run(ctx, reload)
}

// start runs the components in goroutines, and starts the HTTP server last. The method stop waits for the goroutines.
func (s *server) start() {
	loop := s.frontend.loop
	loop.applyEndpointList(s.config.CachedEndpoints, policy.CachedList)
	s.components.Go(func() { loop.run(s.componentsContext) })
	s.components.Go(func() { s.pools.sweepIdle(s.componentsContext) })
	s.components.Go(func() { s.logCountsPeriodically(s.componentsContext) })
	s.components.Go(func() { s.newMemoryWatch().run(s.componentsContext) })
	if s.counter != nil {
		s.components.Go(func() { s.counter.run(s.componentsContext) })
	}
	s.components.Go(func() { s.discovery.run(s.componentsContext) })
	s.cachedListTimer = time.AfterFunc(cachedListDelay, func() {
		if s.config.hasCachedList() {
			s.markReady("cached")
		}
	})
	s.components.Go(func() { s.serveErr <- s.httpServer.Serve(s.clientConnections) })
	s.log.Info("started", "listen", s.clientConnections.Addr().String(), "discovery", s.config.Discovery,
		"counter", s.config.Counter, "cached_backends", len(s.config.CachedEndpoints.Entries),
		"max_client_connections", s.clientConnections.maxConns)
}

// run serves until ctx ends, and then until a graceful shutdown is complete. It returns early if the HTTP server
// fails.
func (s *server) run(ctx context.Context, reload Reload) error {
	// AfterFunc records the time as soon as ctx ends, because this goroutine may be busy with a reload.
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

// stop ends the components and waits for their goroutines. It waits for attempts last, because the event loop starts
// attempts, and attempts end when sweepIdle closes the pools.
func (s *server) stop() {
	s.cachedListTimer.Stop()
	s.stopComponents()
	s.components.Wait()
	s.frontend.loop.attempts.Wait()
}

// markReady makes readiness checks succeed from now on, until the gateway drains. The argument source is the origin of
// the first endpoint list, for the log line: "discovery" or "cached".
func (s *server) markReady(source string) {
	if s.frontend.ready.CompareAndSwap(false, true) {
		s.log.Info("ready", "list", source)
	}
}
