// Package discovery stands in for discovery: the list of backends, whole or as
// what changed, with watches that wait for a change.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/netstats"
)

const (
	listPath        = "/registry/instances"
	maxWatchTimeout = 60 * time.Second
	maxChanges      = 1024 // kept; a caller with an older version gets the whole list
	lifecycleGone   = "Gone"
)

// Options say how the registry paces itself.
type Options struct {
	FullListsPerSecond float64 // whole lists it hands out a second over all callers, the rest wait in turn; 0: no bound
}

// Stats is what the registry has done since its start.
type Stats struct {
	Calls, FullLists, DeltaLists uint64 // calls, and answers to them: whole lists and lists of changes, empty ones too
	Entries                      uint64 // instances in these answers
	Traffic                      netstats.Traffic
}

// Server is the stand-in. Its methods may be called from many goroutines.
type Server struct {
	fullListLimiter *rateLimiter

	mu         sync.Mutex
	generation int64
	instances  []gateway.EndpointEntry
	indexByID  map[string]int // in instances, by id
	changes    []change       // the last ones, each a generation
	changed    chan struct{}  // closed at the next change
	fullList   *encodedList   // of this generation; nil until asked for
	deltaLists map[int64]*encodedList

	callCount, fullListCount, deltaListCount, entryCount atomic.Uint64

	listener   *netstats.Listener
	httpServer *http.Server
	serving    sync.WaitGroup
}

// change is what one call of Change told.
type change struct {
	generation int64
	entries    []gateway.EndpointEntry
}

// encodedList is a list that is encoded once and handed to many.
type encodedList struct {
	body    []byte
	entries int
	full    bool
}

// New makes a registry of version 1 with these instances.
func New(instances []gateway.EndpointEntry, o Options) *Server {
	s := &Server{generation: 1, indexByID: make(map[string]int), changed: make(chan struct{}), deltaLists: make(map[int64]*encodedList)}
	s.apply(instances)
	if o.FullListsPerSecond > 0 {
		s.fullListLimiter = newRateLimiter(o.FullListsPerSecond)
	}
	return s
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
func (s *Server) Start(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listener = netstats.Listen(l)
	ctx, cancel := context.WithCancel(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, s.handleList)
	s.httpServer = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	context.AfterFunc(ctx, func() { s.listener.CloseAll() })
	if s.fullListLimiter != nil {
		s.serving.Go(func() { s.fullListLimiter.run(ctx) })
	}
	s.serving.Go(func() {
		defer cancel()
		s.httpServer.Serve(s.listener)
	})
	return l.Addr().String(), nil
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

// ApplyDelta applies a delta, in which a Gone instance leaves the list, and wakes the
// watches. It returns the new version.
func (s *Server) ApplyDelta(entries []gateway.EndpointEntry) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.apply(entries)
	s.changes = append(s.changes, change{s.generation, entries})
	if excess := len(s.changes) - maxChanges; excess > 0 {
		s.changes = s.changes[excess:]
	}
	s.fullList = nil
	clear(s.deltaLists)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.generation
}

// Stats returns the counts so far. It needs a Start before.
func (s *Server) Stats() Stats {
	return Stats{Calls: s.callCount.Load(), FullLists: s.fullListCount.Load(), DeltaLists: s.deltaListCount.Load(),
		Entries: s.entryCount.Load(), Traffic: s.listener.Traffic()}
}

// apply puts entries into the list.
func (s *Server) apply(entries []gateway.EndpointEntry) {
	for _, e := range entries {
		i, known := s.indexByID[e.ID]
		switch {
		case e.Lifecycle != lifecycleGone && known:
			s.instances[i] = e
		case e.Lifecycle != lifecycleGone:
			s.indexByID[e.ID] = len(s.instances)
			s.instances = append(s.instances, e)
		case known:
			last := len(s.instances) - 1
			s.instances[i] = s.instances[last]
			s.indexByID[s.instances[i].ID] = i
			s.instances = s.instances[:last]
			delete(s.indexByID, e.ID)
		}
	}
}

// handleList answers a call.
func (s *Server) handleList(w http.ResponseWriter, req *http.Request) {
	s.callCount.Add(1)
	query := req.URL.Query()
	since, err1 := queryInt(query, "since")
	timeoutMillis, err2 := queryInt(query, "timeout_ms")
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.Duration(min(timeoutMillis, maxWatchTimeout.Milliseconds())) * time.Millisecond
	listing, ok := s.awaitList(req.Context(), since, timeout)
	if !ok {
		return
	}
	if listing.full {
		s.fullListCount.Add(1)
	} else {
		s.deltaListCount.Add(1)
	}
	s.entryCount.Add(uint64(listing.entries))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(listing.body)))
	w.Write(listing.body)
}

// queryInt returns a whole number of a query, 0 if it isn't there.
func queryInt(query url.Values, key string) (int64, error) {
	if !query.Has(key) {
		return 0, nil
	}
	n, err := strconv.ParseUint(query.Get(key), 10, 63)
	return int64(n), err
}

// awaitList returns the answer for a caller that has version since (0: none) once
// there is something newer or the time is over. ok is false if ctx ends first.
func (s *Server) awaitList(ctx context.Context, since int64, timeout time.Duration) (listing *encodedList, ok bool) {
	s.mu.Lock()
	if since == s.generation && timeout > 0 {
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, false
		}
		s.mu.Lock()
	}
	if !s.hasChangesSince(since) && s.fullListLimiter != nil {
		s.mu.Unlock()
		if !s.fullListLimiter.wait(ctx) {
			return nil, false
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if s.hasChangesSince(since) {
		return s.deltaSince(since), true
	}
	return s.currentFullList(), true
}

// hasChangesSince tells whether all changes after a version are known.
func (s *Server) hasChangesSince(since int64) bool {
	return since > 0 && since <= s.generation && since >= s.generation-int64(len(s.changes))
}

func (s *Server) currentFullList() *encodedList {
	if s.fullList == nil {
		s.fullList = s.encode(s.instances, true)
	}
	return s.fullList
}

// deltaSince returns the last word on each instance that changed after a version.
func (s *Server) deltaSince(since int64) *encodedList {
	if listing := s.deltaLists[since]; listing != nil {
		return listing
	}
	entries, indexByID := []gateway.EndpointEntry{}, make(map[string]int)
	for _, c := range s.changes {
		if c.generation <= since {
			continue
		}
		for _, e := range c.entries {
			if i, known := indexByID[e.ID]; known {
				entries[i] = e
				continue
			}
			indexByID[e.ID] = len(entries)
			entries = append(entries, e)
		}
	}
	listing := s.encode(entries, false)
	s.deltaLists[since] = listing
	return listing
}

func (s *Server) encode(entries []gateway.EndpointEntry, full bool) *encodedList {
	if entries == nil {
		entries = []gateway.EndpointEntry{} // null would be no list
	}
	body, err := json.Marshal(gateway.EndpointList{Generation: s.generation, Reset: full, Entries: entries})
	if err != nil {
		panic(err) // an infinite weight, which the lab never makes
	}
	return &encodedList{body: body, entries: len(entries), full: full}
}
