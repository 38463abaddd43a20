package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// ceilingFleet is the gateways of one customer under a ceiling, and what the customer may spend at most: a store that
// refills at the ceiling's rate.
type ceilingFleet struct {
	rng      *rand.Rand
	set      Settings
	gateways []*engineDriver
	totals   map[uint64]float64 // of the counter, by name
	bucket   float64
	now      float64
	lastID   RequestID
}

func newCeilingFleet(t *testing.T, seed uint64, plan Plan) *ceilingFleet {
	t.Helper()
	f := &ceilingFleet{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		set:    testSettings(),
		totals: map[uint64]float64{},
		bucket: plan.CeilingBurst,
	}
	f.set.Plans[0] = plan
	for range []int{3, 8, 11}[seed%3] { // an exact store, and short windows
		f.gateways = append(f.gateways, startEngine(t, f.set, readyBackends(30)...))
	}
	return f
}

// step has one gateway handle a request or do its maintenance, or replaces it by one that knows nothing.
func (f *ceilingFleet) step(t *testing.T, step int) {
	t.Helper()
	plan := f.set.Plans[0]
	f.now = 100 + float64(step)*0.002
	f.bucket = min(f.bucket+plan.CeilingRate*0.002, plan.CeilingBurst)
	n := f.rng.IntN(len(f.gateways))
	d := f.gateways[n]
	d.now = f.now
	f.lastID++
	var actions []Action
	if f.now < 102 || f.rng.Float64() < 0.2+0.2*math.Sin(f.now) || math.Mod(f.now, 19) < 7 {
		actions = d.handle(Request{ID: f.lastID, Units: 1, Gateways: len(f.gateways), Customer: 5, Deadline: f.now + 2})
	} else if step%9 == 0 {
		actions = d.handle(timerFired(maintenanceTimer, 0))
	}
	if f.rng.IntN(8000) == 0 { // killed, with all it knew
		f.gateways[n] = startEngine(t, f.set, readyBackends(30)...)
		return
	}
	f.carryOut(d, actions)
}

// carryOut answers attempts and calls at once, and what comes of that.
func (f *ceilingFleet) carryOut(d *engineDriver, actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case SendAttempt:
			f.bucket--
			actions = append(actions, d.handle(AttemptEnded{Request: action.Request, Backend: action.Backend, Latency: 0.01,
				RequestOver: true})...)
		case CounterAdd:
			actions = append(actions, d.handle(f.reply(action))...)
		}
	}
}

// reply is the counter's: it is silent for some seconds and then comes back empty, and some replies are lost.
func (f *ceilingFleet) reply(call CounterAdd) CounterReply {
	outcome := Served
	if math.Mod(f.now, 19) < 4 {
		f.totals = map[uint64]float64{}
		outcome = TimedOut
	}
	f.totals[call.Name] += call.Amount
	if f.rng.IntN(50) == 0 {
		outcome = TimedOut // added, but the gateway isn't notified
	}
	return CounterReply{Name: call.Name, Outcome: outcome, Total: f.totals[call.Name]}
}

func TestCeilingHoldsInAnyOrderOfCounterCalls(t *testing.T) {
	for seed := range uint64(20) {
		plan := Plan{WeightFactor: 1, Rate: 10, Burst: 10, OverQuotaCost: 1, CeilingRate: 17, CeilingBurst: 17, CeilingSlack: 1.7}
		if seed%2 == 1 { // local tokens admit beyond the quota too
			plan.OverQuotaWeight, plan.OverQuotaCost = 0.3, 0
		}
		f := newCeilingFleet(t, seed, plan)
		for step := range 40000 {
			f.step(t, step)
			if f.bucket < -plan.CeilingSlack {
				t.Fatalf("seed %d: the ceiling's store is at %.2f after %.1f s", seed, f.bucket, f.now-100)
			}
		}
	}
}

// Under a ceiling, what is set aside for local tokens too few to pay for a unit goes to leases: a burst finds most of
// what the ceiling has capacity for, all of it through the counter.
func TestLeasesGetTheCeilingThatLocalTokensCannotUse(t *testing.T) {
	set := testSettings()
	set.Plans[0] = Plan{WeightFactor: 1, Rate: 1.6, Burst: 9, OverQuotaCost: 1, CeilingRate: 3.2, CeilingBurst: 18, CeilingSlack: 1}
	d := startEngine(t, set, readyBackends(8)...)
	d.engine.limiter.limit = 1000
	sent, total := 0, 0.0
	for range 9 {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Customer: 5, Units: 1, Gateways: 11, Deadline: d.now + 2})
		sent += len(actionsOf[SendAttempt](d.answerAll(out, func(call CounterAdd) float64 {
			total += call.Amount
			return total
		})))
	}
	if sent != 7 { // of a burst of 9: two windows and a lease of the last may meet, and the ceiling has 18
		t.Errorf("%d units of a burst of 9 at once, want 7", sent)
	}
}

// What a ceiling has capacity for beyond the quota is admitted where the plan gains by it, as far as the ceiling goes,
// and is sent after all that is inside a quota. Elsewhere it is rejected.
func TestCeilingAdmitsBeyondTheQuotaAtTheLowestLevel(t *testing.T) {
	for _, test := range []struct {
		name          string
		overQuotaCost float64
		admits        bool
		rejected      int // of ten requests beyond the quota
	}{
		// Local bursts are half of 14 - 1.5*4, for two gateways.
		{name: "plan gains by it", overQuotaCost: 0, admits: true, rejected: 8},
		{name: "plan loses by it", overQuotaCost: 0.5, admits: false, rejected: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := testSettings()
			set.Plans[1] = Plan{WeightFactor: 1.5, Rate: 2, Burst: 4, OverQuotaWeight: 0.3, OverQuotaCost: test.overQuotaCost,
				CeilingRate: 4, CeilingBurst: 14, CeilingSlack: 1}
			d := startEngine(t, set, readyBackends(4)...)
			d.now += 30 // its local tokens are earned
			d.engine.limiter.limit = 0
			request := func(plan int) []Action {
				d.nextID++
				out := d.handle(Request{ID: d.nextID, Plan: plan, Customer: CustomerID(plan), Units: 1, Gateways: 2, Deadline: d.now + 2})
				return d.answerAll(out, func(call CounterAdd) float64 { // others have used up all of plan 1
					if plan == 1 {
						return 1000
					}
					return call.Amount
				})
			}
			beyond := d.nextID + 1
			rejected := 0
			for range 10 {
				rejected += len(actionsOf[Reject](request(1)))
			}
			if rejected != test.rejected {
				t.Errorf("%d of 10 rejected beyond the quota, want %d", rejected, test.rejected)
			}
			if !test.admits {
				return
			}
			if out := request(0); len(actionsOf[Reject](out)) > 0 {
				t.Fatalf("a request inside its quota was rejected: %v", out)
			}
			inside := d.nextID
			d.engine.limiter.limit = 1000
			sent := actionsOf[SendAttempt](d.handle(timerFired(maintenanceTimer, 0)))
			if len(sent) < 2 || sent[0].Request != inside || sent[1].Request != beyond {
				t.Errorf("sent %v, want request %d of the cheaper plan, inside its quota, before %d", sent, inside, beyond)
			}
		})
	}
}
