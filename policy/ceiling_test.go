package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestCeilingHoldsWhateverOrderGatewaysAskIn(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		plan := Plan{WeightFactor: 1, Rate: 10, Burst: 10, OverQuotaCost: 1, CeilingRate: 17, CeilingBurst: 17, CeilingSlack: 1.7}
		if seed%2 == 1 { // own shares let in beyond the quota too
			plan.OverQuotaWeight, plan.OverQuotaCost = 0.3, 0
		}
		set := testSettings()
		set.Plans[0] = plan
		gateways := []int{3, 8, 11}[seed%3] // an exact store, and short windows
		var ds []*drive
		for range gateways {
			ds = append(ds, start(t, set, some(30)...))
		}
		totals, store, id := map[uint64]float64{}, plan.CeilingBurst, RequestID(0)
		for step := range 40000 {
			now := 100 + float64(step)*0.002
			store = min(store+plan.CeilingRate*0.002, plan.CeilingBurst)
			n := rng.IntN(gateways)
			d := ds[n]
			d.now = now
			id++
			var todo []Action
			if now < 102 || rng.Float64() < 0.2+0.2*math.Sin(now) || math.Mod(now, 19) < 7 {
				todo = d.handle(Request{ID: id, Units: 1, Gateways: gateways, Customer: 5, Deadline: now + 2})
			} else if step%9 == 0 {
				todo = d.handle(TimerFired{Token: timerMaintenance << 56})
			}
			if rng.IntN(8000) == 0 { // killed, with all it knew
				ds[n] = start(t, set, some(30)...)
				continue
			}
			for len(todo) > 0 {
				a := todo[0]
				todo = todo[1:]
				switch a := a.(type) {
				case SendAttempt:
					store--
					todo = append(todo, d.handle(AttemptEnded{Request: a.Request, Backend: a.Backend, Latency: 0.01, RequestOver: true})...)
				case CounterAdd:
					how := Served
					if phase := math.Mod(now, 19); phase < 4 { // silent, then back empty
						totals, how = map[uint64]float64{}, TimedOut
					}
					totals[a.Name] += a.Amount
					if rng.IntN(50) == 0 {
						how = TimedOut // added, but nobody hears of it
					}
					todo = append(todo, d.handle(CounterReply{Name: a.Name, Outcome: how, Total: totals[a.Name]})...)
				}
			}
			if store < -plan.CeilingSlack {
				t.Fatalf("seed %d: the ceiling's store is at %.2f after %.1f s", seed, store, now-100)
			}
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
