// Package counter is a stand-in for the protocol's counter service. It holds named totals
// that expire after a lifetime, accepts pipelined HTTP/1.1 calls, and limits the rate of
// calls by a service time. It doesn't enforce the protocol's limit on the connections of
// one gateway, since on loopback it can't tell gateways apart by their address.
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

// Options define the counter's capacity, which is Shards / ServiceTime calls a second if
// the calls are spread evenly over the shards.
type Options struct {
	Shards      int           // number of shards, each serving one call at a time; xxhash spreads the names
	ServiceTime time.Duration // time for which a call occupies its shard
	MaxQueued   int           // largest number of calls waiting at a shard; further calls are rejected with 503
}

// Stats holds the counts since the start of the counter.
type Stats struct {
	Calls     uint64 // calls read completely
	Rejected  uint64 // calls rejected with 503
	Names     int    // names that exist now
	PeakNames int    // largest number of names that existed at the same time
	Traffic   netstats.Traffic
}

// Counter is the stand-in for the counter service. Its methods may be called concurrently.
type Counter struct {
	options   Options
	startedAt time.Time
	shards    []*shard

	currentFault atomic.Pointer[faultState]
	faultMu      sync.Mutex // held while currentFault is replaced

	callCount     atomic.Uint64
	rejectedCount atomic.Uint64
	nameCount     atomic.Int64
	peakNames     atomic.Int64

	listener *netstats.Listener
	serving  sync.WaitGroup
	closed   atomic.Bool // Close was called or the context of Start ended; no response is written any more
}

// New creates a counter with no fault. If options.Shards is below 1, the counter has one shard.
func New(options Options) *Counter {
	options.Shards = max(options.Shards, 1)
	c := &Counter{options: options, startedAt: time.Now(), shards: make([]*shard, options.Shards)}
	for i := range c.shards {
		c.shards[i] = &shard{names: make(map[string]*entry)}
	}
	c.currentFault.Store(&faultState{Fault: Fault{SlowFactor: 1}})
	return c
}

// Start listens on a port of 127.0.0.1 that the system chooses, and serves until
// ctx ends or Close is called.
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

// Close stops listening, resets all connections and waits until their goroutines have ended.
func (c *Counter) Close() error {
	if c.listener == nil {
		return nil
	}
	err := c.closeListener()
	c.serving.Wait()
	return err
}

// closeListener closes the listener and resets all connections, without waiting for their goroutines.
func (c *Counter) closeListener() error {
	c.closed.Store(true)
	return c.listener.CloseAll()
}

// Stats returns the counts so far. Start must have been called before.
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

// Reset removes all names, as a restart of a counter service does.
func (c *Counter) Reset() {
	for _, s := range c.shards {
		s.mu.Lock()
		c.nameCount.Add(-int64(s.removeAll()))
		s.mu.Unlock()
	}
}

// now returns the time since the counter was created.
func (c *Counter) now() time.Duration { return time.Since(c.startedAt) }

// handleCall schedules a call at its shard, adds its amount to the total, and returns the response. A call that the
// shard or the fault rejects adds nothing.
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

// countNames updates the number of names and its peak after a call. The parameter created is true if the call
// created a name. The parameter expired is the number of expired names that the call removed first.
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

// reject counts a rejected call and returns its response.
func (c *Counter) reject() response {
	c.rejectedCount.Add(1)
	return response{status: http.StatusServiceUnavailable}
}
