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

	"amberlb/internal/lab/tally"
)

// Options say what the counter bears: Parts / Service calls a second, if names
// are spread evenly.
type Options struct {
	Parts   int           // names are spread over so many by xxhash; each serves one call at a time
	Service time.Duration // a call's turn at its part
	Waiting int           // calls that wait at a part at most; more are turned away with 503
}

// Fault is how the counter ails. The zero value is well.
type Fault struct {
	// Silent: it reads calls, adds nothing and answers nothing, as if cut off. Its
	// connections are reset when the silence ends.
	Silent   bool
	Refusing bool    // it turns every call away with 503
	Slow     float64 // turns take so many times as long, those under way too; 0: 1
}

// Stats is what the counter has done since its start.
type Stats struct {
	Calls, TurnedAway uint64 // calls read whole, and those of them that got 503
	Names, MostNames  int    // alive now, and at most at once
	Wire              tally.Traffic
}

// Counter is the stand-in. Its methods may be called from many goroutines.
type Counter struct {
	options Options
	start   time.Time
	parts   []*part
	state   atomic.Pointer[state]
	setting sync.Mutex // changes of state

	calls, turnedAway atomic.Uint64
	names, mostNames  atomic.Int64
	closed            atomic.Bool // no answer is written any more

	listener *tally.Listener
	serving  sync.WaitGroup
}

// state is a fault with the clock of service, which a slow counter's parts go by:
// it stood at served when the fault began at since, and runs slowed from there.
type state struct {
	Fault
	since, served time.Duration
}

// at returns what the clock of service shows.
func (s *state) at(now time.Duration) time.Duration {
	return s.served + time.Duration(float64(now-s.since)/s.Slow)
}

// New makes a counter that is well. Parts under 1 count as 1.
func New(o Options) *Counter {
	o.Parts = max(o.Parts, 1)
	c := &Counter{options: o, start: time.Now(), parts: make([]*part, o.Parts)}
	for i := range c.parts {
		c.parts[i] = &part{names: make(map[string]*name)}
	}
	c.state.Store(&state{Fault: Fault{Slow: 1}})
	return c
}

// Start listens on a port of loopback that the system chooses, and serves until
// ctx ends or Close.
func (c *Counter) Start(ctx context.Context) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.listener = tally.Listen(l)
	context.AfterFunc(ctx, func() { c.shut() })
	c.serving.Go(func() { c.listener.Serve(&c.serving, c.serve) })
	return l.Addr().String(), nil
}

// Close resets all connections and waits for their goroutines.
func (c *Counter) Close() error {
	if c.listener == nil {
		return nil
	}
	err := c.shut()
	c.serving.Wait()
	return err
}

func (c *Counter) shut() error {
	c.closed.Store(true)
	return c.listener.Shut()
}

// Stats returns the counts so far. It needs a Start before.
func (c *Counter) Stats() Stats {
	s := Stats{Calls: c.calls.Load(), TurnedAway: c.turnedAway.Load(), Wire: c.listener.Traffic()}
	for _, p := range c.parts {
		p.mu.Lock()
		c.names.Add(-int64(p.sweep(c.now())))
		p.mu.Unlock()
	}
	s.Names, s.MostNames = int(c.names.Load()), int(c.mostNames.Load())
	return s
}

// Set makes the counter ail in this way from now on.
func (c *Counter) Set(f Fault) {
	c.setting.Lock()
	defer c.setting.Unlock()
	if f.Slow <= 0 {
		f.Slow = 1
	}
	now, old := c.now(), c.state.Load()
	c.state.Store(&state{Fault: f, since: now, served: old.at(now)})
	if old.Silent && !f.Silent {
		// A connection that swallowed a call stays mute until then, so no later call
		// gets the answer in its place.
		c.listener.Reset()
	}
}

// Forget loses all names, as a counter that starts anew.
func (c *Counter) Forget() {
	for _, p := range c.parts {
		p.mu.Lock()
		c.names.Add(-int64(p.forget()))
		p.mu.Unlock()
	}
}

func (c *Counter) now() time.Duration { return time.Since(c.start) }

// call serves one call and returns its answer.
func (c *Counter) call(s *state, name []byte, amount float64, life time.Duration) answer {
	p := c.parts[xxhash.Sum64(name)%uint64(len(c.parts))]
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.now()
	if s.Refusing {
		return c.turnAway()
	}
	due, ok := p.take(s.at(now), c.options.Service, c.options.Waiting)
	if !ok {
		return c.turnAway()
	}
	total, made, ended := p.add(now, name, amount, life)
	alive := c.names.Add(-int64(ended))
	if made {
		alive = c.names.Add(1)
	}
	for most := c.mostNames.Load(); alive > most && !c.mostNames.CompareAndSwap(most, alive); {
		most = c.mostNames.Load()
	}
	return answer{status: served, total: total, due: due}
}

func (c *Counter) turnAway() answer {
	c.turnedAway.Add(1)
	return answer{status: turnedAway}
}
