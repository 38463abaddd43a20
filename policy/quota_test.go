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

// reportedPair is two gateways of one customer, whose calls a test answers by hand.
func reportedPair(t *testing.T) (ds [2]*drive, totals map[uint64]float64) {
	t.Helper()
	set := testSettings()
	for rank := range ds {
		set.GatewayIndex = rank
		ds[rank] = start(t, set, some(4)...)
	}
	return ds, map[uint64]float64{}
}

// spend has a gateway get requests of a unit and returns the calls that these led to.
func (d *drive) spend(units int) (calls []CounterAdd) {
	for range units {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		for _, s := range find[SendAttempt](out) {
			out = append(out, d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.01, RequestOver: true})...)
		}
		calls = append(calls, find[CounterAdd](out)...)
	}
	return calls
}

func (d *drive) answer(totals map[uint64]float64, c CounterAdd) []CounterAdd {
	totals[c.Name] += c.Amount
	return find[CounterAdd](d.handle(CounterReply{Name: c.Name, Total: totals[c.Name]}))
}

// answerAll answers the calls among actions, and those that come of it, and returns all actions. It ends after a
// thousand, should one call always lead to another.
func (d *drive) answerAll(todo []Action, total func(CounterAdd) float64) (all []Action) {
	for n := 0; n < 1000 && len(todo) > 0; n++ {
		a := todo[0]
		all, todo = append(all, a), todo[1:]
		if c, ok := a.(CounterAdd); ok {
			todo = append(todo, d.handle(CounterReply{Name: c.Name, Total: total(c)})...)
		}
	}
	return all
}

// Two gateways that find the same refill unused both write it off; the second takes its own back, or their
// customer would find an empty store.
func TestRefillIsWrittenOffOnce(t *testing.T) {
	ds, totals := reportedPair(t) // 20 units a second, a burst of 40
	for _, d := range ds {
		d.now += 25 // no window begins meanwhile
	}
	var off [2]CounterAdd
	for i, d := range ds {
		report := one[CounterAdd](t, actions(d.spend(20))) // its own share, told at once
		off[i] = one[CounterAdd](t, actions(d.answer(totals, report)))
		if off[i].Amount <= 0 {
			t.Fatalf("nothing is written off: %v", off[i])
		}
	}
	name, calls := off[0].Name, 0
	for i, d := range ds {
		for todo := []CounterAdd{off[i]}; len(todo) > 0; calls++ {
			todo = append(todo[1:], d.answer(totals, todo[0])...)
		}
	}
	if calls > 4 {
		t.Errorf("%d calls for it", calls)
	}
	floor := ds[0].g.enterWindow(ds[0].g.customers.byID[1])
	if full := totals[name]; math.Abs(full-floor) > 40*(maxReportSlack+0.01) {
		t.Errorf("the counter stands at %.1f, a full store at %.1f", full, floor)
	}
}

// What was spent at the end of a window and could not be told is told in the next one: a customer would else be
// let in that much more each time.
func TestSpendingIsToldInTheNextWindow(t *testing.T) {
	ds, _ := reportedPair(t)
	d := ds[0]
	report := one[CounterAdd](t, actions(d.spend(20)))
	d.handle(CounterReply{Name: report.Name, Outcome: Rejected}) // turned away: nothing was added
	d.now += longWindow
	calls := d.spend(1)
	for range 60 { // the own share is full again, and spent
		if len(calls) > 0 {
			break
		}
		calls = d.spend(1)
	}
	if next := one[CounterAdd](t, actions(calls)); next.Name == report.Name || next.Amount < 20 {
		t.Errorf("the next window's first call is %v, after %v was turned away", next, report)
	}
}

// What is paid by the own share for a request that is never sent is not missing to the others.
func TestWhatIsNeverSentIsTakenOutOfTheNextReport(t *testing.T) {
	ds, _ := reportedPair(t)
	d := ds[0]
	d.g.limiter.limit = 0 // nothing is sent
	for range 5 {
		d.nextID++
		d.handle(Request{ID: d.nextID, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		d.handle(ClientDisconnected{Request: d.nextID})
	}
	if owed := d.g.customers.byID[1].unreportedUnits; owed != 0 {
		t.Errorf("%g units would be told", owed)
	}
}

// A request of a customer inside its quota waits for the end of a short dry spell and is then let in; its client would
// be back no sooner. Where the spell lasts longer it is refused at once.
func TestRequestWaitsForTheEndOfADrySpell(t *testing.T) {
	for plan, waits := range []bool{false, true} { // at 2 units a second and at 20
		set := testSettings()
		d := start(t, set, some(4)...)
		d.g.limiter.limit = 1000
		used := func(part float64) float64 { // the total at which so much of the burst is used
			return d.g.enterWindow(d.g.customers.byID[1]) + part*set.Plans[plan].Burst
		}
		ask := func() []Action {
			d.nextID++
			return d.handle(Request{ID: d.nextID, Plan: plan, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2})
		}
		var out []Action
		for sent := -1; sent < len(find[SendAttempt](out)); out = append(out, ask()...) { // its own share pays
			sent = len(find[SendAttempt](out))
		}
		answer := func(out []Action, part float64) []Action {
			return d.answerAll(out, func(c CounterAdd) float64 { return used(part) + c.Amount })
		}
		// What was spent is told, and the request asks; others have used up all there is.
		if refused := len(find[Reject](answer(out, 1))) > 0; refused == waits {
			t.Errorf("plan %d: refused %t while the store is dry", plan, refused)
		}
		if !waits {
			continue
		}
		d.now += 0.2
		if n := len(find[SendAttempt](answer(d.handle(TimerFired{Token: timerMaintenance << 56}), 0))); n != 1 {
			t.Errorf("%d sends after the dry spell, want the request that waited", n)
		}
	}
}

// Under a ceiling, what is set aside for own shares too small to pay for a unit goes to leases: a burst finds most of
// what the ceiling has room for, all of it through the counter.
func TestLeasesHaveWhatOwnSharesOfACeilingCantUse(t *testing.T) {
	set := testSettings()
	set.Plans[0] = Plan{WeightFactor: 1, Rate: 1.6, Burst: 9, OverQuotaCost: 1, CeilingRate: 3.2, CeilingBurst: 18, CeilingSlack: 1}
	d := start(t, set, some(8)...)
	d.g.limiter.limit = 1000
	sent, total := 0, 0.0
	for range 9 {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Customer: 5, Units: 1, Gateways: 11, Deadline: d.now + 2})
		sent += len(find[SendAttempt](d.answerAll(out, func(c CounterAdd) float64 {
			total += c.Amount
			return total
		})))
	}
	if sent != 7 { // of a burst of 9: two windows and a lease of the last may meet, and the ceiling has 18
		t.Errorf("%d units of a burst of 9 at once, want 7", sent)
	}
}

// What a ceiling has room for beyond the quota is let in where the plan gains by it, as far as the ceiling goes, and
// leaves after all that is inside a quota. Elsewhere it is refused.
func TestCeilingPaysBeyondTheQuotaAtTheLowestLevel(t *testing.T) {
	for _, gains := range []bool{false, true} {
		set := testSettings()
		set.Plans[1] = Plan{WeightFactor: 1.5, Rate: 2, Burst: 4, OverQuotaWeight: 0.3, CeilingRate: 4, CeilingBurst: 14, CeilingSlack: 1}
		if !gains {
			set.Plans[1].OverQuotaCost = 0.5
		}
		d := start(t, set, some(4)...)
		d.now += 30 // its own share is earned
		d.g.limiter.limit = 0
		ask := func(plan int) []Action {
			d.nextID++
			out := d.handle(Request{ID: d.nextID, Plan: plan, Customer: CustomerID(plan), Units: 1, Gateways: 2, Deadline: d.now + 2})
			return d.answerAll(out, func(c CounterAdd) float64 { // others have used up all of plan 1
				if plan == 1 {
					return 1000
				}
				return c.Amount
			})
		}
		beyond := d.nextID + 1
		refused := 0
		for range 10 {
			refused += len(find[Reject](ask(1)))
		}
		if want := map[bool]int{false: 10, true: 8}[gains]; refused != want { // own shares are half of 14 - 1.5*4, for two
			t.Errorf("gains %t: %d of 10 refused beyond the quota, want %d", gains, refused, want)
		}
		if !gains {
			continue
		}
		if out := ask(0); len(find[Reject](out)) > 0 {
			t.Fatalf("a request inside its quota was refused: %v", out)
		}
		inside := d.nextID
		d.g.limiter.limit = 1000
		sent := find[SendAttempt](d.handle(TimerFired{Token: timerMaintenance << 56}))
		if len(sent) < 2 || sent[0].Request != inside || sent[1].Request != beyond {
			t.Errorf("sent %v, want request %d of the cheaper plan, inside its quota, before %d", sent, inside, beyond)
		}
	}
}

// Where a deployment has no counter, own shares are all there is, and nobody is told.
func TestOwnSharesWithoutACounterMakeNoCalls(t *testing.T) {
	set := testSettings()
	set.Counter = false
	d := start(t, set, some(4)...)
	if calls := d.spend(60); len(calls) > 0 {
		t.Errorf("calls without a counter: %v", calls)
	}
}

func actions(calls []CounterAdd) (out []Action) {
	for _, c := range calls {
		out = append(out, c)
	}
	return out
}
