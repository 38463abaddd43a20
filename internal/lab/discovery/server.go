// Package discovery stands in for the discovery service: it sends the list of
// backends, in full or as a delta, to callers that poll it or watch for a change.
package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/netstats"
)

// Options limit the server.
type Options struct {
	FullListsPerSecond float64 // to all callers together; further calls wait for their turn. 0: no limit
}

// Stats is what the server has done since its start.
type Stats struct {
	Calls      uint64
	FullLists  uint64 // sent
	DeltaLists uint64 // sent, empty ones among them
	Entries    uint64 // in the lists sent
	Traffic    netstats.Traffic
}

// Server is the stand-in. Its methods may be called from many goroutines.
type Server struct {
	fullListLimiter *rateLimiter // nil: no limit

	mu      sync.Mutex
	list    *list
	changed chan struct{} // closed at the next change, and replaced

	callCount      atomic.Uint64
	fullListCount  atomic.Uint64
	deltaListCount atomic.Uint64
	entryCount     atomic.Uint64

	listener   *netstats.Listener
	httpServer *http.Server
	serving    sync.WaitGroup
}

// New makes a server whose list is of generation 1 and holds these instances.
func New(instances []gateway.EndpointEntry, options Options) *Server {
	s := &Server{list: newList(instances), changed: make(chan struct{})}
	if options.FullListsPerSecond > 0 {
		s.fullListLimiter = newRateLimiter(options.FullListsPerSecond)
	}
	return s
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
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
		s.httpServer.Serve(s.listener) // the error is that of a closed listener
	})
	return listener.Addr().String(), nil
}

// Close resets all connections and waits for their goroutines.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	err := s.listener.CloseAll()
	s.serving.Wait()
	return errors.Join(err, s.httpServer.Shutdown(context.Background()))
}

// ApplyDelta changes the list by entries, of which those that are Gone are removed, and
// notifies the watches. It returns the new generation.
func (s *Server) ApplyDelta(entries []gateway.EndpointEntry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.applyDelta(entries)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.list.generation
}

// Stats returns the counts so far. Start must have been called.
func (s *Server) Stats() Stats {
	return Stats{
		Calls:      s.callCount.Load(),
		FullLists:  s.fullListCount.Load(),
		DeltaLists: s.deltaListCount.Load(),
		Entries:    s.entryCount.Load(),
		Traffic:    s.listener.Traffic(),
	}
}
