package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"amberlb/internal/gateway"
	"amberlb/internal/lab/load"
	"amberlb/internal/lab/oracle"
	"amberlb/policy"
)

const (
	maxInFlight       = 1 << 16         // requests of a group
	minWeightInterval = 7 * time.Second // between two draws of a customer's weights
	maxWeightInterval = 18 * time.Second
)

// groupLoad is the load of one group.
type groupLoad struct {
	Group
	gateways       []*gateway.Hollow
	retryRejected  bool
	deadline       time.Duration // of the group's class
	warmup         time.Duration // length of the load that is not measured
	duration       time.Duration // length of all load
	startedAt      time.Time     // of the load, and of the buckets
	rng            *rand.Rand    // runLoad's
	customers      []customer
	popularity     *load.TenantDistribution
	pendingClients sync.WaitGroup // clients without a final answer
	latency        load.LatencyHistogram

	mu     sync.Mutex
	result GroupResult // without the calls and the latency, which finish adds
}

// customer is one customer of a group. All but the bucket is runLoad's.
type customer struct {
	id            policy.CustomerID
	firstGateway  int // of its subset, from the group's first
	bucket        *oracle.TokenBucket
	weights       []float64     // of the gateways of its subset; nil: even
	nextWeightsAt time.Duration // since the start of the load, when the weights are drawn again
}

// newGroupLoads makes the loads of all groups.
func (h *jobRun) newGroupLoads() []*groupLoad {
	groups := make([]*groupLoad, len(h.Groups))
	for i, group := range h.Groups {
		groups[i] = h.newGroupLoad(group)
	}
	return groups
}

func (h *jobRun) newGroupLoad(group Group) *groupLoad {
	firstIndex := group.First - h.First
	g := &groupLoad{
		Group:         group,
		gateways:      h.gateways[firstIndex : firstIndex+group.Gateways],
		retryRejected: h.Retry,
		deadline:      seconds(h.deployment.Classes[group.Class].Deadline),
		warmup:        seconds(h.WarmS),
		duration:      seconds(h.WarmS + h.RunS),
		rng:           rand.New(rand.NewPCG(h.Seed, uint64(group.First)<<1)),
		popularity:    load.NewTenantDistribution(group.Customers, group.Zipf),
		customers:     make([]customer, group.Customers),
		result:        GroupResult{Name: group.Name},
	}
	plan := h.deployment.Plans[group.Plan]
	for i := range g.customers {
		g.customers[i] = customer{
			id:           policy.CustomerID(group.First + i*h.Fleet), // unique, since no other group has this First
			firstGateway: g.rng.IntN(group.Gateways - group.Spread + 1),
			bucket:       oracle.New(plan.Rate, plan.Burst),
		}
		if group.Shift {
			g.customers[i].weights = make([]float64, group.Spread)
		}
	}
	return g
}

// counterCalls are calls of a group's gateways to the counter.
type counterCalls struct {
	made       uint64
	unanswered uint64 // of these
}

// counterCalls are the calls of the group's gateways so far.
func (g *groupLoad) counterCalls() counterCalls {
	var total counterCalls
	for _, h := range g.gateways {
		made, unanswered := h.CounterCalls()
		total.made += made
		total.unanswered += unanswered
	}
	return total
}

// runLoad sends the load, and returns once all of it is over or ctx ends.
func (g *groupLoad) runLoad(ctx context.Context, start time.Time) {
	g.startedAt = start
	arrivals := load.NewPoisson(g.rng, g.PerSecond*float64(g.Customers))
	issue := func(due time.Time, n int, done func()) {
		c := &g.customers[g.popularity.Sample(g.rng)]
		g.pendingClients.Add(1)
		g.send(attempt{
			customer:     c,
			id:           fmt.Sprintf("%d-%d", g.First, n),
			gatewayIndex: g.pickGateway(c, due.Sub(start)),
			due:          due,
			measured:     g.isMeasured(due),
			done: func() {
				done()
				g.pendingClients.Done()
			},
		})
	}
	dropped := func(due time.Time, _ int) {
		if g.isMeasured(due) {
			g.updateResult(func(r *GroupResult) {
				r.Tries++
				r.Dropped++
			})
		}
	}
	load.RunOpenLoop(ctx, arrivals, start, g.duration, maxInFlight, issue, dropped)
}

// isMeasured tells whether a request that is due at a time comes after the warm-up.
func (g *groupLoad) isMeasured(due time.Time) bool { return due.Sub(g.startedAt) >= g.warmup }

// pickGateway draws the gateway of a customer's subset that a request is sent to. at is the time since the start of the
// load.
func (g *groupLoad) pickGateway(c *customer, at time.Duration) int {
	if c.weights == nil {
		return g.rng.IntN(g.Spread)
	}
	if at >= c.nextWeightsAt {
		g.drawWeights(c, at)
	}
	sum := 0.0
	for _, weight := range c.weights {
		sum += weight
	}
	remaining := g.rng.Float64() * sum
	for i, weight := range c.weights {
		remaining -= weight
		if remaining < 0 {
			return i
		}
	}
	return g.Spread - 1 // the sum was rounded
}

// drawWeights draws the weights of a customer's gateways, and when they are drawn again.
func (g *groupLoad) drawWeights(c *customer, at time.Duration) {
	interval := minWeightInterval + time.Duration(g.rng.Int64N(int64(maxWeightInterval-minWeightInterval)))
	c.nextWeightsAt = at + interval
	for i := range c.weights {
		c.weights[i] = g.rng.ExpFloat64()
	}
}

// updateResult changes the result.
func (g *groupLoad) updateResult(update func(*GroupResult)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.result)
}

// finish returns the result. It is called once the gateways have ended, so that each client has its answer. callsBefore
// are the calls to the counter before the measured load.
func (g *groupLoad) finish(callsBefore counterCalls) GroupResult {
	g.pendingClients.Wait()
	calls := g.counterCalls()
	g.result.Calls = calls.made - callsBefore.made
	g.result.CallsUnanswered = calls.unanswered - callsBefore.unanswered
	g.result.Latency = g.latency.Quantiles(time.Millisecond)
	return g.result
}
