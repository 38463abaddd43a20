package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
)

// quotaDay is one customer before a fleet of modules on a made-up clock: what it asks for, and what its quota is.
type quotaDay struct {
	gateways  int
	plan      Plan
	rate      float64                   // requests a second, of a unit each
	times     func(now float64) float64 // factor on rate; nil: 1
	shift     bool                      // uneven weights that change every 7 to 18 s
	delay     float64                   // seconds until the counter's answer
	warm, end float64                   // seconds; what comes before warm is not counted
	seed      uint64
}

// quotaCount is what came of it. The true store is exact: it refills at the plan's rate, and a request is inside
// where it has the units when the request is first sent on.
type quotaCount struct {
	tries, sent, refused, calls int
	refusedInside               int // the true store had the units
	refusedHalf                 int // half of the burst or more was unused
	beyond                      int // sent on while it had not
}

type quotaEvent struct {
	at float64
	n  int // gateway
	ev Event
}

type quotaEvents []quotaEvent

func (q quotaEvents) Len() int { return len(q) }

func (q quotaEvents) Less(i, j int) bool { return q[i].at < q[j].at }

func (q quotaEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *quotaEvents) Push(x any) { *q = append(*q, x.(quotaEvent)) }

func (q *quotaEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (d quotaDay) play(t testing.TB) (c quotaCount) {
	t.Helper()
	const start, work = 1000.0, 0.05
	set := testSettings()
	set.Classes = []Class{{LatencyObjective: 2, Deadline: 8, PriorityWeight: 1}}
	set.Plans = []Plan{d.plan}
	set.FleetSize, set.CounterTimeout = d.gateways, 0.08
	rng := rand.New(rand.NewPCG(d.seed, 1))
	var q quotaEvents
	var gs []*Engine
	var take func(now float64, n int, actions []Action)
	totals := map[uint64]float64{}
	store, storeAt, counted := d.plan.Burst, start, false
	take = func(now float64, n int, actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case SetTimer:
				heap.Push(&q, quotaEvent{now + a.Delay, n, TimerFired{Token: a.Token}})
			case SendAttempt:
				heap.Push(&q, quotaEvent{now + work, n, AttemptEnded{Request: a.Request, Backend: a.Backend, Latency: work, RequestOver: true}})
				inside := store >= 1
				if inside {
					store--
				}
				if counted {
					if c.sent++; !inside {
						c.beyond++
					}
				}
			case Reject:
				if counted {
					c.refused++
					if store >= 1 {
						c.refusedInside++
					}
					if store >= d.plan.Burst/2 {
						c.refusedHalf++
					}
				}
			case CounterAdd:
				if counted {
					c.calls++
				}
				totals[a.Name] += a.Amount
				heap.Push(&q, quotaEvent{now + d.delay, n, CounterReply{Name: a.Name, Total: totals[a.Name]}})
			}
		}
	}
	for rank := range d.gateways {
		set.GatewayIndex = rank
		g, out := New(set, d.seed<<16+uint64(rank), start, nil)
		gs = append(gs, g)
		take(start, rank, out)
		take(start, rank, g.Handle(start, EndpointsUpdated{Kind: CachedList, Entries: some(4 * d.gateways)}, nil))
	}
	weights := make([]float64, d.gateways)
	draw := func() {
		sum := 0.0
		for i := range weights {
			if weights[i] = 1; d.shift {
				weights[i] = math.Exp(rng.NormFloat64())
			}
			sum += weights[i]
		}
		for i := range weights {
			weights[i] /= sum
		}
	}
	draw()
	nextShift := start + 7 + 11*rng.Float64()
	most := 16.0 // arrivals are thinned from so many times the rate
	if d.times == nil {
		d.times, most = func(float64) float64 { return 1 }, 1
	}
	id := RequestID(0)
	next := start + rng.ExpFloat64()/(d.rate*most)
	for now := start; now < start+d.end; {
		e := quotaEvent{at: math.Inf(1)}
		if len(q) > 0 && q[0].at <= next {
			e = heap.Pop(&q).(quotaEvent)
			now = e.at
		} else {
			now = next
			next += rng.ExpFloat64() / (d.rate * most)
			if rng.Float64() >= d.times(now-start)/most {
				continue
			}
			x := rng.Float64()
			for x -= weights[e.n]; x > 0 && e.n < d.gateways-1; x -= weights[e.n] {
				e.n++
			}
			id++
			e.ev = Request{ID: id, Units: 1, Gateways: d.gateways, Customer: CustomerID(d.seed + 77), Deadline: now + 8}
			if now > start+d.warm {
				c.tries++
			}
		}
		if now > nextShift {
			draw()
			nextShift = now + 7 + 11*rng.Float64()
		}
		counted = now > start+d.warm
		store = min(store+d.plan.Rate*(now-storeAt), d.plan.Burst)
		storeAt = now
		take(now, e.n, gs[e.n].Handle(now, e.ev, nil))
	}
	return c
}

func quotaPlan(rate, seconds float64) Plan {
	return Plan{WeightFactor: 1, Rate: rate, Burst: max(rate*seconds, 2), OverQuotaCost: 1}
}

// A customer inside its quota costs few calls of the counter and is hardly ever refused, through however many
// gateways it comes, and however it spreads over them.
func TestCustomerInsideItsQuotaCostsFewCalls(t *testing.T) {
	t.Parallel()
	for i, gateways := range []int{2, 5, 10, 60} {
		for _, c := range []struct{ use, calls, refused float64 }{{0.3, 0.1, 0.001}, {0.9, 0.25, 0.01}} {
			d := quotaDay{gateways: gateways, plan: quotaPlan(6.8/c.use, 3), rate: 6.8, shift: i%2 == 1, delay: 0.003,
				warm: 60, end: 180, seed: 1}
			got := d.play(t)
			calls, refused := float64(got.calls)/float64(got.tries), float64(got.refusedInside)/float64(got.tries)
			if calls > c.calls || refused > c.refused {
				t.Errorf("%d gateways, %g of the quota, shift %t: %.3f calls a request, %.4f refused though inside; want %g and %g",
					gateways, c.use, d.shift, calls, refused, c.calls, c.refused)
			}
		}
	}
}

// What sixty gateways hold ahead is not missing to the others: over some customers, few requests are refused.
func TestUnitsHeldAheadAreNotMissingElsewhere(t *testing.T) {
	t.Parallel()
	var all sync.WaitGroup
	var got [8]quotaCount
	for i := range got {
		all.Go(func() {
			d := quotaDay{gateways: 60, plan: quotaPlan(6.8/0.9, 3), rate: 6.8, delay: 0.003, warm: 60, end: 180, seed: uint64(i) + 1}
			got[i] = d.play(t)
		})
	}
	all.Wait()
	tries, calls, refused := 0, 0, 0
	for _, c := range got {
		tries, calls, refused = tries+c.tries, calls+c.calls, refused+c.refusedInside
	}
	if share := float64(refused) / float64(tries); share > 0.005 || float64(calls) > 0.25*float64(tries) {
		t.Errorf("%.4f of %d tries refused though inside, %d calls; want 0.005 and a call for four tries", share, tries, calls)
	}
}

// A customer that its gateways meet for the first time, and that asks for all it can get, finds what the counter lends
// and no second burst in own shares.
func TestFirstBurstComesFromTheCounterAlone(t *testing.T) {
	const end = 2.0
	d := quotaDay{gateways: 20, plan: quotaPlan(6.8, 3), rate: 100, delay: 0.003, end: end, seed: 6}
	got := d.play(t)
	if bound := largeSetOverdraft*d.plan.Burst + d.plan.Rate*end + 5; float64(got.sent) > bound {
		t.Errorf("%d units at once, want %.0f at most", got.sent, bound)
	}
}

// A customer that its gateways see only now and then costs few calls too, and the fewer the more seldom it is.
func TestCustomerSeenSeldomCostsFewCalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ rate, calls float64 }{{0.01, 0.25}, {0.1, 0.75}} {
		d := quotaDay{gateways: 5, plan: Plan{WeightFactor: 1, Rate: c.rate / 0.3, Burst: 4, OverQuotaCost: 1}, rate: c.rate, shift: true,
			delay: 0.003, end: 200 / c.rate, seed: 4}
		got := d.play(t)
		calls, refused := float64(got.calls)/float64(got.tries), float64(got.refusedInside)/float64(got.tries)
		if calls > c.calls || refused > 0.01 || got.beyond > got.tries/50 {
			t.Errorf("a request in %g s: %.2f calls a request, %.3f refused though inside, %d of %d beyond",
				1/c.rate, calls, refused, got.beyond, got.tries)
		}
	}
}

// One that asks for five times its quota gets the quota, no more, over many windows.
func TestCustomerBeyondItsQuotaGetsTheQuota(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{2, 5, 20} {
		d := quotaDay{gateways: gateways, plan: quotaPlan(6.8, 3), rate: 34, shift: true, delay: 0.003, warm: 60, end: 260, seed: 2}
		got := d.play(t)
		if share := float64(got.sent) / (d.plan.Rate * (d.end - d.warm)); share < 0.95 || share > 1.08 {
			t.Errorf("%d gateways let in %.3f of the quota", gateways, share)
		}
	}
}

// A burst after a calm hour finds the burst of its plan and what is owed beside it, not all the refill of the hour.
func TestBurstAfterACalmTimeIsBounded(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{2, 20} {
		const warm, burst = 100.0, 4.0
		d := quotaDay{gateways: gateways, plan: quotaPlan(6.8, 3), rate: 2, delay: 0.003, warm: warm, end: warm + burst, seed: 3,
			times: func(now float64) float64 {
				if now > warm {
					return 16
				}
				return 1
			}}
		got := d.play(t)
		// The burst, the refill meanwhile, what own shares hold, and what may not have been written off.
		bound := d.plan.Burst*(2+maxUnusedRefill+maxReportSlack) + d.plan.Rate*burst + localUnits*float64(gateways)
		if float64(got.sent) > bound {
			t.Errorf("%d gateways let in %d units of %d at once, want %.0f at most", gateways, got.sent, got.tries, bound)
		}
	}
}
