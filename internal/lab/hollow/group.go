package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/internal/lab/truth"
	"amberlb/policy"
)

const (
	mostOut    = 1 << 16               // requests of a group that are out at once
	retryAfter = 50 * time.Millisecond // for a client that was not told when to come again
	leastShift = 7 * time.Second       // between draws of a customer's shares
	mostShift  = 18 * time.Second
)

// group is the load of one group while it runs.
type group struct {
	Group
	gateways  []*gateway.Hollow
	retry     bool
	deadline  time.Duration // of its class
	warm, run time.Duration // of load that is not counted, and of all load
	begin     time.Time     // the load's, and the stores'
	rng       *rand.Rand    // drive's
	customers []customer
	shares    *load.Tenants
	clients   sync.WaitGroup // those that still wait
	latency   load.Latency

	mu     sync.Mutex
	result GroupResult // all but calls and latency
}

// customer is one customer of a group. All but the store is drive's.
type customer struct {
	id      policy.CustomerID
	first   int // of its gateways, in the group
	store   *truth.Store
	weights []float64     // of its gateways; nil: even
	shiftAt time.Duration // when the weights are drawn again
}

func (h *host) newGroup(g Group) *group {
	from, plan := g.First-h.First, h.deployment.Plans[g.Plan]
	n := &group{Group: g, gateways: h.gateways[from : from+g.Gateways], retry: h.Retry,
		deadline: seconds(h.deployment.Classes[g.Class].Deadline), warm: seconds(h.WarmS), run: seconds(h.WarmS + h.RunS),
		rng: rand.New(rand.NewPCG(h.Seed, uint64(g.First)<<1)), shares: load.NewTenants(g.Customers, g.Zipf),
		customers: make([]customer, g.Customers), result: GroupResult{Name: g.Name}}
	for i := range n.customers {
		n.customers[i] = customer{id: policy.CustomerID(g.First + i*h.Fleet), // no other group has this First
			first: n.rng.IntN(g.Gateways - g.Spread + 1), store: truth.New(plan.Rate, plan.Burst)}
		if g.Shift {
			n.customers[i].weights = make([]float64, g.Spread)
		}
	}
	return n
}

// calls sums up the calls of the group's gateways to the counter so far.
func (g *group) calls() (c calls) {
	for _, h := range g.gateways {
		made, unanswered := h.CounterCalls()
		c.made, c.unanswered = c.made+made, c.unanswered+unanswered
	}
	return c
}

type calls struct{ made, unanswered uint64 }

// try is one request of a client at one gateway.
type try struct {
	c      *customer
	id     string
	place  int       // of the gateway in the customer's set
	due    time.Time // of the client's first try
	counts bool      // in the result
	repeat bool
	done   func() // called when the client is done
}

// drive makes the load, and returns once all of it is over or ctx ends.
func (g *group) drive(ctx context.Context, begin time.Time) {
	g.begin = begin
	counts := func(due time.Time) bool { return due.Sub(begin) >= g.warm }
	arrivals := load.Poisson(g.rng, g.PerSecond*float64(g.Customers))
	load.Drive(ctx, arrivals, begin, g.run, mostOut, func(due time.Time, n int, done func()) {
		c := &g.customers[g.shares.Pick(g.rng)]
		g.clients.Add(1)
		g.ask(try{c: c, id: fmt.Sprintf("%d-%d", g.First, n), place: g.place(c, due.Sub(begin)), due: due, counts: counts(due),
			done: func() { done(); g.clients.Done() }})
	}, func(due time.Time, _ int) {
		if counts(due) {
			g.note(func(r *GroupResult) { r.Tries++; r.Dropped++ })
		}
	})
}

// place draws the gateway of the customer's set that a request reaches.
func (g *group) place(c *customer, at time.Duration) int {
	if c.weights == nil {
		return g.rng.IntN(g.Spread)
	}
	if at >= c.shiftAt {
		c.shiftAt = at + leastShift + time.Duration(g.rng.Int64N(int64(mostShift-leastShift)))
		for i := range c.weights {
			c.weights[i] = g.rng.ExpFloat64()
		}
	}
	sum := 0.0
	for _, w := range c.weights {
		sum += w
	}
	left := g.rng.Float64() * sum
	for i, w := range c.weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return g.Spread - 1 // rounding
}

// ask makes one try.
func (g *group) ask(t try) {
	r := policy.Request{Customer: t.c.id, Plan: g.Plan, Class: g.Class, Units: g.Units, FirstGateway: g.First + t.c.first,
		Gateways: g.Spread, Deadline: (g.deadline - time.Since(t.due)).Seconds(), IsRetry: t.repeat}
	g.gateways[t.c.first+t.place].Submit(r, t.id, func() { g.sent(t) },
		func(status int, wait float64) { g.answered(t, status, seconds(wait)) })
}

// sent charges a try to the customer's quota.
func (g *group) sent(t try) {
	if inside := t.c.store.Sent(time.Since(g.begin), g.Units); !inside && t.counts {
		g.note(func(r *GroupResult) { r.Beyond++ })
	}
}

// answered counts a try, and has its client come again or be done.
func (g *group) answered(t try, status int, wait time.Duration) {
	now := time.Since(g.begin)
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if t.counts {
		has, half := t.c.store.Has(now, g.Units), t.c.store.Half(now)
		if status == http.StatusOK {
			g.latency.Record(time.Since(t.due))
		}
		g.note(func(r *GroupResult) {
			r.Tries++
			if t.repeat {
				r.Repeats++
			}
			switch {
			case status == http.StatusOK:
				r.Served++
			case refused:
				r.Refused++
				if has {
					r.RefusedInside++
				}
				if half {
					r.RefusedHalfFull++
				}
			default:
				r.Failed++
			}
		})
	}
	if wait == 0 {
		wait = retryAfter
	}
	if !refused || t.repeat || !g.retry || time.Since(t.due)+wait >= g.deadline {
		t.done()
		return
	}
	t.id, t.place, t.repeat = t.id+"r", (t.place+1)%g.Spread, true
	time.AfterFunc(wait, func() { g.ask(t) })
}

// note changes the result.
func (g *group) note(change func(*GroupResult)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.result)
}
