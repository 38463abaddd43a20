package policy

import (
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// drive drives one gateway by hand and keeps the actions of the last event.
type drive struct {
	t      *testing.T
	g      *Engine
	now    float64
	last   []Action
	nextID RequestID
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{{LatencyObjective: 0.8, Deadline: 2, PriorityWeight: 1},
			{LatencyObjective: 1, Deadline: 3, PriorityWeight: 3, Idempotency: IdempotentByKey, DedupeScope: ScopeCell, DedupeWindow: 2}},
		Plans:     []Plan{{WeightFactor: 0.5, Rate: 2, Burst: 4, OverQuotaCost: 1}, {WeightFactor: 1.5, Rate: 20, Burst: 40, OverQuotaCost: 1}},
		FleetSize: 2, Tick: 0.002, Counter: true, CounterTimeout: 0.05,
		CanCancel: true, CanHedge: true, CanSendRetryAfter: true, MaxRetryAfter: 0.5, MaxAttempts: 4, AnswerSlack: 0.008,
		DrainGrace: 1, SlowStartMinShare: 0.2, SlowStartWindow: 10, OverloadFactor: 2, OverloadDuration: 2,
	}
}

// seldomSettings have a plan 1 whose burst, shared by two gateways, doesn't pay for a request of two units: it needs
// a call.
func seldomSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate, set.Plans[1].Burst = 0.1, 3
	return set
}

// exactSettings have a plan 1 that two gateways keep exactly, by calls alone: one with a ceiling.
func exactSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate, set.Plans[1].CeilingRate, set.Plans[1].CeilingBurst = 0.1, 1, 140
	return set
}

func start(t *testing.T, set Settings, backends ...Backend) *drive {
	t.Helper()
	d := &drive{t: t, now: 100}
	d.g, d.last = New(set, 7, d.now, nil)
	d.handle(EndpointsUpdated{Kind: CachedList, Entries: backends})
	return d
}

func ready(id BackendID) Backend { return Backend{ID: id, State: Ready, Cell: int(id) / 2, Weight: 1} }

func some(n int) (out []Backend) {
	for i := range n {
		out = append(out, ready(BackendID(i+1)))
	}
	return out
}

func (d *drive) handle(ev Event) []Action {
	d.last = d.g.Handle(d.now, ev, nil)
	return d.last
}

// ask sends a request of the class and plan and answers its counter calls in full.
func (d *drive) ask(class, plan int, who CustomerID) RequestID {
	d.nextID++
	set := d.g.settings
	out := d.handle(Request{ID: d.nextID, Class: class, Plan: plan, Customer: who, Units: 1, Gateways: 2,
		Deadline: d.now + set.Classes[class].Deadline})
	d.last = append(out, d.grantAll(out)...)
	return d.nextID
}

func (d *drive) grantAll(actions []Action) (all []Action) {
	for _, c := range find[CounterAdd](actions) {
		all = append(all, d.g.Handle(d.now, CounterReply{Name: c.Name, Total: c.Amount}, nil)...)
	}
	return all
}

func find[A Action](actions []Action) (out []A) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			out = append(out, x)
		}
	}
	return out
}

func one[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	all := find[A](actions)
	if len(all) != 1 {
		var none A
		t.Fatalf("want one %T, got %v", none, actions)
	}
	return all[0]
}

// The deciding code stands in files that the deploy file names, each of them, and in no other: what is left out holds
// the interface. Their lines are short enough to be read side by side.
func TestPolicyNamesTheDecidingFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	named := map[string]bool{}
	for file := range strings.SplitSeq(list, ",") {
		named[strings.TrimPrefix(strings.Trim(file, " \""), "policy/")] = true
	}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	vocabulary := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true}
	decide := 0
	for _, f := range files {
		name := f.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		if decides := !vocabulary[name]; decides != named[name] {
			t.Errorf("%s decides %t, and is named under policy %t", name, decides, named[name])
		}
		if !named[name] {
			continue
		}
		decide++
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if len(l) > 110 {
				t.Errorf("%s, line %d has %d characters, 110 are allowed", name, i+1, len(l))
			}
		}
	}
	if decide != len(named) {
		t.Errorf("%d deciding files are there, %d are named", decide, len(named))
	}
}

func TestHeldRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	d := start(t, testSettings()) // no backend at all
	id := d.ask(0, 1, 1)
	if n := len(find[SendAttempt](d.last)); n != 0 {
		t.Fatalf("sent %d with no backend", n)
	}
	d.now += 0.8
	out := d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(id)})
	if r := one[Reject](t, out); r.Request != id {
		t.Errorf("refused %d, want %d", r.Request, id)
	}
	d.now += 1
	if out := d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(id)}); len(find[Reject](out))+len(find[FailRequest](out)) > 0 {
		t.Error("answered twice")
	}
}

func TestKeyedRepeatStaysInItsCellAndEndsInFailure(t *testing.T) {
	d := start(t, testSettings(), some(6)...)
	id := d.ask(1, 1, 1)
	first := one[SendAttempt](t, d.last)
	d.now += 0.05
	out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: 0.05})
	second := one[SendAttempt](t, out)
	if first.Backend/2 != second.Backend/2 {
		t.Errorf("repeat went from backend %d to %d, another cell", first.Backend, second.Backend)
	}
	d.now += 0.9
	out = d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(id)})
	if len(find[Reject](out)) > 0 {
		t.Error("refused a keyed request that may have run")
	}
	one[FailRequest](t, out)
}

// A repeat may have to wait for its connection: it must arrive within the window
// even so.
func TestKeyedRepeatArrivesWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		after float64
		again bool
	}{{0.19, true}, {0.21, false}} {
		set := testSettings()
		set.ConnectTimeout, set.Classes[1].DedupeWindow = 0.3, 0.5
		d := start(t, set, some(6)...)
		id := d.ask(1, 1, 1)
		first := one[SendAttempt](t, d.last)
		d.now += c.after
		out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: Failed, Latency: c.after})
		if got := len(find[SendAttempt](out)) == 1; got != c.again {
			t.Errorf("%g s after the first send: sent again %t", c.after, got)
		}
	}
}

func TestOnceIsRepeatedOnlyAfterProof(t *testing.T) {
	set := testSettings()
	set.Classes[0].Idempotency = NonIdempotent
	for _, c := range []struct {
		how  Outcome
		more bool
	}{{Rejected, true}, {ConnectFailed, true}, {Failed, false}, {ConnectionReset, false}, {TimedOut, false}} {
		d := start(t, set, some(4)...)
		id := d.ask(0, 1, 1)
		first := one[SendAttempt](t, d.last)
		out := d.handle(AttemptEnded{Request: id, Backend: first.Backend, Outcome: c.how, Latency: 0.01})
		if got := len(find[SendAttempt](out)) == 1; got != c.more {
			t.Errorf("outcome %v: another attempt %v, want %v", c.how, got, c.more)
		}
		if !c.more && len(find[FailRequest](out)) != 1 {
			t.Errorf("outcome %v: not failed: %v", c.how, out)
		}
	}
}

func TestNothingGoesToADrainingBackend(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{{ID: 1, State: Draining}}})
	for range 8 {
		d.ask(0, 1, 1)
		for _, s := range find[SendAttempt](d.last) {
			if s.Backend == 1 {
				t.Fatal("sent to a draining backend")
			}
		}
	}
	d.handle(EndpointsUpdated{Kind: FullList})
	d.ask(0, 1, 1)
	if n := len(find[SendAttempt](d.last)); n > 0 {
		t.Error("sent to a backend that a full list no longer names")
	}
}

func TestColdBackendGetsNoBurst(t *testing.T) {
	cold := Backend{ID: 9, State: Ready, StartedAt: 99.9}
	d := start(t, testSettings(), append(some(1), cold)...)
	toCold := 0
	var out []SendAttempt
	for i := range 200 {
		d.now = 100 + float64(i)*0.01
		d.ask(0, 1, CustomerID(i))
		for _, s := range find[SendAttempt](d.last) {
			if s.Backend == 9 {
				toCold++
			}
			out = append(out, s)
		}
		if len(out) > 3 { // each takes four steps
			d.handle(AttemptEnded{Request: out[0].Request, Backend: out[0].Backend, Latency: 0.04, RequestOver: true})
			out = out[1:]
		}
		d.handle(TimerFired{Token: timerMaintenance << 56})
	}
	// A warm backend had 100 a second for two seconds; the cold one may do 20 to 36 of these.
	if toCold > 2*2*36 {
		t.Errorf("%d sends to a cold backend in 2 s", toCold)
	}
	if toCold == 0 {
		t.Error("a cold backend never gets anything and cannot take over")
	}
}

func TestHeldRequestsLeaveHighestLevelFirst(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	d.g.limiter.limit = 4
	var first RequestID
	var busy SendAttempt
	for i := range 4 {
		first = d.ask(0, 1, CustomerID(10+i))
		busy = one[SendAttempt](t, d.last)
	}
	low := d.ask(0, 0, 2)
	high := d.ask(1, 1, 3)
	if n := len(find[SendAttempt](d.last)); n > 0 {
		t.Fatal("the bound does not hold")
	}
	out := d.handle(AttemptEnded{Request: first, Backend: busy.Backend, Latency: 0.01, RequestOver: true})
	if s := one[SendAttempt](t, out); s.Request != high {
		t.Errorf("released %d first, want the higher level %d before %d", s.Request, high, low)
	}
}

func TestReserveIsForTopLevels(t *testing.T) {
	d := start(t, testSettings(), some(4)...)
	d.g.limiter.limit = 10
	sent := 0
	for i := range 30 {
		d.ask(0, 0, CustomerID(i))
		sent += len(find[SendAttempt](d.last))
	}
	if sent != 9 {
		t.Errorf("%d of the lowest level in flight, want 9 of a bound of 10", sent)
	}
	d.ask(1, 1, 99)
	if n := len(find[SendAttempt](d.last)); n != 1 {
		t.Error("the top level cannot use the reserve")
	}
}

func TestBeyondQuotaIsRefusedUntilTheWindowEnds(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	out := d.handle(Request{ID: 1, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
	call := one[CounterAdd](t, out)
	// Others have used the window up.
	out = d.handle(CounterReply{Name: call.Name, Total: 100})
	if r := one[Reject](t, out); r.RetryAfter < 0 || r.RetryAfter > 0.5 {
		t.Errorf("advice %v, want up to the longest that is heeded", r.RetryAfter)
	}
	if n := len(find[CounterAdd](out)); n > 0 {
		t.Errorf("%d more calls for a window that is used up", n)
	}
	asked := 0
	for range 40 { // a window is a few seconds long
		d.now += 0.1
		d.nextID += 10
		out = d.handle(Request{ID: d.nextID, Units: 1, Gateways: 60, Customer: 5, Deadline: d.now + 2})
		if calls := find[CounterAdd](out); len(calls) == 1 && calls[0].Name != call.Name {
			asked++
			break
		} else if len(calls) > 0 {
			t.Fatal("asked again for a window that is used up")
		}
	}
	if asked != 1 {
		t.Error("does not ask for the next window")
	}
}

func TestRepeatWhoseAimHasPassedIsRefused(t *testing.T) {
	set := testSettings()
	d := start(t, set, some(4)...)
	send := func(id RequestID, left float64) int {
		out := d.handle(Request{ID: id, Plan: 1, Units: 1, Gateways: 2, Customer: 5, Deadline: d.now + left})
		out = append(out, d.grantAll(out)...)
		for _, s := range find[SendAttempt](out) {
			d.now += 0.1
			d.handle(AttemptEnded{Request: id, Backend: s.Backend, Latency: 0.1, RequestOver: true})
		}
		return len(find[SendAttempt](out))
	}
	if send(1, 0.9) != 1 {
		t.Error("refused with nothing known of how long clients wait")
	}
	for id := range RequestID(4) {
		if send(10+id, 1.4) != 1 {
			t.Error("a first try was refused")
		}
	}
	// Of its two seconds the client has spent 1.1, and the aim is 0.8.
	if send(20, 0.9) != 0 {
		t.Error("sent a repeat that can earn nothing")
	}
	if send(21, 1.8) != 1 {
		t.Error("refused a repeat that has most of its aim left")
	}
}

func TestUnansweredCallGrantsNothingAndTheLocalShareHolds(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	sent, refused := 0, 0
	for i := range 10 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 2, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		for _, a := range find[SendAttempt](out) {
			sent++
			d.handle(AttemptEnded{Request: a.Request, Backend: a.Backend, Latency: 0.01, RequestOver: true})
		}
		refused += len(find[Reject](out))
	}
	if sent != 2 || refused != 0 {
		t.Errorf("sent %d and refused %d at once, want burst/gateways = 2, the rest held for the counter", sent, refused)
	}
	d.now += 0.79
	for i := range 10 {
		refused += len(find[Reject](d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(i+1)})))
	}
	if refused != 8 {
		t.Errorf("sent %d and refused %d, want burst/gateways = 2 and 8", sent, refused)
	}
}

// All gateways of a customer together hold its limit on attempts out at once without a call for it: a few
// dozen of them asking for places would crowd the counter.
func TestPlacesOfFewGatewaysAreHeldWithoutCalls(t *testing.T) {
	set := testSettings()
	set.FleetSize, set.Plans[0] = 80, Plan{WeightFactor: 1, MaxConcurrent: 3}
	var ds []*drive
	for rank := range 4 {
		set.GatewayIndex = (78 + rank) % 80 // the customer's set is 78, 79, 0, 1
		ds = append(ds, start(t, set, some(60)...))
	}
	sent, refused, id := []SendAttempt{}, 0, RequestID(0)
	for round := range 3 {
		for _, d := range ds {
			id++
			out := d.handle(Request{ID: id, Units: 1, FirstGateway: 78, Gateways: 4, Customer: 5, Deadline: d.now + 2})
			if calls := find[CounterAdd](out); len(calls) > 0 {
				t.Fatalf("calls for places: %v", calls)
			}
			sent = append(sent, find[SendAttempt](out)...)
			for _, r := range find[Reject](out) {
				if refused++; r.RetryAfter <= 0 && round > 0 {
					t.Errorf("refused with no word on when to come back: %+v", r)
				}
			}
		}
		for _, d := range ds {
			d.g.latency.mean = 0.1
		}
	}
	if len(sent) != 3 || refused != 3 {
		t.Fatalf("%d attempts out and %d refused, want the limit of 3, and the 3 at the gateway without a place", len(sent), refused)
	}
	for i, d := range ds[:3] {
		d.now += 0.1
		out := d.handle(AttemptEnded{Request: sent[i].Request, Backend: sent[i].Backend, Outcome: Served, Latency: 0.1})
		one[SendAttempt](t, out) // the place is free for one that was held
	}
}

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

func TestFastFailuresDoNotAttractTraffic(t *testing.T) {
	d := start(t, testSettings(), some(6)...)
	toBad := 0
	for i := range 300 {
		d.now += 0.01
		d.ask(0, 1, CustomerID(i%5))
		todo := d.last
		for len(todo) > 0 {
			for _, s := range find[SendAttempt](todo[:1]) {
				how := Served
				if s.Backend == 3 {
					how = Failed
					toBad++
				}
				n := len(d.g.requests[s.Request].attempts) - 1
				todo = append(todo, d.handle(AttemptEnded{Request: s.Request, Attempt: n, Backend: s.Backend, Outcome: how,
					Latency: 0.002, RequestOver: how == Served})...)
			}
			todo = todo[1:]
		}
	}
	if toBad > 20 {
		t.Errorf("%d of 300 went to the backend that fails at once", toBad)
	}
}

// A backend that failed once or was slow once is used again in time, though nothing is sent there that could
// put it right; one that is left out waits for its trials.
func TestWhatIsKnownOfABackendFades(t *testing.T) {
	d := start(t, testSettings(), some(3)...)
	d.g.latency.mean = 0.1
	once, slow, out := d.g.backends.byID[1], d.g.backends.byID[2], d.g.backends.byID[3]
	once.failureRate, slow.latency, out.failureRate = failureGain, 0.4, 0.9
	for range int(2 * healthDecayTime / maintenanceInterval) {
		d.now += maintenanceInterval
		d.handle(TimerFired{Token: timerMaintenance << 56})
	}
	if once.failureRate > 0.05 || slow.latency > 0.15 || out.failureRate != 0.9 {
		t.Errorf("failures %.2f, latency %.2f, failures of the one left out %.2f", once.failureRate, slow.latency, out.failureRate)
	}
}

func TestGivenUpAttemptsStayCounted(t *testing.T) {
	set := testSettings()
	set.MaxAttempts = 1
	d := start(t, set, some(1)...)
	d.g.limiter.limit, d.g.latency.mean = 3.4, 0.5
	for i := range 3 {
		d.ask(0, 1, CustomerID(i))
		s := one[SendAttempt](t, d.last)
		d.now += 0.1
		d.handle(AttemptEnded{Request: s.Request, Backend: 1, Outcome: TimedOut, Latency: 0.1})
	}
	d.ask(0, 1, 9)
	if n := len(find[SendAttempt](d.last)); n > 0 {
		t.Error("a timed-out attempt made room although its backend may still work on it")
	}
}

func TestRetriesCannotAmplifyAnOutage(t *testing.T) {
	d := start(t, testSettings(), some(8)...)
	d.g.limiter.limit = 1000
	sends := 0
	for i := range 400 {
		d.now += 0.05
		d.ask(0, 1, CustomerID(i))
		todo := d.last
		for len(todo) > 0 {
			for _, s := range find[SendAttempt](todo[:1]) {
				sends++
				n := len(d.g.requests[s.Request].attempts) - 1
				todo = append(todo, d.handle(AttemptEnded{Request: s.Request, Attempt: n, Backend: s.Backend, Outcome: Failed,
					Latency: 0.001})...)
			}
			todo = todo[1:]
		}
	}
	if limit := 400*(1+retryShare) + maxRetryTokens + 1; float64(sends) > limit {
		t.Errorf("%d sends for 400 requests that all fail, want %v at most", sends, limit)
	}
}

func TestCallsThinOutWhenTheCounterFails(t *testing.T) {
	calls := func(how Outcome) int {
		d := start(t, testSettings(), some(8)...)
		n := 0
		for i := range 400 {
			d.now += 0.01
			out := d.handle(Request{ID: RequestID(i + 1), Units: 3, Gateways: 2, Customer: CustomerID(i), Deadline: d.now + 2})
			for _, c := range find[CounterAdd](out) {
				n++
				d.handle(CounterReply{Name: c.Name, Outcome: how, Total: c.Amount})
			}
		}
		return n
	}
	well, down := calls(Served), calls(TimedOut)
	if well < 400 || down > well/2 || down == 0 {
		t.Errorf("%d calls to a counter that answers, %d to one that does not", well, down)
	}
}

// A spoilt answer is no sign of a crowd: the customer is asked for again at once, and what was added without
// a grant is taken back with it. Only when all answers are spoilt do calls become rare.
func TestSpoiltAnswerIsTakenBack(t *testing.T) {
	d := start(t, seldomSettings(), some(2)...)
	first := one[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 2, Gateways: 2, Deadline: d.now + 2}))
	second := one[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Outcome: Failed}))
	total := first.Amount + second.Amount
	out := d.handle(CounterReply{Name: second.Name, Total: total})
	one[SendAttempt](t, out)
	for _, back := range find[CounterAdd](out) {
		total += back.Amount
	}
	window := d.g.enterWindow(d.g.customers.byID[1])
	if lent := d.g.customers.byID[1].leasedUnits + 1; math.Abs(total-window-lent) > 1 {
		t.Errorf("the counter holds %.1f beyond the refill of %.1f, but %.1f were lent", total-window, window, lent)
	}
	if d.g.counter.failureRate > 0 {
		t.Errorf("a crowd of %v was seen", d.g.counter.failureRate)
	}
	calls := 0
	for i := range 200 {
		out := d.handle(Request{ID: RequestID(i + 2), Plan: 1, Customer: 2, Units: 2, Gateways: 2, Deadline: d.now + 2})
		for n := 0; len(find[CounterAdd](out)) > 0; n++ {
			call := one[CounterAdd](t, out)
			out = d.handle(CounterReply{Name: call.Name, Outcome: Failed})
			calls++
		}
		d.now += 0.01
	}
	if calls < 3 || calls > 10 {
		t.Errorf("%d calls in 2 s to a counter whose every answer is spoilt", calls)
	}
}

// Most backends have looked bad for a while: each still gets its trials, and is back once these go well.
func TestTrialsWhenMostLookBad(t *testing.T) {
	set := testSettings()
	set.Plans[1].Rate = 0
	d := start(t, set, some(4)...)
	for _, s := range d.g.backends.ordered {
		if s.ID != 1 {
			s.failureRate = 0.9
		}
	}
	for range 600 {
		d.now += 0.05
		d.ask(0, 1, 1)
		for _, s := range find[SendAttempt](d.last) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.05})
		}
	}
	for _, s := range d.g.backends.ordered {
		if s.ejected() {
			t.Errorf("backend %d is left out, share of failures %.2f", s.ID, s.failureRate)
		}
	}
}

// A call that was turned away is lost to nobody: what it told or took back goes out with a later one.
func TestTurnedAwayCallIsToldLater(t *testing.T) {
	d := start(t, exactSettings(), some(2)...)
	first := one[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	// Another gateway has begun the window: what this one wrote off is there twice and is taken back.
	back := one[CounterAdd](t, d.handle(CounterReply{Name: first.Name, Total: 2*first.Amount + 1}))
	if back.Amount > -1 {
		t.Fatalf("nothing was taken back: %v", back)
	}
	d.handle(CounterReply{Name: back.Name, Outcome: Rejected})
	d.now += maxCounterBackoff
	again := one[CounterAdd](t, d.handle(TimerFired{Token: timerMaintenance << 56}))
	if again.Amount != back.Amount || again.Name != back.Name {
		t.Errorf("%v was turned away, told later: %v", back, again)
	}
	if more := d.handle(CounterReply{Name: again.Name}); len(find[CounterAdd](more)) > 0 {
		t.Errorf("told again: %v", more)
	}
}

// A total that is far too high, since another gateway has yet to take something back, must not hold a customer
// for dry longer than it takes to fill some units.
func TestDryIsSoonLookedAtAgain(t *testing.T) {
	d := start(t, exactSettings(), some(2)...)
	first := one[CounterAdd](t, d.handle(Request{ID: 1, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	out := d.handle(CounterReply{Name: first.Name, Total: first.Amount + 1000})
	one[Reject](t, out)
	d.handle(CounterReply{Name: one[CounterAdd](t, out).Name, Total: 1000}) // its own double write-off
	d.now += (maxExhaustedUnits + 0.1) / d.g.settings.Plans[1].Rate
	next := one[CounterAdd](t, d.handle(Request{ID: 2, Plan: 1, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now + 2}))
	full := d.g.enterWindow(d.g.customers.byID[1]) // it has been taken back, and the store is full
	one[SendAttempt](t, d.handle(CounterReply{Name: next.Name, Total: full + next.Amount}))
}

func TestPlacesWithoutTheCounterSumToTheLimit(t *testing.T) {
	set := testSettings()
	set.Counter, set.FleetSize = false, 5
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	sent := 0
	for rank := range 3 {
		set.GatewayIndex = (4 + rank) % 5 // the customer's set is 4, 0, 1
		d := start(t, set, some(8)...)
		for i := range 3 {
			out := d.handle(Request{ID: RequestID(i + 1), Units: 1, FirstGateway: 4, Gateways: 3, Customer: 5, Deadline: d.now + 2})
			sent += len(find[SendAttempt](out))
		}
	}
	if sent != 2 {
		t.Errorf("%d attempts out of the customer at three gateways, want its limit of 2", sent)
	}
}

func TestFailedDiscoveryIsAskedAgainAfterAPause(t *testing.T) {
	set := testSettings()
	set.PollDiscovery = true
	d := &drive{t: t, now: 100}
	d.g, d.last = New(set, 7, d.now, nil)
	one[PollEndpoints](t, d.last)
	out := d.handle(EndpointsUpdated{Kind: ListFailed})
	if len(find[PollEndpoints](out)) > 0 {
		t.Error("asked again at once")
	}
	pause := one[SetTimer](t, out)
	d.now += pause.Delay
	one[PollEndpoints](t, d.handle(TimerFired{Token: pause.Token}))
}

func TestBoundOfManyGatewaysIsKeptInTheMean(t *testing.T) {
	set := testSettings()
	set.FleetSize, set.Counter = 300, false
	d := start(t, set, some(60)...)
	d.g.limiter.limit = 0.5 // half an attempt each
	var out []SendAttempt
	sent, together := 0, 0
	for i := range 4000 { // ten a second; each takes half a second
		d.now += 0.1
		for len(out) > 0 && d.now > d.g.requests[out[0].Request].attempts[0].sentAt+0.5 {
			d.handle(AttemptEnded{Request: out[0].Request, Backend: out[0].Backend, Latency: 0.5, Outcome: Rejected})
			out = out[1:]
		}
		d.g.limiter.limit = 0.5
		d.g.retries.tokens = 0
		d.nextID++
		sends := find[SendAttempt](d.handle(Request{ID: d.nextID, Plan: 1, Units: 1, Gateways: 300, Customer: CustomerID(i),
			Deadline: d.now + 2}))
		for _, id := range []RequestID{d.nextID, d.nextID - 8} {
			d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(id)})
		}
		sent += len(sends)
		out = append(out, sends...)
		together = max(together, d.g.limiter.inFlight)
	}
	mean := float64(sent) * 0.5 / 400
	if mean > 0.75 || mean < 0.2 {
		t.Errorf("%.2f attempts in flight on average with a bound of a half", mean)
	}
	if together < 1 || together > 3 {
		t.Errorf("%d attempts at once", together)
	}
}

func TestBlocksLeaveNoUnitThatNobodyComesFor(t *testing.T) {
	d := start(t, testSettings(), some(4)...)
	for i := range 20 { // a customer seen once in ten seconds at this gateway
		d.now += 10
		out := d.handle(Request{ID: RequestID(i + 1), Plan: 1, Units: 1, Gateways: 300, Customer: 5, Deadline: d.now + 2})
		if call := one[CounterAdd](t, out); call.Amount != 1 {
			t.Fatalf("took %v units for one request", call.Amount)
		}
		for _, s := range find[SendAttempt](d.grantAll(out)) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true})
		}
	}
}

func TestRequestIsNotHeldForACrowdedCounter(t *testing.T) {
	d := start(t, testSettings(), some(4)...)
	for i := range 3 {
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 100, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: TimedOut})...)
		}
		if i == 0 {
			one[SendAttempt](t, out) // the share of this gateway
		} else {
			one[Reject](t, out)
		}
	}
}

func TestPlacesOfManyGatewaysAreKeptAsARate(t *testing.T) {
	set := testSettings()
	set.FleetSize = 100
	set.Plans[0] = Plan{WeightFactor: 1, MaxConcurrent: 2}
	d := start(t, set, some(40)...)
	d.g.latency.mean, d.g.limiter.limit = 0.1, 100
	total, sent := 0.0, 0
	names := map[uint64]bool{}
	for i := range 60 { // 60 requests within one window
		d.now += 0.001
		out := d.handle(Request{ID: RequestID(i + 1), Units: 1, Gateways: 50, Customer: 5, Deadline: d.now + 2})
		for _, c := range find[CounterAdd](out) {
			names[c.Name] = true
			total += c.Amount
			out = append(out, d.handle(CounterReply{Name: c.Name, Total: total})...)
		}
		sent += len(find[SendAttempt](out))
	}
	// Two places, a tenth of a second each: 20 a second at most, in two windows at most.
	if sent < 10 || sent > 20*len(names) {
		t.Errorf("%d requests let in, want about 13", sent)
	}
}

func TestGoneBackendsAreForgotten(t *testing.T) {
	d := start(t, testSettings(), some(3)...)
	for i := range 50 {
		id := BackendID(10 + i)
		d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{ready(id)}})
		d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{{ID: id, State: Removed}}})
		d.now += 0.05
		d.handle(TimerFired{Token: timerMaintenance << 56})
	}
	if len(d.g.backends.ordered) != 3 || len(d.g.backends.byID) != 3 {
		t.Errorf("%d listed and %d known, want 3", len(d.g.backends.ordered), len(d.g.backends.byID))
	}
}

// TestOddInputIsMetCalmly drives the module with what no sound deployment sends.
func TestOddInputIsMetCalmly(t *testing.T) {
	for name, set := range map[string]Settings{
		"nothing set": {Classes: []Class{{}}, Plans: []Plan{{}}},
		"no fleet":    {Classes: []Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}}, Plans: []Plan{{WeightFactor: 1, Rate: 1, Burst: 1}}, Counter: true},
		"no burst": {Classes: []Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}}, Plans: []Plan{{WeightFactor: 1, Rate: 5, CeilingRate: 1}},
			FleetSize: 1, Counter: true, Tick: 0.002},
		"places alone": {Classes: []Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}}, Plans: []Plan{{WeightFactor: 1, MaxConcurrent: 1}},
			FleetSize: 3, Counter: true, Tick: 0.002},
	} {
		d := start(t, set, some(2)...)
		answered := 0
		for i, gateways := range []int{0, 1, 3, 1000} {
			id := RequestID(i + 1)
			out := d.handle(Request{ID: id, Units: 1, Gateways: gateways, FirstGateway: 7, Customer: 5, Deadline: d.now + 2})
			for _, c := range find[CounterAdd](out) {
				out = append(out, d.handle(CounterReply{Name: c.Name, Total: math.Inf(1)})...)
				out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: Rejected})...) // twice
			}
			d.handle(CounterReply{Name: 99})
			d.handle(AttemptEnded{Request: id, Attempt: 9, Backend: 77, Outcome: Served})
			d.handle(AttemptEnded{Request: 12345, Backend: 1, Outcome: NotSent})
			d.handle(EndpointsUpdated{Kind: FullList})
			d.handle(EndpointsUpdated{Kind: Delta, Entries: some(1)})
			out = append(out, d.handle(TimerFired{Token: timerMaintenance << 56})...)
			for _, s := range find[SendAttempt](out) {
				end := AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true}
				d.handle(end)
				d.handle(end) // repeated
				answered++
			}
			answered += len(find[Reject](out)) + len(find[FailRequest](out))
			d.now += 2
			answered += len(find[Reject](d.handle(TimerFired{Token: timerAnswerDeadline<<56 | uint64(id)})))
		}
		if answered != 4 {
			t.Errorf("%s: %d of 4 requests answered", name, answered)
		}
	}
}

// TestRandomEvents checks the rules on the module's actions under odd orders of events.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		first := randomRun(t, seed)
		if second := randomRun(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: the same events led to other actions", seed)
		}
	}
}

type openRequest struct {
	Request
	attempts []SendAttempt
	out      []int
	ended    bool
}

func randomRun(t *testing.T, seed uint64) (log []Action) {
	rng := rand.New(rand.NewPCG(seed, 2))
	set := testSettings()
	set.CanHedge = seed%2 == 0
	set.Counter = seed%3 != 0
	set.Classes = append(set.Classes, Class{LatencyObjective: 0.5, Deadline: 1, PriorityWeight: 2, Idempotency: NonIdempotent})
	d := start(t, set, some(5)...)
	open := map[RequestID]*openRequest{}
	var order []RequestID
	type timer struct {
		at    float64
		token uint64
	}
	timers := []timer{{100.05, timerMaintenance << 56}}
	var calls []CounterAdd
	notReady := map[BackendID]bool{}
	take := func(actions []Action) {
		log = append(log, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case SendAttempt:
				o := open[a.Request]
				if o.ended {
					t.Fatalf("seed %d: sent request %d after its end", seed, a.Request)
				}
				if notReady[a.Backend] {
					t.Fatalf("seed %d: sent to %d, which drains", seed, a.Backend)
				}
				if len(o.out) > 0 && !set.CanHedge {
					t.Fatalf("seed %d: two attempts out", seed)
				}
				o.out = append(o.out, len(o.attempts))
				o.attempts = append(o.attempts, a)
				if len(o.attempts) > set.MaxAttempts {
					t.Fatalf("seed %d: %d attempts", seed, len(o.attempts))
				}
			case Reject:
				o := open[a.Request]
				if o.ended {
					t.Fatalf("seed %d: two answers", seed)
				}
				o.ended = true
			case FailRequest:
				if open[a.Request].ended {
					t.Fatalf("seed %d: two answers", seed)
				}
				open[a.Request].ended = true
			case SetTimer:
				timers = append(timers, timer{d.now + a.Delay, a.Token})
			case CounterAdd:
				calls = append(calls, a)
			}
		}
	}
	for range 3000 {
		d.now += 0.002
		for i := 0; i < len(timers); i++ {
			if timers[i].at <= d.now {
				due := timers[i]
				timers = slices.Delete(timers, i, i+1)
				i--
				take(d.handle(TimerFired{Token: due.token}))
			}
		}
		for _, id := range order {
			if o := open[id]; !o.ended && d.now > o.Deadline+set.AnswerSlack {
				t.Fatalf("seed %d: request %d was not answered in time", seed, id)
			}
		}
		switch rng.IntN(6) {
		case 0, 1:
			d.nextID++
			r := Request{ID: d.nextID, Class: rng.IntN(3), Plan: rng.IntN(2), Customer: CustomerID(rng.IntN(4)), Units: 1,
				Gateways: 2}
			r.Deadline = d.now + set.Classes[r.Class].Deadline*(0.5+rng.Float64()/2)
			open[r.ID] = &openRequest{Request: r}
			order = append(order, r.ID)
			take(d.handle(r))
		case 2, 3:
			if len(order) == 0 {
				continue
			}
			o := open[order[max(0, len(order)-1-rng.IntN(20))]]
			if len(o.out) == 0 {
				continue
			}
			n := o.out[0]
			o.out = o.out[1:]
			how := []Outcome{Served, Served, Failed, Rejected, TimedOut, ConnectionReset, ConnectFailed}[rng.IntN(7)]
			done := o.ended || how == Served
			o.ended = done
			take(d.handle(AttemptEnded{Request: o.ID, Attempt: n, Backend: o.attempts[n].Backend, Outcome: how, Latency: 0.1,
				RequestOver: done}))
		case 4:
			if len(calls) > 0 {
				c := calls[0]
				calls = calls[1:]
				take(d.handle(CounterReply{Name: c.Name, Outcome: []Outcome{Served, Served, TimedOut, Rejected, Failed, ConnectionReset}[rng.IntN(6)],
					Total: max(c.Amount+float64(rng.IntN(3)), 0)}))
			}
		case 5:
			b := ready(BackendID(1 + rng.IntN(5)))
			b.State = BackendState(rng.IntN(3))
			notReady[b.ID] = b.State != Ready
			take(d.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{b}}))
		}
	}
	return log
}

// Refusals at once are most answers under a burst; a timer for each would wake a gateway twice a request.
func TestRefusalAtOnceSetsNoTimers(t *testing.T) {
	d := start(t, testSettings(), some(4)...)
	id := d.ask(0, 0, 1)
	if timers := find[SetTimer](d.last); len(timers) == 0 || timers[0].Request != id {
		t.Fatalf("timers of a request that was let in: %v", timers)
	}
	d.nextID++
	out := d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, Deadline: d.now})
	one[Reject](t, out)
	if timers := find[SetTimer](out); len(timers) > 0 {
		t.Errorf("timers of a refused request: %v", timers)
	}
}

// A real gateway comes to a request some time after it was sent: what it waited by then is gone from its aim,
// and must not be taken for another patience of its client.
func TestAimCountsFromSending(t *testing.T) {
	set := testSettings()
	set.Plans[0].Rate = 0
	d := start(t, set, some(4)...)
	for i, lag := range []float64{0, 0.007, 0.1, 0.02} {
		d.now += 1
		d.nextID++
		sent := d.now - lag
		out := d.handle(Request{ID: d.nextID, Customer: 1, Units: 1, Gateways: 2, SentAt: sent, Deadline: sent + 1.5})
		if s := one[SendAttempt](t, out); math.Abs(s.Timeout-(0.8-lag)) > 1e-6 {
			t.Errorf("request %d: time-out %g, want %g", i, s.Timeout, 0.8-lag)
		}
		for _, s := range find[SendAttempt](out) {
			d.handle(AttemptEnded{Request: d.nextID, Backend: s.Backend, Outcome: Served, RequestOver: true})
		}
	}
}

// A client refused for a used-up quota comes again at a gateway that has not heard of it; in a crowd, its
// calls make room for those of first tries.
func TestCrowdLeavesOutCallsForRepeatsFirst(t *testing.T) {
	d := start(t, testSettings(), some(30)...)
	tries, asked, calls := [2]int{}, [2]int{}, 0
	for i := range 4000 {
		d.now += 0.002
		repeat := i % 2
		out := d.handle(Request{ID: RequestID(i + 1), Customer: CustomerID(i), Units: 1, Gateways: 50,
			Deadline: d.now + 2, IsRetry: repeat == 1})
		made := find[CounterAdd](out)
		for _, c := range made {
			reply := CounterReply{Name: c.Name, Total: c.Amount}
			if calls++; calls%10 == 0 {
				reply.Outcome = TimedOut // the counter bears nine in ten
			}
			out = append(out, d.handle(reply)...)
		}
		for _, s := range find[SendAttempt](out) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.01})
		}
		if i >= 2000 {
			tries[repeat]++
			asked[repeat] += min(len(made), 1)
		}
	}
	first, again := float64(asked[0])/float64(tries[0]), float64(asked[1])/float64(tries[1])
	if first < 0.9 || again > 0.5 || again == 0 {
		t.Errorf("calls for %.2f of the first tries and %.2f of the repeats, want nearly all and a few", first, again)
	}
}

// A single gateway of 80 may send a cold backend one request in many seconds. All together keep to its share
// of what a warm one gets, and reach that share from the first second on, with no burst once all have saved up.
func TestManyGatewaysUseColdBackendsAtOnceAndEvenly(t *testing.T) {
	const gateways, warm, cold, rate, work = 80, 24, 36, 4.0, 0.2 // rate: requests a second at each gateway
	set := testSettings()
	set.FleetSize = gateways
	set.Plans = []Plan{{WeightFactor: 1}} // no quota
	now := 100.0
	var gs []*Engine
	for i := range gateways {
		g, _ := New(set, uint64(i+1), now, nil)
		g.Handle(now, EndpointsUpdated{Kind: CachedList, Entries: some(warm)}, nil)
		gs = append(gs, g)
	}
	type end struct {
		at float64
		e  AttemptEnded
	}
	out := make([][]end, gateways)
	rng := rand.New(rand.NewPCG(1, 1))
	id, born := RequestID(0), 0.0
	var toCold, toWarm [20]int // by second since the start of the cold ones
	step := func(i int, ev Event) {
		for _, s := range find[SendAttempt](gs[i].Handle(now, ev, nil)) {
			out[i] = append(out[i], end{now + work, AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: work}})
			if at := int(now - born); born > 0 && at < len(toCold) {
				if s.Backend > warm {
					toCold[at]++
				} else {
					toWarm[at]++
				}
			}
		}
	}
	for now < 116 {
		now += maintenanceInterval
		if born == 0 && now >= 106 {
			born = now
			var fresh []Backend
			for i := range cold {
				b := ready(BackendID(warm + 1 + i))
				b.StartedAt = born
				fresh = append(fresh, b)
			}
			for i := range gs {
				step(i, EndpointsUpdated{Kind: Delta, Entries: fresh})
			}
		}
		for i := range gs {
			for len(out[i]) > 0 && out[i][0].at <= now {
				e := out[i][0].e
				out[i] = out[i][1:]
				step(i, e)
			}
			step(i, TimerFired{Token: timerMaintenance << 56})
			if rng.Float64() < rate*maintenanceInterval {
				id++
				step(i, Request{ID: id, Units: 1, Gateways: 1, Customer: CustomerID(id), Deadline: now + 2})
			}
		}
	}
	for s := range 8 {
		share := set.SlowStartMinShare + (1-set.SlowStartMinShare)*(float64(s)+0.5)/set.SlowStartWindow // of a warm one's, which it can bear
		each, usual := float64(toCold[s])/cold, float64(toWarm[s])/warm
		if each < 0.4*share*usual || each > 1.6*share*usual {
			t.Errorf("in second %d a cold backend got %.2f sends and a warm one %.2f, want a share of about %.2f",
				s, each, usual, share)
		}
	}
}

func TestCrowdLeavesOutCallsForTheLowestLevelFirst(t *testing.T) {
	d := start(t, testSettings(), some(30)...)
	tries, asked, calls := [2]int{}, [2]int{}, 0
	for i := range 4000 {
		d.now += 0.002
		if i%20 == 0 {
			d.handle(TimerFired{Token: timerMaintenance << 56})
		}
		plan := i % 2
		out := d.handle(Request{ID: RequestID(i + 1), Plan: plan, Customer: CustomerID(i), Units: 1, Gateways: 300,
			Deadline: d.now + 2})
		made := find[CounterAdd](out)
		for _, c := range made {
			reply := CounterReply{Name: c.Name, Total: c.Amount}
			if calls++; calls%10 == 0 {
				reply.Outcome = TimedOut
			}
			out = append(out, d.handle(reply)...)
		}
		for _, s := range find[SendAttempt](out) {
			d.handle(AttemptEnded{Request: s.Request, Backend: s.Backend, Outcome: Served, Latency: 0.01})
		}
		if i >= 2000 {
			tries[plan]++
			asked[plan] += min(len(made), 1)
		}
	}
	low, top := float64(asked[0])/float64(tries[0]), float64(asked[1])/float64(tries[1])
	if top < 0.9 || low > 0.6 || low == 0 {
		t.Errorf("calls for %.2f of the tries of the top level and %.2f of the low one, want nearly all and a part", top, low)
	}
}

// Of many gateways, each has less than a unit of a customer's burst for itself.
// While the counter turns calls away they let in about the burst together, and not a
// unit each; while it says nothing at all, a customer is not kept out for it.
func TestTurnedAwayCallsLetInAboutTheBurst(t *testing.T) {
	const gateways = 300
	set := testSettings()
	set.FleetSize = gateways
	for outcome, want := range map[Outcome][2]int{Rejected: {1, 12}, TimedOut: {gateways, gateways}} {
		let := 0
		for i := range gateways {
			set.GatewayIndex = i
			g, _ := New(set, hash(uint64(i)), 100, nil)
			g.Handle(100, EndpointsUpdated{Kind: CachedList, Entries: some(4)}, nil)
			out := g.Handle(100, Request{ID: 1, Units: 1, Gateways: gateways, Customer: 5, Deadline: 102}, nil)
			let += len(find[SendAttempt](g.Handle(100, CounterReply{Name: one[CounterAdd](t, out).Name, Outcome: outcome}, nil)))
		}
		if let < want[0] || let > want[1] {
			t.Errorf("outcome %d: %d gateways let one in, want %d to %d for a burst of %g", outcome, let, want[0], want[1], set.Plans[0].Burst)
		}
	}
	set.Counter = false // then a gateway's own share is all there is
	for i := range gateways {
		g, _ := New(set, hash(uint64(i)), 100, nil)
		g.Handle(100, EndpointsUpdated{Kind: CachedList, Entries: some(4)}, nil)
		one[SendAttempt](t, g.Handle(100, Request{ID: 1, Units: 1, Gateways: gateways, Customer: 5, Deadline: 102}, nil))
	}
}
