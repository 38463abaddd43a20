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
	"amberlb/internal/lab/oracle"
	"amberlb/policy"
)

const (
	maxInFlight       = 1 << 16               // requests of a group that are out at once
	defaultRetryAfter = 50 * time.Millisecond // for a client that was not told when to come again
	minWeightInterval = 7 * time.Second       // between draws of a customer's shares
	maxWeightInterval = 18 * time.Second
)

// groupLoad is the load of one group while it runs.
type groupLoad struct {
	Group
	gateways         []*gateway.Hollow
	retryRejected    bool
	deadline         time.Duration // of its class
	warmup, duration time.Duration // of load that is not counted, and of all load
	startedAt        time.Time     // the load's, and the stores'
	rng              *rand.Rand    // drive's
	customers        []customer
	popularity       *load.TenantDistribution
	pendingClients   sync.WaitGroup // those that still wait
	latency          load.LatencyHistogram

	mu     sync.Mutex
	result GroupResult // all but calls and latency
}

// customer is one customer of a group. All but the store is drive's.
type customer struct {
	id            policy.CustomerID
	firstGateway  int // of its gateways, in the group
	bucket        *oracle.TokenBucket
	weights       []float64     // of its gateways; nil: even
	nextWeightsAt time.Duration // when the weights are drawn again
}

func (h *jobRun) newGroupLoad(g Group) *groupLoad {
	from, plan := g.First-h.First, h.deployment.Plans[g.Plan]
	newLoad := &groupLoad{Group: g, gateways: h.gateways[from : from+g.Gateways], retryRejected: h.Retry,
		deadline: seconds(h.deployment.Classes[g.Class].Deadline), warmup: seconds(h.WarmS), duration: seconds(h.WarmS + h.RunS),
		rng: rand.New(rand.NewPCG(h.Seed, uint64(g.First)<<1)), popularity: load.NewTenantDistribution(g.Customers, g.Zipf),
		customers: make([]customer, g.Customers), result: GroupResult{Name: g.Name}}
	for i := range newLoad.customers {
		newLoad.customers[i] = customer{id: policy.CustomerID(g.First + i*h.Fleet), // no other group has this First
			firstGateway: newLoad.rng.IntN(g.Gateways - g.Spread + 1), bucket: oracle.New(plan.Rate, plan.Burst)}
		if g.Shift {
			newLoad.customers[i].weights = make([]float64, g.Spread)
		}
	}
	return newLoad
}

// counterCalls sums up the calls of the group's gateways to the counter so far.
func (g *groupLoad) counterCalls() (c counterCalls) {
	for _, h := range g.gateways {
		made, unanswered := h.CounterCalls()
		c.made, c.unanswered = c.made+made, c.unanswered+unanswered
	}
	return c
}

type counterCalls struct{ made, unanswered uint64 }

// attempt is one request of a client at one gateway.
type attempt struct {
	customer     *customer
	id           string
	gatewayIndex int       // of the gateway in the customer's set
	due          time.Time // of the client's first try
	measured     bool      // in the result
	isRetry      bool
	done         func() // called when the client is done
}

// runLoad makes the load, and returns once all of it is over or ctx ends.
func (g *groupLoad) runLoad(ctx context.Context, start time.Time) {
	g.startedAt = start
	measured := func(due time.Time) bool { return due.Sub(start) >= g.warmup }
	arrivals := load.NewPoisson(g.rng, g.PerSecond*float64(g.Customers))
	load.RunOpenLoop(ctx, arrivals, start, g.duration, maxInFlight, func(due time.Time, n int, done func()) {
		c := &g.customers[g.popularity.Sample(g.rng)]
		g.pendingClients.Add(1)
		g.send(attempt{customer: c, id: fmt.Sprintf("%d-%d", g.First, n), gatewayIndex: g.pickGateway(c, due.Sub(start)), due: due, measured: measured(due),
			done: func() { done(); g.pendingClients.Done() }})
	}, func(due time.Time, _ int) {
		if measured(due) {
			g.updateResult(func(r *GroupResult) { r.Tries++; r.Dropped++ })
		}
	})
}

// pickGateway draws the gateway of the customer's set that a request reaches.
func (g *groupLoad) pickGateway(c *customer, at time.Duration) int {
	if c.weights == nil {
		return g.rng.IntN(g.Spread)
	}
	if at >= c.nextWeightsAt {
		c.nextWeightsAt = at + minWeightInterval + time.Duration(g.rng.Int64N(int64(maxWeightInterval-minWeightInterval)))
		for i := range c.weights {
			c.weights[i] = g.rng.ExpFloat64()
		}
	}
	sum := 0.0
	for _, w := range c.weights {
		sum += w
	}
	remaining := g.rng.Float64() * sum
	for i, w := range c.weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return g.Spread - 1 // rounding
}

// send makes one try.
func (g *groupLoad) send(a attempt) {
	request := policy.Request{Customer: a.customer.id, Plan: g.Plan, Class: g.Class, Units: g.Units, FirstGateway: g.First + a.customer.firstGateway,
		Gateways: g.Spread, Deadline: (g.deadline - time.Since(a.due)).Seconds(), IsRetry: a.isRetry}
	g.gateways[a.customer.firstGateway+a.gatewayIndex].Submit(request, a.id, func() { g.onForwarded(a) },
		func(status int, wait float64) { g.onAnswer(a, status, seconds(wait)) })
}

// onForwarded charges a try to the customer's quota.
func (g *groupLoad) onForwarded(a attempt) {
	if withinQuota := a.customer.bucket.Take(time.Since(g.startedAt), g.Units); !withinQuota && a.measured {
		g.updateResult(func(r *GroupResult) { r.Beyond++ })
	}
}

// onAnswer counts a try, and has its client come again or be done.
func (g *groupLoad) onAnswer(a attempt, status int, retryDelay time.Duration) {
	now := time.Since(g.startedAt)
	rejected := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if a.measured {
		hasUnits, halfFull := a.customer.bucket.CanTake(now, g.Units), a.customer.bucket.HalfFull(now)
		if status == http.StatusOK {
			g.latency.Record(time.Since(a.due))
		}
		g.updateResult(func(r *GroupResult) {
			r.Tries++
			if a.isRetry {
				r.Repeats++
			}
			switch {
			case status == http.StatusOK:
				r.Served++
			case rejected:
				r.Refused++
				if hasUnits {
					r.RefusedInside++
				}
				if halfFull {
					r.RefusedHalfFull++
				}
			default:
				r.Failed++
			}
		})
	}
	if retryDelay == 0 {
		retryDelay = defaultRetryAfter
	}
	if !rejected || a.isRetry || !g.retryRejected || time.Since(a.due)+retryDelay >= g.deadline {
		a.done()
		return
	}
	a.id, a.gatewayIndex, a.isRetry = a.id+"r", (a.gatewayIndex+1)%g.Spread, true
	time.AfterFunc(retryDelay, func() { g.send(a) })
}

// updateResult changes the result.
func (g *groupLoad) updateResult(update func(*GroupResult)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.result)
}
