// Package counter stands in for the counter service of the protocol: named totals
// with a lifetime, calls pipelined on HTTP/1.1, and a service time that limits the
// rate of calls. The protocol's limit on the connections of one gateway is left out,
// since on loopback all callers look alike.
package counter

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberlb/internal/lab/netstats"
)

// Options are the counter's capacity: Shards / ServiceTime calls a second, if names
// are spread evenly.
type Options struct {
	Shards      int           // names are spread over so many by xxhash; each serves one call at a time
	ServiceTime time.Duration // length of a call's turn at its shard
	MaxQueued   int           // calls that wait at a shard at most; further ones are rejected with 503
}

// Stats is what the counter has done since its start.
type Stats struct {
	Calls     uint64 // calls read completely
	Rejected  uint64 // of these, answered 503
	Names     int    // alive now
	PeakNames int    // alive at one time, at most
	Traffic   netstats.Traffic
}

// Counter is the stand-in. Its methods may be called from many goroutines.
type Counter struct {
	options   Options
	startedAt time.Time
	shards    []*shard

	currentFault atomic.Pointer[faultState]
	faultMu      sync.Mutex // held while state is replaced

	callCount     atomic.Uint64
	rejectedCount atomic.Uint64
	nameCount     atomic.Int64
	peakNames     atomic.Int64

	listener *netstats.Listener
	serving  sync.WaitGroup
	closed   atomic.Bool // no response is written any more
}

// New makes a counter without a fault. Shards under 1 count as 1.
func New(options Options) *Counter {
	options.Shards = max(options.Shards, 1)
	c := &Counter{options: options, startedAt: time.Now(), shards: make([]*shard, options.Shards)}
	for i := range c.shards {
		c.shards[i] = &shard{names: make(map[string]*entry)}
	}
	c.currentFault.Store(&faultState{Fault: Fault{SlowFactor: 1}})
	return c
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
func (c *Counter) Start(ctx context.Context) (address string, err error) {
	listener, err := netstats.ListenLoopback()
	if err != nil {
		return "", err
	}
	c.listener = listener
	context.AfterFunc(ctx, func() { c.closeListener() })
	c.serving.Go(func() { c.listener.Serve(&c.serving, c.serve) })
	return listener.Addr().String(), nil
}

// Close resets all connections and waits for their goroutines.
func (c *Counter) Close() error {
	if c.listener == nil {
		return nil
	}
	err := c.closeListener()
	c.serving.Wait()
	return err
}

// closeListener resets all connections and ends the service.
func (c *Counter) closeListener() error {
	c.closed.Store(true)
	return c.listener.CloseAll()
}

// Stats returns the counts so far. Start must have been called.
func (c *Counter) Stats() Stats {
	stats := Stats{Calls: c.callCount.Load(), Rejected: c.rejectedCount.Load(), Traffic: c.listener.Traffic()}
	for _, s := range c.shards {
		s.mu.Lock()
		c.nameCount.Add(-int64(s.evictExpired(c.now())))
		s.mu.Unlock()
	}
	stats.Names = int(c.nameCount.Load())
	stats.PeakNames = int(c.peakNames.Load())
	return stats
}

// Reset removes all names, as a restart of the counter does.
func (c *Counter) Reset() {
	for _, s := range c.shards {
		s.mu.Lock()
		c.nameCount.Add(-int64(s.removeAll()))
		s.mu.Unlock()
	}
}

// now is the time since the counter was made.
func (c *Counter) now() time.Duration { return time.Since(c.startedAt) }

// handleCall takes a call's turn at its shard and returns the response.
func (c *Counter) handleCall(fault *faultState, parsed call) response {
	s := c.shards[xxhash.Sum64(parsed.name)%uint64(len(c.shards))]
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.now()
	if fault.Rejecting {
		return c.reject()
	}
	due, ok := s.schedule(fault.serviceClock(now), c.options.ServiceTime, c.options.MaxQueued)
	if !ok {
		return c.reject()
	}
	total, created, expired := s.add(now, parsed.name, parsed.amount, parsed.lifetime)
	c.countNames(created, expired)
	return response{status: http.StatusOK, total: total, due: due}
}

// countNames counts a name that was created, if one was, and those that expired before.
func (c *Counter) countNames(created bool, expired int) {
	count := c.nameCount.Add(-int64(expired))
	if created {
		count = c.nameCount.Add(1)
	}
	for {
		peak := c.peakNames.Load()
		if count <= peak || c.peakNames.CompareAndSwap(peak, count) {
			return
		}
	}
}

// reject counts a call that is rejected and returns its response.
func (c *Counter) reject() response {
	c.rejectedCount.Add(1)
	return response{status: http.StatusServiceUnavailable}
}
