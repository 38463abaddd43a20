package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"amberlb/internal/lab/ctxtime"
	"amberlb/internal/lab/hostile"
)

// HostileExchange is the record of one connection of a hostile client. Times are on the run's clock.
type HostileExchange struct {
	Gateway int // number of the gateway
	hostile.Exchange
}

// limits are the limits of a gateway.
type limits struct {
	memoryMB    int
	descriptors int
}

// cornerLimits are the limits of gateways under hostile clients: the lowest and the highest that the pages name or that
// the gateway accepts, in all combinations, and those of known incidents.
var cornerLimits = []limits{
	{16, 128}, {16, 1024}, {32, 256}, {32, 1024}, {192, 256}, {192, 1024},
	{48, 1024}, {64, 384}, // incident of issue 31
}

// Numbers of hostile clients.
const (
	maxCrowds         = 3
	minCrowdClients   = 20
	maxCrowdClients   = 500
	maxFullSpeed      = 100                     // clients that send requests one after another without a pause
	hostileBackends   = 6                       // backends in a run with hostile clients
	maxHostilePause   = 300 * time.Millisecond  // longest pause before a hostile client connects again
	hostileStopsShare = 3                       // in one of so many runs, gateways are restarted under the crowds
	crowdsComeBy      = 1500 * time.Millisecond // time by which all crowds have come
)

// NewHostilePlan generates the plan of a run in which hostile clients use gateways at the corners of the limits. The
// order of the calls to the random number generator must not change, since a change would give every seed another plan.
func NewHostilePlan(seed uint64, duration time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	corner := cornerLimits[rng.IntN(len(cornerLimits))]
	p := Plan{
		Seed:              seed,
		Duration:          duration,
		Gateways:          1 + rng.IntN(2),
		Backends:          hostileBackends,
		HangingBackends:   1,
		ClientsPerGateway: 4 + rng.IntN(8),
		DescriptorLimit:   corner.descriptors,
		MemoryMB:          corner.memoryMB,
		Classes:           newClasses(rng, longestDeadlines[1+rng.IntN(len(longestDeadlines)-1)]),
	}
	p.BackendFaults = newBackendFaults(rng)
	for range 1 + rng.IntN(maxCrowds) {
		p.Crowds = append(p.Crowds, newCrowd(rng))
	}
	if rng.IntN(hostileStopsShare) == 0 {
		p.Stops = newStops(rng, p.Gateways, KillAfter(p.Classes), duration)
	}
	return p
}

// newCrowd generates a crowd of one shape and one ending.
func newCrowd(rng *rand.Rand) hostile.Crowd {
	crowd := hostile.Crowd{
		Shape:   hostile.Shapes[rng.IntN(len(hostile.Shapes))],
		Ending:  hostile.Endings[rng.IntN(len(hostile.Endings))],
		Clients: minCrowdClients + rng.IntN(maxCrowdClients-minCrowdClients),
		From:    randomDuration(rng, 0, crowdsComeBy),
	}
	if crowd.Shape == hostile.FullSpeed || crowd.Shape == hostile.SameID || crowd.Shape == hostile.Invalid {
		crowd.Clients = 1 + rng.IntN(maxFullSpeed)
	}
	if rng.IntN(2) == 0 {
		crowd.Pause = randomDuration(rng, time.Millisecond, maxHostilePause)
	}
	return crowd
}

// runCrowd plays a crowd against a gateway until ctx ends. The number identifies the crowd in the plan.
func (r *runner) runCrowd(ctx context.Context, n *gatewayNode, crowd hostile.Crowd, number int) {
	if !ctxtime.Sleep(ctx, crowd.From) {
		return
	}
	class := r.plan.Classes[len(r.plan.Classes)-1]
	target := hostile.Target{
		Address: n.options.Listen,
		Class:   hostile.Class{Name: class.Name, Timeout: class.Deadline, Plan: planName},
		Now:     r.clock.Now,
		NextID:  r.nextRequestID,
		Record:  func(exchange hostile.Exchange) { r.recordHostile(HostileExchange{n.number, exchange}) },
	}
	var clients sync.WaitGroup
	for i := range crowd.Clients {
		clientNumber := uint64(number*maxCrowdClients+i)*uint64(r.plan.Gateways) + uint64(n.number)
		clients.Go(func() { crowd.Run(ctx, target, r.plan.Seed, clientNumber) })
	}
	clients.Wait()
}

// recordHostile adds a connection of a hostile client to the records of the run.
func (r *runner) recordHostile(exchange HostileExchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hostileExchanges = append(r.hostileExchanges, exchange)
}

// checkHostile checks the requests on a hostile client's connection: none runs twice, since their class is not
// idempotent, and none is sent to a backend after the client has left.
func (c *checker) checkHostile(exchange *HostileExchange) {
	c.verdict.Hostile++
	if exchange.OwesError() && (exchange.EndedAt == 0 || exchange.EndedAt-exchange.ConnectedAt > badClientLimit+timingMargin) {
		c.verdict.HostileKept++
	}
	for _, id := range exchange.IDs {
		attempts := c.backendAttempts[id]
		if n := c.mostAttemptsOfProcess(exchange.Gateway, attempts); n > 1 {
			c.addHostileViolation(DuplicateExecution, exchange, id, fmt.Sprintf("was executed %d times", n))
		}
		for _, attempt := range attempts {
			if late := attempt.FirstByteAt - exchange.LeftAt; exchange.LeftAt > 0 && late > disconnectGrace+timingMargin {
				c.addHostileViolation(SentAfterDisconnect, exchange, id, fmt.Sprintf("was sent %.3f s after its client left",
					late.Seconds()))
			}
		}
	}
}

// mostAttemptsOfProcess returns the largest number of the attempts that one process of a gateway can have sent. A process
// knows nothing of the requests of the process before it.
func (c *checker) mostAttemptsOfProcess(gateway int, attempts []BackendAttempt) int {
	most := 0
	byProcess := map[int]int{}
	for _, attempt := range attempts {
		number := 0 // attempts that no known process can have sent count together
		for _, process := range c.history.Processes {
			ended := process.EndedAt > 0 && process.EndedAt < attempt.FirstByteAt
			if process.Gateway == gateway && process.StartedAt <= attempt.FirstByteAt && !ended {
				number = process.Number
			}
		}
		byProcess[number]++
		most = max(most, byProcess[number])
	}
	return most
}

// addHostileViolation adds a violation found in a request of a hostile client.
func (c *checker) addHostileViolation(invariant Invariant, exchange *HostileExchange, id, detail string) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Invariant: invariant,
		Detail: fmt.Sprintf("gateway %d: request %s of a hostile client (%s, %s) %s; connected %.3f, left %.3f, ended %.3f",
			exchange.Gateway, id, exchange.Shape, exchange.Ending, detail, exchange.ConnectedAt.Seconds(),
			exchange.LeftAt.Seconds(), exchange.EndedAt.Seconds()),
		BackendAttempts: c.backendAttempts[id],
	})
}
