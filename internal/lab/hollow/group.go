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
	maxInFlight       = 1 << 16         // maximum number of requests of a group in flight
	minWeightInterval = 7 * time.Second // shortest interval between two draws of a customer's weights
	maxWeightInterval = 18 * time.Second
)

// groupLoad generates the load of one group and counts its results.
type groupLoad struct {
	Group
	gateways       []*gateway.Hollow
	retryRejected  bool
	deadline       time.Duration // deadline of the requests, from the due time of the first attempt
	warmup         time.Duration // duration of the load before the measurement
	duration       time.Duration // duration of the whole load, warm-up included
	startedAt      time.Time     // start of the load and time 0 of the buckets
	rng            *rand.Rand    // used only by the goroutine of runLoad
	customers      []customer
	popularity     *load.TenantDistribution
	pendingClients sync.WaitGroup // clients that wait for their final answer
	latency        load.LatencyHistogram

	mu     sync.Mutex
	result GroupResult // Calls, CallsUnanswered and Latency are set by finish
}

// customer is one customer of a group. Only the goroutine of runLoad uses weights and nextWeightsAt. The other fields
// are set only when the customer is created.
type customer struct {
	id            policy.CustomerID
	firstGateway  int // index of the subset's first gateway among the gateways of the group
	bucket        *oracle.TokenBucket
	weights       []float64     // weights of the gateways of the subset; nil: equal weights
	nextWeightsAt time.Duration // time since the start of the load at which the weights are drawn again
}

// newGroupLoads returns the loads of all groups.
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
			// The id is unique, since First is below Fleet, and each group has a different First.
			id:           policy.CustomerID(group.First + i*h.Fleet),
			firstGateway: g.rng.IntN(group.Gateways - group.Spread + 1),
			bucket:       oracle.New(plan.Rate, plan.Burst),
		}
		if group.Shift {
			g.customers[i].weights = make([]float64, group.Spread)
		}
	}
	return g
}

// counterCalls counts calls of gateways to the counter.
type counterCalls struct {
	made       uint64
	unanswered uint64 // calls, included in made, that got no response
}

// counterCalls returns the number of calls to the counter that the group's gateways have made so far.
func (g *groupLoad) counterCalls() counterCalls {
	var total counterCalls
	for _, h := range g.gateways {
		made, unanswered := h.CounterCalls()
		total.made += made
		total.unanswered += unanswered
	}
	return total
}

// runLoad generates the load. It returns when all requests are done or ctx ends.
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

// isMeasured reports whether a due time is after the warm-up.
func (g *groupLoad) isMeasured(due time.Time) bool { return due.Sub(g.startedAt) >= g.warmup }

// pickGateway draws the gateway for a request from the customer's subset, and returns its index in the subset. The
// parameter at is the due time of the request, counted from the start of the load.
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
	return g.Spread - 1 // reached only because of rounding errors
}

// drawWeights draws the weights of a customer's gateways, and the time at which they are drawn again.
func (g *groupLoad) drawWeights(c *customer, at time.Duration) {
	interval := minWeightInterval + time.Duration(g.rng.Int64N(int64(maxWeightInterval-minWeightInterval)))
	c.nextWeightsAt = at + interval
	for i := range c.weights {
		c.weights[i] = g.rng.ExpFloat64()
	}
}

// updateResult calls update with the result while mu is locked.
func (g *groupLoad) updateResult(update func(*GroupResult)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.result)
}

// finish waits for the last answers and returns the result. The gateways must already be stopped, so that every request
// gets an answer. callsBefore counts the calls to the counter before the measured load.
func (g *groupLoad) finish(callsBefore counterCalls) GroupResult {
	g.pendingClients.Wait()
	calls := g.counterCalls()
	g.result.Calls = calls.made - callsBefore.made
	g.result.CallsUnanswered = calls.unanswered - callsBefore.unanswered
	g.result.Latency = g.latency.Quantiles(time.Millisecond)
	return g.result
}
