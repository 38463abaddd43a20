package discovery

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"amberlb/internal/lab/ctxtime"
)

const (
	listPath        = "/registry/instances"
	maxWatchTimeout = 60 * time.Second
)

// handleList handles a request for the list of backends.
func (s *Server) handleList(w http.ResponseWriter, request *http.Request) {
	s.callCount.Add(1)
	query := request.URL.Query()
	since, sinceErr := queryInt(query, "since")
	timeoutMillis, timeoutErr := queryInt(query, "timeout_ms")
	if err := errors.Join(sinceErr, timeoutErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.Duration(min(timeoutMillis, maxWatchTimeout.Milliseconds())) * time.Millisecond
	encoded, err := s.awaitList(request.Context(), since, timeout)
	if err != nil {
		return // the client has disconnected, or the server is closing
	}
	if s.responseTime != nil && !ctxtime.Sleep(request.Context(), s.responseTime()) {
		return // the client has disconnected, or the server is closing
	}
	s.countList(encoded)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded.body)))
	w.Write(encoded.body)
}

// queryInt parses a query parameter as a non-negative integer. It returns 0 if the query has no such parameter.
func queryInt(query url.Values, key string) (int64, error) {
	if !query.Has(key) {
		return 0, nil
	}
	value, err := strconv.ParseUint(query.Get(key), 10, 63)
	return int64(value), err
}

// awaitList returns the full list or a delta for a client. The parameter since is the generation of the client's list,
// or 0 if the client has no list. If this generation is the current generation, awaitList first waits for a change of
// the list, but at most for the timeout. If the client needs the full list and there is a rate limit, awaitList also
// waits for a permit of the rate limiter. It returns ctx's error if ctx ends during a wait.
func (s *Server) awaitList(ctx context.Context, since int64, timeout time.Duration) (*encodedList, error) {
	if err := s.awaitChange(ctx, since, timeout); err != nil {
		return nil, err
	}
	if s.fullListLimiter != nil && s.needsFullList(since) {
		if err := s.fullListLimiter.wait(ctx); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.since(since), nil
}

// awaitChange waits while the given generation is the current generation, but at most for timeout. It returns ctx's
// error if ctx ends first.
func (s *Server) awaitChange(ctx context.Context, generation int64, timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	changed, current := s.watch()
	if generation != current {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// watch returns the current generation, and a channel that is closed when the next generation is made.
func (s *Server) watch() (changed <-chan struct{}, generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed, s.list.generation
}

// needsFullList reports whether a client needs the full list instead of a delta. The parameter since is the generation
// of the client's list, or 0 if the client has no list.
func (s *Server) needsFullList(since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.list.hasChangesSince(since)
}

// countList counts a list that is about to be sent.
func (s *Server) countList(encoded *encodedList) {
	if encoded.full {
		s.fullListCount.Add(1)
	} else {
		s.deltaListCount.Add(1)
	}
	s.entryCount.Add(uint64(encoded.entries))
}
