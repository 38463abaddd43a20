package policy

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
)

var timeoutSeeds = flag.Uint64("timeoutseeds", 300, "number of histories for TestIdleGatewayTriesEveryRequest")

// recoveryRequests is the number of requests after a history. They arrive for 4 s, in which a gateway must not reject
// all that it gets.
const recoveryRequests = 20

// historyCustomers is the number of customers of each plan. They are few, so that those of plan 0 run short of units.
const historyCustomers = 3

// quotaRecoveryTime is the time in seconds after which the quotas of plan 0 are full again.
const quotaRecoveryTime = 30

// Guards against a gateway that learns something about clients by which it rejects requests later: after any history of
// clients' timeouts, retries, bursts and short quotas, every request within its quota is sent at once if its backends
// are idle, and an unmarked request keeps its level where clients mark retries.
func TestIdleGatewayTriesEveryRequest(t *testing.T) {
	for seed := range *timeoutSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			h := newTimeoutHistory(t, seed)
			for range 1 + h.rng.IntN(6) {
				h.playPhase()
			}
			h.now += []float64{0.3, 1, 5, 3600}[h.rng.IntN(4)]
			h.checkRecovery()
			h.now += quotaRecoveryTime
			h.checkQuotaRecovery()
		})
	}
}

// timeoutHistory draws a deployment and what its clients do from a seed.
type timeoutHistory struct {
	*engineDriver
	rng    *rand.Rand
	totals map[uint64]float64 // the totals at the counter
}

func newTimeoutHistory(t *testing.T, seed uint64) *timeoutHistory {
	rng := rand.New(rand.NewPCG(seed, 37))
	set := testSettings()
	set.ClientsMarkRetries = rng.IntN(2) == 0
	set.HasCounter = rng.IntN(3) > 0
	set.FleetSize = 1 + rng.IntN(8)
	set.Classes = nil
	for range 1 + rng.IntN(3) {
		deadline := 1 + 11*rng.Float64()
		set.Classes = append(set.Classes, Class{
			Deadline:         deadline,
			LatencyObjective: max(0.3, deadline*(0.05+0.6*rng.Float64())),
			PriorityWeight:   1 + 4*rng.Float64(),
		})
	}
	set.Plans[0].Rate, set.Plans[0].Burst = 0.5, 2 // exhausted in the history
	set.Plans[1].Rate, set.Plans[1].Burst = 1000, 2000
	return &timeoutHistory{
		engineDriver: startEngine(t, set, readyBackends(8*set.FleetSize)...),
		rng:          rng,
		totals:       map[uint64]float64{},
	}
}

// clientTimeouts returns a function that draws the timeouts of clients, as shares of the class's deadline. Clients wait
// 50 to 100% of it.
func (h *timeoutHistory) clientTimeouts() func() float64 {
	share := func() float64 { return 0.5 + 0.5*h.rng.Float64() }
	switch h.rng.IntN(4) {
	case 0:
		one := share()
		return func() float64 { return one }
	case 1:
		several := []float64{share(), share(), share()}[:2+h.rng.IntN(2)]
		next := 0
		return func() float64 { next++; return several[next%len(several)] }
	case 2:
		top := 0.5 + 0.5*h.rng.Float64()
		return func() float64 { return 0.5 + (top-0.5)*h.rng.Float64() }
	default:
		most, others := share(), h.rng.Float64()
		return func() float64 {
			if h.rng.Float64() < others {
				return share()
			}
			return most
		}
	}
}

// playPhase sends requests of one kind of client, in bursts of a drawn size.
func (h *timeoutHistory) playPhase() {
	timeout := h.clientTimeouts()
	burst := []int{1, 1, 3, 60}[h.rng.IntN(4)]
	retries := h.rng.Float64() * float64(h.rng.IntN(2))
	class := h.rng.IntN(len(h.engine.settings.Classes))
	for range 1 + h.rng.IntN(30) {
		var actions []Action
		for range burst {
			share := timeout()
			isRetry := h.rng.Float64() < retries
			if isRetry {
				share *= h.rng.Float64() // the client has spent a part of its time
			}
			_, out := h.arrive(class, h.rng.IntN(2), share, isRetry)
			actions = append(actions, out...)
		}
		h.now += 0.05 + 0.1*h.rng.Float64()
		h.serveAll(actions)
		h.now += 0.2 * h.rng.Float64()
		h.step(timerFired(maintenanceTimer, 0))
	}
}

// step passes an event to the engine and replies to each counter call that follows. It returns all actions.
func (h *timeoutHistory) step(event Event) []Action {
	out := h.replyToAll(h.handle(event), func(call CounterAdd) float64 {
		h.totals[call.Name] += call.Amount
		return h.totals[call.Name]
	})
	if len(out) >= 1000 { // where replyToAll stops
		h.t.Fatal("the counter calls that follow from one event have no end")
	}
	return out
}

// arrive passes a request of one of the plan's customers to the engine.
func (h *timeoutHistory) arrive(class, plan int, share float64, isRetry bool) (RequestID, []Action) {
	customer := CustomerID(plan*historyCustomers + h.rng.IntN(historyCustomers))
	return h.request(class, plan, customer, share, isRetry)
}

// request passes a request to the engine. share is its timeout as a share of its class's deadline.
func (h *timeoutHistory) request(class, plan int, customer CustomerID, share float64, isRetry bool) (RequestID, []Action) {
	h.nextID++
	set := &h.engine.settings
	out := h.step(Request{ID: h.nextID, Class: class, Plan: plan, Units: 1, Gateways: set.FleetSize, Customer: customer,
		Deadline: h.now + share*set.Classes[class].Deadline, IsRetry: isRetry && set.ClientsMarkRetries})
	return h.nextID, out
}

// serveAll serves all attempts among the actions, and those of queued requests that follow.
func (h *timeoutHistory) serveAll(actions []Action) {
	for i := 0; i < len(actions); i++ {
		if s, ok := actions[i].(SendAttempt); ok {
			actions = append(actions, h.step(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1})...)
		}
	}
}

// checkRecovery sends requests within their quota to the idle gateway, one at a time, and checks that each is sent.
func (h *timeoutHistory) checkRecovery() {
	timeout := h.clientTimeouts()
	retries := float64(h.rng.IntN(2)) * h.rng.Float64()
	h.step(timerFired(maintenanceTimer, 0))
	for i := range recoveryRequests {
		for class := range h.engine.settings.Classes {
			isRetry := h.rng.Float64() < retries
			share := timeout()
			id, out := h.arrive(class, 1, share, isRetry)
			if len(actionsOf[SendAttempt](out)) != 1 {
				h.t.Fatalf("request %d of class %d, whose client waits %.3f of the deadline, was not sent: %v", i, class, share, out)
			}
			if h.engine.settings.ClientsMarkRetries && !isRetry && h.engine.requests[id].level == presumedLateLevel {
				h.t.Errorf("unmarked request %d of class %d, whose client waits %.3f of the deadline, was demoted", i, class, share)
			}
			h.now += 0.1
			h.serveAll(out)
		}
		h.now += 0.1
		h.step(timerFired(maintenanceTimer, 0))
	}
}

// checkQuotaRecovery sends one request of each customer that was short of units in the history, and checks that each
// is sent.
func (h *timeoutHistory) checkQuotaRecovery() {
	timeout := h.clientTimeouts()
	h.step(timerFired(maintenanceTimer, 0))
	for customer := range CustomerID(historyCustomers) {
		share := timeout()
		_, out := h.request(0, 0, customer, share, true)
		if len(actionsOf[SendAttempt](out)) != 1 {
			h.t.Fatalf("a request of customer %d, whose client waits %.3f of the deadline, was not sent: %v", customer, share, out)
		}
		h.now += 0.1
		h.serveAll(out)
	}
}
