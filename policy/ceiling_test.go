package policy

import (
	"math"
	"math/rand/v2"
	"testing"
)

// ceilingFleet simulates the gateway set of one customer under a ceiling. bucket holds the units that the ceiling still
// allows: a token bucket that refills at the ceiling's rate and is charged for each attempt.
type ceilingFleet struct {
	rng      *rand.Rand
	set      Settings
	gateways []*engineDriver
	totals   map[uint64]float64 // totals at the counter, by name
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
	for range []int{3, 8, 11}[seed%3] { // 3 gateways use refilling windows, 8 and 11 fixed windows
		f.gateways = append(f.gateways, startEngine(t, f.set, readyBackends(30)...))
	}
	return f
}

// step lets one gateway handle a request, run its maintenance, or do neither. Rarely, and at random, it replaces the
// gateway by a new gateway, which has no state.
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
	if f.rng.IntN(8000) == 0 { // the gateway is killed and loses its state
		f.gateways[n] = startEngine(t, f.set, readyBackends(30)...)
		return
	}
	f.carryOut(d, actions)
}

// carryOut ends the attempts and replies to the counter calls among the actions at once. It does the same for the
// actions that these events lead to.
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

// reply returns the counter's reply to a call. In 4 of every 19 seconds, the counter does not reply, and it loses its
// totals. At other times, it adds each amount, but one reply of 50 is lost on average.
func (f *ceilingFleet) reply(call CounterAdd) CounterReply {
	outcome := Served
	if math.Mod(f.now, 19) < 4 {
		f.totals = map[uint64]float64{}
		outcome = TimedOut
	}
	f.totals[call.Name] += call.Amount
	if f.rng.IntN(50) == 0 {
		outcome = TimedOut // the amount was added, but the reply is lost
	}
	return CounterReply{Name: call.Name, Outcome: outcome, Total: f.totals[call.Name]}
}

func TestCeilingHoldsInAnyOrderOfCounterCalls(t *testing.T) {
	for seed := range uint64(20) {
		plan := Plan{WeightFactor: 1, Rate: 10, Burst: 10, OverQuotaCost: 1, CeilingRate: 17, CeilingBurst: 17, CeilingSlack: 1.7}
		if seed%2 == 1 { // local tokens also admit requests over quota
			plan.OverQuotaWeight, plan.OverQuotaCost = 0.3, 0
		}
		f := newCeilingFleet(t, seed, plan)
		for step := range 40000 {
			f.step(t, step)
			if f.bucket < -plan.CeilingSlack {
				t.Fatalf("seed %d: the ceiling's token bucket is at %.2f after %.1f s", seed, f.bucket, f.now-100)
			}
		}
	}
}

// In a large gateway set under a ceiling, the local buckets may be too small to ever hold a whole unit. Leases must
// then get the local buckets' part of the ceiling's burst, which would otherwise be lost to the customer.
func TestLeasesGetTheCeilingThatLocalTokensCannotUse(t *testing.T) {
	set := testSettings()
	set.Plans[0] = Plan{WeightFactor: 1, Rate: 1.6, Burst: 9, OverQuotaCost: 1, CeilingRate: 3.2, CeilingBurst: 18, CeilingSlack: 1}
	d := startEngine(t, set, readyBackends(8)...)
	d.engine.limiter.limit = 1000
	sent, total := 0, 0.0
	for range 9 {
		d.nextID++
		out := d.handle(Request{ID: d.nextID, Customer: 5, Units: 1, Gateways: 11, Deadline: d.now + 2})
		sent += len(actionsOf[SendAttempt](d.replyToAll(out, func(call CounterAdd) float64 {
			total += call.Amount
			return total
		})))
	}
	// The ceiling's 18 units must cover the bursts of two adjacent windows, and unexpired leases of half a burst. The
	// burst of a window is therefore 18/2.5 = 7.2 units instead of 9, and admits 7 requests of one unit.
	if sent != 7 {
		t.Errorf("%d units of a burst of 9 sent at once, want 7", sent)
	}
}

// If requests over quota earn more than they cost, they must be admitted as far as the ceiling allows, and sent after
// all requests within a quota. Otherwise they must be rejected.
func TestCeilingAdmitsOverQuotaAtTheLowestLevel(t *testing.T) {
	for _, test := range []struct {
		name          string
		overQuotaCost float64
		admits        bool
		rejected      int // number of rejections among ten requests over quota
	}{
		// Leases need 1+leaseLifetimeShare = 1.5 times the burst of 4, which leaves 8 of the ceiling's 14 units. Half of
		// the 8 units are local tokens: 2 at each of the two gateways.
		{name: "requests over quota earn more than they cost", overQuotaCost: 0, admits: true, rejected: 8},
		{name: "requests over quota cost more than they earn", overQuotaCost: 0.5, admits: false, rejected: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			set := testSettings()
			set.Plans[1] = Plan{WeightFactor: 1.5, Rate: 2, Burst: 4, OverQuotaWeight: 0.3, OverQuotaCost: test.overQuotaCost,
				CeilingRate: 4, CeilingBurst: 14, CeilingSlack: 1}
			d := startEngine(t, set, readyBackends(4)...)
			d.now += 30 // the local tokens refill
			d.engine.limiter.limit = 0
			request := func(plan int) []Action {
				d.nextID++
				out := d.handle(Request{ID: d.nextID, Plan: plan, Customer: CustomerID(plan), Units: 1, Gateways: 2, Deadline: d.now + 2})
				return d.replyToAll(out, func(call CounterAdd) float64 { // other gateways have used up the quota of plan 1
					if plan == 1 {
						return 1000
					}
					return call.Amount
				})
			}
			overQuota := d.nextID + 1
			rejected := 0
			for range 10 {
				rejected += len(actionsOf[Reject](request(1)))
			}
			if rejected != test.rejected {
				t.Errorf("%d of 10 requests over quota rejected, want %d", rejected, test.rejected)
			}
			if !test.admits {
				return
			}
			if out := request(0); len(actionsOf[Reject](out)) > 0 {
				t.Fatalf("a request within its quota was rejected: %v", out)
			}
			withinQuota := d.nextID
			d.engine.limiter.limit = 1000
			sent := actionsOf[SendAttempt](d.handle(timerFired(maintenanceTimer, 0)))
			if len(sent) < 2 || sent[0].Request != withinQuota || sent[1].Request != overQuota {
				t.Errorf("sent %v, want request %d, within the quota of its cheaper plan, before request %d over quota",
					sent, withinQuota, overQuota)
			}
		})
	}
}
