// Package counter stands in for the counter service of the protocol: named
// totals with a life, calls pipelined on HTTP/1.1, and a service time that bounds
// what it bears. The bound on connections of one gateway is left out, since on
// loopback all callers look alike.
package counter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberlb/internal/lab/netstats"
)

// Options say what the counter bears: Parts / Service calls a second, if names
// are spread evenly.
type Options struct {
	Shards      int           // names are spread over so many by xxhash; each serves one call at a time
	ServiceTime time.Duration // a call's turn at its part
	MaxQueued   int           // calls that wait at a part at most; more are turned away with 503
}

// Fault is how the counter ails. The zero value is well.
type Fault struct {
	// Silent: it reads calls, adds nothing and answers nothing, as if cut off. Its
	// connections are reset when the silence ends.
	Blackhole  bool
	Rejecting  bool    // it turns every call away with 503
	SlowFactor float64 // turns take so many times as long, those under way too; 0: 1
}

// Stats is what the counter has done since its start.
type Stats struct {
	Calls, Rejected  uint64 // calls read whole, and those of them that got 503
	Names, PeakNames int    // alive now, and at most at once
	Traffic          netstats.Traffic
}

// Counter is the stand-in. Its methods may be called from many goroutines.
type Counter struct {
	options   Options
	startedAt time.Time
	shards    []*shard
	state     atomic.Pointer[faultState]
	stateMu   sync.Mutex // changes of state

	callCount, rejectedCount atomic.Uint64
	nameCount, peakNames     atomic.Int64
	closed                   atomic.Bool // no answer is written any more

	listener *netstats.Listener
	serving  sync.WaitGroup
}

// faultState is a fault with the clock of service, which a slow counter's parts go by:
// it stood at served when the fault began at since, and runs slowed from there.
type faultState struct {
	Fault
	faultStart, serviceClockAtFault time.Duration
}

// serviceClock returns what the clock of service shows.
func (s *faultState) serviceClock(now time.Duration) time.Duration {
	return s.serviceClockAtFault + time.Duration(float64(now-s.faultStart)/s.SlowFactor)
}

// New makes a counter that is well. Parts under 1 count as 1.
func New(o Options) *Counter {
	o.Shards = max(o.Shards, 1)
	c := &Counter{options: o, startedAt: time.Now(), shards: make([]*shard, o.Shards)}
	for i := range c.shards {
		c.shards[i] = &shard{names: make(map[string]*entry)}
	}
	c.state.Store(&faultState{Fault: Fault{SlowFactor: 1}})
	return c
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
func (c *Counter) Start(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.listener = netstats.Listen(l)
	context.AfterFunc(ctx, func() { c.closeListener() })
	c.serving.Go(func() { c.listener.Serve(&c.serving, c.serve) })
	return l.Addr().String(), nil
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

func (c *Counter) closeListener() error {
	c.closed.Store(true)
	return c.listener.CloseAll()
}

// Stats returns the counts so far. It needs a Start before.
func (c *Counter) Stats() Stats {
	s := Stats{Calls: c.callCount.Load(), Rejected: c.rejectedCount.Load(), Traffic: c.listener.Traffic()}
	for _, p := range c.shards {
		p.mu.Lock()
		c.nameCount.Add(-int64(p.evictExpired(c.now())))
		p.mu.Unlock()
	}
	s.Names, s.PeakNames = int(c.nameCount.Load()), int(c.peakNames.Load())
	return s
}

// SetFault makes the counter ail in this way from now on.
func (c *Counter) SetFault(f Fault) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	if f.SlowFactor <= 0 {
		f.SlowFactor = 1
	}
	now, old := c.now(), c.state.Load()
	c.state.Store(&faultState{Fault: f, faultStart: now, serviceClockAtFault: old.serviceClock(now)})
	if old.Blackhole && !f.Blackhole {
		// A connection that swallowed a call stays mute until then, so no later call
		// gets the answer in its place.
		c.listener.ResetConns()
	}
}

// Reset loses all names, as a counter that starts anew.
func (c *Counter) Reset() {
	for _, p := range c.shards {
		p.mu.Lock()
		c.nameCount.Add(-int64(p.removeAll()))
		p.mu.Unlock()
	}
}

func (c *Counter) now() time.Duration { return time.Since(c.startedAt) }

// handleCall serves one call and returns its answer.
func (c *Counter) handleCall(fault *faultState, name []byte, amount float64, lifetime time.Duration) response {
	p := c.shards[xxhash.Sum64(name)%uint64(len(c.shards))]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.now()
	if fault.Rejecting {
		return c.reject()
	}
	due, ok := p.reserveTurn(fault.serviceClock(now), c.options.ServiceTime, c.options.MaxQueued)
	if !ok {
		return c.reject()
	}
	total, created, expired := p.add(now, name, amount, lifetime)
	alive := c.nameCount.Add(-int64(expired))
	if created {
		alive = c.nameCount.Add(1)
	}
	for peak := c.peakNames.Load(); alive > peak && !c.peakNames.CompareAndSwap(peak, alive); {
		peak = c.peakNames.Load()
	}
	return response{status: statusOK, total: total, due: due}
}

func (c *Counter) reject() response {
	c.rejectedCount.Add(1)
	return response{status: statusOverloaded}
}
