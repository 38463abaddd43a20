package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
)

const (
	quotaLoadStart       = 1000.0 // clock time at which a simulation starts, in seconds
	quotaLoadServiceTime = 0.05   // seconds that an attempt takes
)

// quotaLoad describes a simulation: one customer with a quota, whose requests arrive at a fleet of gateways at random.
type quotaLoad struct {
	gateways      int
	plan          Plan
	rate          float64                       // requests per second; each request has one unit
	rateFactor    func(elapsed float64) float64 // factor on rate, at most 16 (peakFactor); nil: always 1
	unevenWeights bool                          // gateways get uneven shares of the load, which change every 7 to 18 s
	counterDelay  float64                       // seconds until the counter's reply
	warmUp        float64                       // seconds at the start that do not count in the result
	end           float64                       // seconds from the start to the end of the simulation
	seed          uint64
}

// quotaLoadResult counts the events of a simulation after its warm-up. A request is within the quota if an ideal token
// bucket of the plan's rate and burst has a unit at the time when the request is sent or rejected.
type quotaLoadResult struct {
	requests            int
	sent                int
	sentOverQuota       int // requests that were sent although they were over the quota
	rejectedWithinQuota int // requests that were rejected although they were within the quota
	calls               int // counter calls
}

func (r *quotaLoadResult) callsPerRequest() float64 { return float64(r.calls) / float64(r.requests) }

func (r *quotaLoadResult) rejectedWithinQuotaShare() float64 {
	return float64(r.rejectedWithinQuota) / float64(r.requests)
}

// quotaLoadRun is a running simulation of a quotaLoad. Its clock is simulated.
type quotaLoadRun struct {
	load        quotaLoad
	rng         *rand.Rand
	now         float64
	pending     scheduledEvents
	gateways    []*Engine
	weights     []float64 // share of the load that each gateway gets
	nextWeights float64   // clock time at which the weights change
	peakFactor  float64   // factor on rate at which requests are drawn before thinning (see nextEvent)
	nextRequest float64
	lastID      RequestID
	totals      map[uint64]float64 // totals at the counter, by name
	bucket      float64            // units in the ideal token bucket at the time bucketAt
	bucketAt    float64
	result      quotaLoadResult
}

// run runs the simulation of a load.
func (load quotaLoad) run(t testing.TB) quotaLoadResult {
	t.Helper()
	run := &quotaLoadRun{
		load:       load,
		rng:        rand.New(rand.NewPCG(load.seed, 1)),
		now:        quotaLoadStart,
		weights:    make([]float64, load.gateways),
		peakFactor: 16,
		totals:     map[uint64]float64{},
		bucket:     load.plan.Burst,
		bucketAt:   quotaLoadStart,
	}
	if load.rateFactor == nil {
		run.load.rateFactor = func(float64) float64 { return 1 }
		run.peakFactor = 1
	}
	run.startGateways()
	run.drawWeights()
	run.nextRequest = run.now + run.untilNextRequest()
	for run.now < quotaLoadStart+load.end {
		if event, ok := run.nextEvent(); ok {
			run.handle(event)
		}
	}
	return run.result
}

func (run *quotaLoadRun) startGateways() {
	set := testSettings()
	set.Classes = []Class{{LatencyObjective: 2, Deadline: 8, PriorityWeight: 1}}
	set.Plans = []Plan{run.load.plan}
	set.FleetSize = run.load.gateways
	set.CounterTimeout = 0.08
	list := EndpointsUpdated{Kind: CachedList, Entries: readyBackends(4 * run.load.gateways)}
	for index := range run.load.gateways {
		set.GatewayIndex = index
		gateway, actions := New(set, run.load.seed<<16+uint64(index), run.now, nil)
		run.gateways = append(run.gateways, gateway)
		run.carryOut(index, actions)
		run.carryOut(index, gateway.Handle(run.now, list, nil))
	}
}

// drawWeights draws the share of the load that each gateway gets, and the time of the next change.
func (run *quotaLoadRun) drawWeights() {
	sum := 0.0
	for i := range run.weights {
		run.weights[i] = 1
		if run.load.unevenWeights {
			run.weights[i] = math.Exp(run.rng.NormFloat64())
		}
		sum += run.weights[i]
	}
	for i := range run.weights {
		run.weights[i] /= sum
	}
	run.nextWeights = run.now + 7 + 11*run.rng.Float64()
}

func (run *quotaLoadRun) untilNextRequest() float64 {
	return run.rng.ExpFloat64() / (run.load.rate * run.peakFactor)
}

// nextEvent moves the clock to the next event and returns the event. Requests are drawn at peakFactor times the rate,
// and thinned at random to rateFactor times the rate. ok is false if the event is a request that thinning removes.
func (run *quotaLoadRun) nextEvent() (event scheduledEvent, ok bool) {
	if len(run.pending) > 0 && run.pending[0].at <= run.nextRequest {
		event = heap.Pop(&run.pending).(scheduledEvent)
		run.now = event.at
		return event, true
	}
	run.now = run.nextRequest
	run.nextRequest += run.untilNextRequest()
	if run.rng.Float64() >= run.load.rateFactor(run.now-quotaLoadStart)/run.peakFactor {
		return scheduledEvent{}, false
	}
	if run.counts() {
		run.result.requests++
	}
	return scheduledEvent{at: run.now, gateway: run.drawGateway(), event: run.newRequest()}, true
}

func (run *quotaLoadRun) drawGateway() int {
	gateway := 0
	x := run.rng.Float64() - run.weights[gateway]
	for x > 0 && gateway < run.load.gateways-1 {
		gateway++
		x -= run.weights[gateway]
	}
	return gateway
}

func (run *quotaLoadRun) newRequest() Request {
	run.lastID++
	return Request{
		ID:       run.lastID,
		Units:    1,
		Gateways: run.load.gateways,
		Customer: CustomerID(run.load.seed + 77),
		Deadline: run.now + 8,
	}
}

// counts reports whether the warm-up is over, so that events count in the result.
func (run *quotaLoadRun) counts() bool { return run.now > quotaLoadStart+run.load.warmUp }

// handle passes an event to its gateway and carries out the gateway's actions.
func (run *quotaLoadRun) handle(event scheduledEvent) {
	if run.now > run.nextWeights {
		run.drawWeights()
	}
	run.bucket = min(run.bucket+run.load.plan.Rate*(run.now-run.bucketAt), run.load.plan.Burst)
	run.bucketAt = run.now
	run.carryOut(event.gateway, run.gateways[event.gateway].Handle(run.now, event.event, nil))
}

func (run *quotaLoadRun) carryOut(gateway int, actions []Action) {
	counted := 0
	if run.counts() {
		counted = 1
	}
	for _, action := range actions {
		switch action := action.(type) {
		case SetTimer:
			run.schedule(action.Delay, gateway, TimerFired{Token: action.Token})
		case SendAttempt:
			run.schedule(quotaLoadServiceTime, gateway, AttemptEnded{Request: action.Request, Backend: action.Backend,
				Latency: quotaLoadServiceTime, RequestOver: true})
			run.result.sent += counted
			if run.bucket >= 1 {
				run.bucket--
			} else {
				run.result.sentOverQuota += counted
			}
		case Reject:
			if run.bucket >= 1 {
				run.result.rejectedWithinQuota += counted
			}
		case CounterAdd:
			run.result.calls += counted
			run.totals[action.Name] += action.Amount
			run.schedule(run.load.counterDelay, gateway, CounterReply{Name: action.Name, Total: run.totals[action.Name]})
		}
	}
}

// schedule schedules an event for a gateway after a delay in seconds.
func (run *quotaLoadRun) schedule(delay float64, gateway int, event Event) {
	heap.Push(&run.pending, scheduledEvent{at: run.now + delay, gateway: gateway, event: event})
}

// planOf returns a plan with the given rate in units per second. Its burst is the number of units that the rate earns
// in the given number of seconds, but at least 2.
func planOf(rate, seconds float64) Plan {
	return Plan{WeightFactor: 1, Rate: rate, Burst: max(rate*seconds, 2), OverQuotaCost: 1}
}

// A customer within its quota must cost few counter calls and hardly ever be rejected, in small and large gateway sets
// and under even and uneven load of the gateways.
func TestCustomerWithinItsQuotaCostsFewCalls(t *testing.T) {
	t.Parallel()
	for i, gateways := range []int{2, 5, 10, 60} {
		for _, test := range []struct{ quotaUse, calls, rejected float64 }{{0.3, 0.1, 0.001}, {0.9, 0.25, 0.01}} {
			load := quotaLoad{gateways: gateways, plan: planOf(6.8/test.quotaUse, 3), rate: 6.8, unevenWeights: i%2 == 1,
				counterDelay: 0.003, warmUp: 60, end: 180, seed: 1}
			result := load.run(t)
			if result.callsPerRequest() > test.calls || result.rejectedWithinQuotaShare() > test.rejected {
				t.Errorf("%d gateways, %g of the quota, uneven weights %t: "+
					"%.3f calls a request, %.4f rejected within the quota; want %g and %g at most",
					gateways, test.quotaUse, load.unevenWeights,
					result.callsPerRequest(), result.rejectedWithinQuotaShare(), test.calls, test.rejected)
			}
		}
	}
}

// Units that some of 60 gateways have prefetched must not be missing at the other gateways: few requests of a customer
// within its quota may be rejected. The test takes the mean over eight customers.
func TestPrefetchedUnitsAreNotMissingElsewhere(t *testing.T) {
	t.Parallel()
	var running sync.WaitGroup
	var results [8]quotaLoadResult
	for i := range results {
		running.Go(func() {
			load := quotaLoad{gateways: 60, plan: planOf(6.8/0.9, 3), rate: 6.8, counterDelay: 0.003, warmUp: 60, end: 180,
				seed: uint64(i) + 1}
			results[i] = load.run(t)
		})
	}
	running.Wait()
	var sum quotaLoadResult
	for _, result := range results {
		sum.requests += result.requests
		sum.calls += result.calls
		sum.rejectedWithinQuota += result.rejectedWithinQuota
	}
	if sum.rejectedWithinQuotaShare() > 0.005 || float64(sum.calls) > 0.25*float64(sum.requests) {
		t.Errorf("%.4f of %d requests rejected within the quota, %d calls; want at most 0.005, and a call for four requests",
			sum.rejectedWithinQuotaShare(), sum.requests, sum.calls)
	}
}

// A customer that is new to its gateways and far over its quota must get burstTolerance units and the refill from the
// shared bucket, but no further burst from local tokens.
func TestFirstBurstComesFromTheCounterAlone(t *testing.T) {
	load := quotaLoad{gateways: 20, plan: planOf(6.8, 3), rate: 100, counterDelay: 0.003, end: 2, seed: 6}
	result := load.run(t)
	if maxSent := largeSetTolerance*load.plan.Burst + load.plan.Rate*load.end + 5; float64(result.sent) > maxSent {
		t.Errorf("%d units sent, want %.0f at most", result.sent, maxSent)
	}
}

// A customer that sends requests rarely must also cost few calls per request. The lower its rate, the fewer calls a
// request may cost.
func TestCustomerWithRareRequestsCostsFewCalls(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ rate, calls float64 }{{0.01, 0.25}, {0.1, 0.75}} {
		load := quotaLoad{gateways: 5, plan: Plan{WeightFactor: 1, Rate: test.rate / 0.3, Burst: 4, OverQuotaCost: 1},
			rate: test.rate, unevenWeights: true, counterDelay: 0.003, end: 200 / test.rate, seed: 4}
		result := load.run(t)
		if result.callsPerRequest() > test.calls || result.rejectedWithinQuotaShare() > 0.01 ||
			result.sentOverQuota > result.requests/50 {
			t.Errorf("one request in %g s: %.2f calls a request, %.3f rejected within the quota, %d of %d sent over it",
				1/test.rate, result.callsPerRequest(), result.rejectedWithinQuotaShare(), result.sentOverQuota, result.requests)
		}
	}
}

// A customer that sends requests at five times its quota must get its quota and no more, over several windows.
func TestCustomerOverItsQuotaGetsTheQuota(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{2, 5, 20} {
		load := quotaLoad{gateways: gateways, plan: planOf(6.8, 3), rate: 34, unevenWeights: true, counterDelay: 0.003,
			warmUp: 60, end: 260, seed: 2}
		result := load.run(t)
		share := float64(result.sent) / (load.plan.Rate * (load.end - load.warmUp))
		if share < 0.95 || share > 1.08 {
			t.Errorf("%d gateways sent %.3f of the quota, want 0.95 to 1.08", gateways, share)
		}
	}
}

// After a time of low demand, a customer must get only a limited number of additional units (see reconcileDeferred),
// and not all the refill of that time.
func TestBurstAfterLowDemandIsBounded(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{2, 20} {
		const warmUp, burstTime = 100.0, 4.0
		load := quotaLoad{gateways: gateways, plan: planOf(6.8, 3), rate: 2, counterDelay: 0.003,
			warmUp: warmUp, end: warmUp + burstTime, seed: 3,
			rateFactor: func(elapsed float64) float64 {
				if elapsed > warmUp {
					return 16
				}
				return 1
			}}
		result := load.run(t)
		// The sum of largeSetTolerance = 2 bursts, the overflow and report lag that may not be in the total, the refill
		// during burstTime, and the local tokens.
		maxSent := load.plan.Burst*(2+overflowCallShare+maxReportLagShare) + load.plan.Rate*burstTime +
			largeSetLocalBurst*float64(gateways)
		if float64(result.sent) > maxSent {
			t.Errorf("%d gateways sent %d of %d requests, want %.0f at most",
				gateways, result.sent, result.requests, maxSent)
		}
	}
}
