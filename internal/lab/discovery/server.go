// Package discovery is a stand-in for the discovery service. It sends the list of backends
// to its clients, in full or as a delta. Clients poll or watch the list. A watch is a request
// whose response is sent at the next change of the list or after the timeout of the watch.
package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/netstats"
)

// Options configure the server.
type Options struct {
	FullListsPerSecond float64 // rate of full lists for all clients together; requests above the rate wait; 0: no limit

	// ResponseTime returns the time that the response to the next call takes, not counting the time that a watch waits
	// for a change. It may be called concurrently. Nil: responses take no time.
	ResponseTime func() time.Duration
}

// Stats holds the counts since the start of the server. Calls are requests for the list.
type Stats struct {
	Calls      uint64
	FullLists  uint64 // full lists sent
	DeltaLists uint64 // deltas sent, including empty ones
	Entries    uint64 // entries in all lists sent
	Traffic    netstats.Traffic
}

// Server is the stand-in for the discovery service. Its methods may be called concurrently.
type Server struct {
	fullListLimiter *rateLimiter         // nil: no limit
	responseTime    func() time.Duration // Options.ResponseTime

	mu      sync.Mutex
	list    *list
	changed chan struct{} // closed and replaced by a new channel at the next change of the list

	callCount      atomic.Uint64
	fullListCount  atomic.Uint64
	deltaListCount atomic.Uint64
	entryCount     atomic.Uint64

	listener   *netstats.Listener
	httpServer *http.Server
	serving    sync.WaitGroup
}

// New creates a server whose list has generation 1 and contains instances.
func New(instances []gateway.EndpointEntry, options Options) *Server {
	s := &Server{
		list:         newList(instances),
		changed:      make(chan struct{}),
		responseTime: options.ResponseTime,
	}
	if options.FullListsPerSecond > 0 {
		s.fullListLimiter = newRateLimiter(options.FullListsPerSecond)
	}
	return s
}

// Start listens on a port of 127.0.0.1 that the system chooses, and serves until
// ctx ends or Close is called.
func (s *Server) Start(ctx context.Context) (address string, err error) {
	listener, err := netstats.ListenLoopback()
	if err != nil {
		return "", err
	}
	s.listener = listener
	ctx, cancel := context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, s.handleList)
	s.httpServer = &http.Server{
		Handler:     mux,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	context.AfterFunc(ctx, func() { s.listener.CloseAll() })
	if s.fullListLimiter != nil {
		s.serving.Go(func() { s.fullListLimiter.run(ctx) })
	}
	s.serving.Go(func() {
		defer cancel()
		s.httpServer.Serve(s.listener) // returns once the listener is closed
	})
	return listener.Addr().String(), nil
}

// Close stops listening, resets all connections and waits until their goroutines have ended.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	err := s.listener.CloseAll()
	s.serving.Wait()
	return errors.Join(err, s.httpServer.Shutdown(context.Background()))
}

// ApplyDelta adds entries to the list, or replaces the existing entries with the same ids. Entries with the lifecycle
// Gone are removed. ApplyDelta ends the open watches, which get the change as their response, and returns the new
// generation.
func (s *Server) ApplyDelta(entries []gateway.EndpointEntry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.applyDelta(entries)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.list.generation
}

// Stats returns the counts so far. Start must have been called before.
func (s *Server) Stats() Stats {
	return Stats{
		Calls:      s.callCount.Load(),
		FullLists:  s.fullListCount.Load(),
		DeltaLists: s.deltaListCount.Load(),
		Entries:    s.entryCount.Load(),
		Traffic:    s.listener.Traffic(),
	}
}
