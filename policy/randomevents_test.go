package policy

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Settings and events that no valid deployment has must cause no panic. Each request still gets exactly one answer.
func TestUnusualInputIsAnswered(t *testing.T) {
	class := Class{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}
	for name, set := range map[string]Settings{
		"nothing set": {Classes: []Class{{}}, Plans: []Plan{{}}},
		"no fleet": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, Rate: 1, Burst: 1}},
			HasCounter: true},
		"no burst": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, Rate: 5, CeilingRate: 1}},
			FleetSize: 1, HasCounter: true, Tick: 0.002},
		"concurrency alone": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, MaxConcurrent: 1}},
			FleetSize: 3, HasCounter: true, Tick: 0.002},
	} {
		t.Run(name, func(t *testing.T) {
			d := startEngine(t, set, readyBackends(2)...)
			answered := 0
			for i, gateways := range []int{0, 1, 3, 1000} {
				answered += answersUnderUnusualEvents(d, RequestID(i+1), gateways)
			}
			if answered != 4 {
				t.Errorf("%d of 4 requests answered", answered)
			}
		})
	}
}

// answersUnderUnusualEvents sends one request and returns the number of answers that the request got. The
// request is sent among events that are repeated, out of order, or about unknown calls, attempts or requests.
func answersUnderUnusualEvents(d *engineDriver, id RequestID, gateways int) (answered int) {
	out := d.handle(Request{ID: id, Units: 1, Gateways: gateways, FirstGateway: 7, Customer: 5, Deadline: d.now + 2})
	for _, c := range actionsOf[CounterAdd](out) {
		out = append(out, d.handle(CounterReply{Name: c.Name, Total: math.Inf(1)})...)
		out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: Rejected})...) // a second reply to the same call
	}
	d.handle(CounterReply{Name: 99})
	d.handle(AttemptEnded{Request: id, Attempt: 9, Backend: 77, Outcome: Served})
	d.handle(AttemptEnded{Request: 12345, Backend: 1, Outcome: NotSent})
	d.handle(EndpointsUpdated{Kind: FullList})
	d.handle(EndpointsUpdated{Kind: DeltaList, Entries: readyBackends(1)})
	out = append(out, d.handle(timerFired(maintenanceTimer, 0))...)
	for _, s := range actionsOf[SendAttempt](out) {
		end := AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true}
		d.handle(end)
		d.handle(end) // the end of the attempt is reported twice
		answered++
	}
	answered += len(actionsOf[Reject](out)) + len(actionsOf[FailRequest](out))
	d.now += 2
	return answered + len(actionsOf[Reject](d.handle(timerFired(answerDeadlineTimer, id))))
}

// TestRandomEvents checks the engine's actions under events in random order. It checks when and where attempts are
// started, and that each request is answered once and in time. It also checks that the same events lead to the same
// actions.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		first := randomRun(t, seed)
		if second := randomRun(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: the same events led to different actions", seed)
		}
	}
}

// randomRun generates the events of a seed and returns all actions.
func randomRun(t *testing.T, seed uint64) []Action {
	t.Helper()
	env := newRandomEnvironment(t, seed)
	for range 3000 {
		env.driver.now += 0.002
		env.fireDueTimers()
		env.checkDeadlines()
		env.nextEvent()
	}
	return env.allActions
}

// randomEnvironment simulates the surroundings of one engine: clients, backends, discovery and the counter, each of
// which acts at random.
type randomEnvironment struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	set        Settings
	driver     *engineDriver
	requests   map[RequestID]*trackedRequest
	order      []RequestID // IDs of the requests in order of arrival
	timers     []pendingTimer
	calls      []CounterAdd // calls without a reply so far
	notReady   map[BackendID]bool
	allActions []Action
}

// trackedRequest is a request with its attempts so far.
type trackedRequest struct {
	Request
	attempts []SendAttempt
	inFlight []int // numbers of the attempts in flight
	answered bool  // the request has its final answer
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newRandomEnvironment(t *testing.T, seed uint64) *randomEnvironment {
	t.Helper()
	set := testSettings()
	set.CanHedge = seed%2 == 0
	set.HasCounter = seed%3 != 0
	set.Classes = append(set.Classes,
		Class{LatencyObjective: 0.5, Deadline: 1, PriorityWeight: 2, Idempotency: NonIdempotent})
	return &randomEnvironment{
		t:        t,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		set:      set,
		driver:   startEngine(t, set, readyBackends(5)...),
		requests: map[RequestID]*trackedRequest{},
		timers:   []pendingTimer{{100.05, timerToken{kind: maintenanceTimer}.pack()}},
		notReady: map[BackendID]bool{},
	}
}

// handle passes an event to the engine, and checks and carries out its actions.
func (env *randomEnvironment) handle(event Event) {
	env.t.Helper()
	actions := env.driver.handle(event)
	env.allActions = append(env.allActions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			env.sendAttempt(a)
		case Reject:
			env.recordAnswer(a.Request)
		case FailRequest:
			env.recordAnswer(a.Request)
		case SetTimer:
			env.timers = append(env.timers, pendingTimer{env.driver.now + a.Delay, a.Token})
		case CounterAdd:
			env.calls = append(env.calls, a)
		}
	}
}

func (env *randomEnvironment) sendAttempt(a SendAttempt) {
	env.t.Helper()
	req := env.requests[a.Request]
	if req.answered {
		env.t.Fatalf("seed %d: sent request %d after its final answer", env.seed, a.Request)
	}
	if env.notReady[a.Backend] {
		env.t.Fatalf("seed %d: sent to backend %d, which is draining or removed", env.seed, a.Backend)
	}
	if len(req.inFlight) > 0 && !env.set.CanHedge {
		env.t.Fatalf("seed %d: two attempts of a request are in flight although CanHedge is false", env.seed)
	}
	req.inFlight = append(req.inFlight, len(req.attempts))
	req.attempts = append(req.attempts, a)
	if len(req.attempts) > env.set.MaxAttempts {
		env.t.Fatalf("seed %d: %d attempts of one request", env.seed, len(req.attempts))
	}
}

// recordAnswer records a final answer of the gateway, and fails the test if the request has one already.
func (env *randomEnvironment) recordAnswer(id RequestID) {
	env.t.Helper()
	req := env.requests[id]
	if req.answered {
		env.t.Fatalf("seed %d: two answers to one request", env.seed)
	}
	req.answered = true
}

func (env *randomEnvironment) fireDueTimers() {
	env.t.Helper()
	for i := 0; i < len(env.timers); i++ {
		if env.timers[i].at <= env.driver.now {
			due := env.timers[i]
			env.timers = slices.Delete(env.timers, i, i+1)
			i--
			env.handle(TimerFired{Token: due.token})
		}
	}
}

func (env *randomEnvironment) checkDeadlines() {
	env.t.Helper()
	for _, id := range env.order {
		if req := env.requests[id]; !req.answered && env.driver.now > req.Deadline+env.set.AnswerSlack {
			env.t.Fatalf("seed %d: request %d was not answered in time", env.seed, id)
		}
	}
}

func (env *randomEnvironment) nextEvent() {
	env.t.Helper()
	switch env.rng.IntN(6) {
	case 0, 1:
		env.requestArrives()
	case 2, 3:
		env.attemptEnds()
	case 4:
		env.counterReplies()
	case 5:
		env.backendChanges()
	}
}

func (env *randomEnvironment) requestArrives() {
	env.t.Helper()
	env.driver.nextID++
	r := Request{ID: env.driver.nextID, Class: env.rng.IntN(3), Plan: env.rng.IntN(2),
		Customer: CustomerID(env.rng.IntN(4)), Units: 1, Gateways: 2}
	r.Deadline = env.driver.now + env.set.Classes[r.Class].Deadline*(0.5+env.rng.Float64()/2)
	env.requests[r.ID] = &trackedRequest{Request: r}
	env.order = append(env.order, r.ID)
	env.handle(r)
}

// attemptEnds selects one of the 20 newest requests at random, and ends its oldest attempt in flight, if there is one.
func (env *randomEnvironment) attemptEnds() {
	env.t.Helper()
	if len(env.order) == 0 {
		return
	}
	req := env.requests[env.order[max(0, len(env.order)-1-env.rng.IntN(20))]]
	if len(req.inFlight) == 0 {
		return
	}
	n := req.inFlight[0]
	req.inFlight = req.inFlight[1:]
	outcomes := []Outcome{Served, Served, Failed, Rejected, TimedOut, ConnectionReset, ConnectFailed}
	outcome := outcomes[env.rng.IntN(len(outcomes))]
	req.answered = req.answered || outcome == Served
	env.handle(AttemptEnded{Request: req.ID, Attempt: n, Backend: req.attempts[n].Backend, Outcome: outcome, Latency: 0.1,
		RequestOver: req.answered})
}

func (env *randomEnvironment) counterReplies() {
	env.t.Helper()
	if len(env.calls) == 0 {
		return
	}
	call := env.calls[0]
	env.calls = env.calls[1:]
	outcomes := []Outcome{Served, Served, TimedOut, Rejected, Failed, ConnectionReset}
	outcome := outcomes[env.rng.IntN(len(outcomes))]
	env.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: max(call.Amount+float64(env.rng.IntN(3)), 0)})
}

func (env *randomEnvironment) backendChanges() {
	env.t.Helper()
	b := readyBackend(BackendID(1 + env.rng.IntN(5)))
	b.State = BackendState(env.rng.IntN(3))
	env.notReady[b.ID] = b.State != Ready
	env.handle(EndpointsUpdated{Kind: DeltaList, Entries: []Backend{b}})
}
