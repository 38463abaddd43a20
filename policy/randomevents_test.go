package policy

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
)

// Input that no sound deployment sends gets one answer a request, and no panic.
func TestUnusualInputIsAnswered(t *testing.T) {
	class := Class{LatencyObjective: 1, Deadline: 2, PriorityWeight: 1}
	for name, set := range map[string]Settings{
		"nothing set": {Classes: []Class{{}}, Plans: []Plan{{}}},
		"no fleet": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, Rate: 1, Burst: 1}},
			Counter: true},
		"no burst": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, Rate: 5, CeilingRate: 1}},
			FleetSize: 1, Counter: true, Tick: 0.002},
		"concurrency alone": {Classes: []Class{class}, Plans: []Plan{{WeightFactor: 1, MaxConcurrent: 1}},
			FleetSize: 3, Counter: true, Tick: 0.002},
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

// answersUnderUnusualEvents sends one request among events that are unknown, repeated or out of place, and returns
// how many answers it got.
func answersUnderUnusualEvents(d *engineDriver, id RequestID, gateways int) (answered int) {
	out := d.handle(Request{ID: id, Units: 1, Gateways: gateways, FirstGateway: 7, Customer: 5, Deadline: d.now + 2})
	for _, c := range actionsOf[CounterAdd](out) {
		out = append(out, d.handle(CounterReply{Name: c.Name, Total: math.Inf(1)})...)
		out = append(out, d.handle(CounterReply{Name: c.Name, Outcome: Rejected})...) // twice
	}
	d.handle(CounterReply{Name: 99})
	d.handle(AttemptEnded{Request: id, Attempt: 9, Backend: 77, Outcome: Served})
	d.handle(AttemptEnded{Request: 12345, Backend: 1, Outcome: NotSent})
	d.handle(EndpointsUpdated{Kind: FullList})
	d.handle(EndpointsUpdated{Kind: Delta, Entries: readyBackends(1)})
	out = append(out, d.handle(timerFired(maintenanceTimer, 0))...)
	for _, s := range actionsOf[SendAttempt](out) {
		end := AttemptEnded{Request: s.Request, Backend: s.Backend, Latency: 0.1, RequestOver: true}
		d.handle(end)
		d.handle(end) // repeated
		answered++
	}
	answered += len(actionsOf[Reject](out)) + len(actionsOf[FailRequest](out))
	d.now += 2
	return answered + len(actionsOf[Reject](d.handle(timerFired(answerDeadlineTimer, id))))
}

// TestRandomEvents checks the rules on the engine's actions under random orders of events, and that the same events
// lead to the same actions.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		first := randomRun(t, seed)
		if second := randomRun(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: the same events led to other actions", seed)
		}
	}
}

// randomRun plays the events of a seed and returns all actions.
func randomRun(t *testing.T, seed uint64) []Action {
	t.Helper()
	w := newRandomWorld(t, seed)
	for range 3000 {
		w.drive.now += 0.002
		w.fireDueTimers()
		w.checkDeadlines()
		w.nextEvent()
	}
	return w.log
}

// randomWorld is all around one engine: clients, backends, discovery and the counter, each of which acts at random.
type randomWorld struct {
	t        *testing.T
	seed     uint64
	rng      *rand.Rand
	set      Settings
	drive    *engineDriver
	requests map[RequestID]*trackedRequest
	order    []RequestID // by arrival
	timers   []pendingTimer
	calls    []CounterAdd // unanswered
	notReady map[BackendID]bool
	log      []Action
}

// trackedRequest is a request with what the engine has done about it.
type trackedRequest struct {
	Request
	attempts []SendAttempt
	inFlight []int // numbers of attempts
	ended    bool  // has its final answer
}

type pendingTimer struct {
	at    float64
	token uint64
}

func newRandomWorld(t *testing.T, seed uint64) *randomWorld {
	t.Helper()
	set := testSettings()
	set.CanHedge = seed%2 == 0
	set.Counter = seed%3 != 0
	set.Classes = append(set.Classes,
		Class{LatencyObjective: 0.5, Deadline: 1, PriorityWeight: 2, Idempotency: NonIdempotent})
	return &randomWorld{
		t:        t,
		seed:     seed,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		set:      set,
		drive:    startEngine(t, set, readyBackends(5)...),
		requests: map[RequestID]*trackedRequest{},
		timers:   []pendingTimer{{100.05, timerToken{kind: maintenanceTimer}.pack()}},
		notReady: map[BackendID]bool{},
	}
}

// handle has the engine handle an event, and checks and carries out its actions.
func (w *randomWorld) handle(event Event) {
	w.t.Helper()
	actions := w.drive.handle(event)
	w.log = append(w.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case SendAttempt:
			w.sendAttempt(a)
		case Reject:
			w.answer(a.Request)
		case FailRequest:
			w.answer(a.Request)
		case SetTimer:
			w.timers = append(w.timers, pendingTimer{w.drive.now + a.Delay, a.Token})
		case CounterAdd:
			w.calls = append(w.calls, a)
		}
	}
}

func (w *randomWorld) sendAttempt(a SendAttempt) {
	w.t.Helper()
	req := w.requests[a.Request]
	if req.ended {
		w.t.Fatalf("seed %d: sent request %d after its end", w.seed, a.Request)
	}
	if w.notReady[a.Backend] {
		w.t.Fatalf("seed %d: sent to %d, which is draining or removed", w.seed, a.Backend)
	}
	if len(req.inFlight) > 0 && !w.set.CanHedge {
		w.t.Fatalf("seed %d: two attempts in flight", w.seed)
	}
	req.inFlight = append(req.inFlight, len(req.attempts))
	req.attempts = append(req.attempts, a)
	if len(req.attempts) > w.set.MaxAttempts {
		w.t.Fatalf("seed %d: %d attempts", w.seed, len(req.attempts))
	}
}

// answer notes a final answer that no backend made.
func (w *randomWorld) answer(id RequestID) {
	w.t.Helper()
	req := w.requests[id]
	if req.ended {
		w.t.Fatalf("seed %d: two answers", w.seed)
	}
	req.ended = true
}

func (w *randomWorld) fireDueTimers() {
	w.t.Helper()
	for i := 0; i < len(w.timers); i++ {
		if w.timers[i].at <= w.drive.now {
			due := w.timers[i]
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(TimerFired{Token: due.token})
		}
	}
}

func (w *randomWorld) checkDeadlines() {
	w.t.Helper()
	for _, id := range w.order {
		if req := w.requests[id]; !req.ended && w.drive.now > req.Deadline+w.set.AnswerSlack {
			w.t.Fatalf("seed %d: request %d was not answered in time", w.seed, id)
		}
	}
}

func (w *randomWorld) nextEvent() {
	w.t.Helper()
	switch w.rng.IntN(6) {
	case 0, 1:
		w.requestArrives()
	case 2, 3:
		w.attemptEnds()
	case 4:
		w.counterReplies()
	case 5:
		w.backendChanges()
	}
}

func (w *randomWorld) requestArrives() {
	w.t.Helper()
	w.drive.nextID++
	r := Request{ID: w.drive.nextID, Class: w.rng.IntN(3), Plan: w.rng.IntN(2), Customer: CustomerID(w.rng.IntN(4)),
		Units: 1, Gateways: 2}
	r.Deadline = w.drive.now + w.set.Classes[r.Class].Deadline*(0.5+w.rng.Float64()/2)
	w.requests[r.ID] = &trackedRequest{Request: r}
	w.order = append(w.order, r.ID)
	w.handle(r)
}

// attemptEnds ends the oldest attempt in flight of one of the newest requests, if it has any.
func (w *randomWorld) attemptEnds() {
	w.t.Helper()
	if len(w.order) == 0 {
		return
	}
	req := w.requests[w.order[max(0, len(w.order)-1-w.rng.IntN(20))]]
	if len(req.inFlight) == 0 {
		return
	}
	n := req.inFlight[0]
	req.inFlight = req.inFlight[1:]
	outcomes := []Outcome{Served, Served, Failed, Rejected, TimedOut, ConnectionReset, ConnectFailed}
	outcome := outcomes[w.rng.IntN(len(outcomes))]
	req.ended = req.ended || outcome == Served
	w.handle(AttemptEnded{Request: req.ID, Attempt: n, Backend: req.attempts[n].Backend, Outcome: outcome, Latency: 0.1,
		RequestOver: req.ended})
}

func (w *randomWorld) counterReplies() {
	w.t.Helper()
	if len(w.calls) == 0 {
		return
	}
	call := w.calls[0]
	w.calls = w.calls[1:]
	outcomes := []Outcome{Served, Served, TimedOut, Rejected, Failed, ConnectionReset}
	outcome := outcomes[w.rng.IntN(len(outcomes))]
	w.handle(CounterReply{Name: call.Name, Outcome: outcome, Total: max(call.Amount+float64(w.rng.IntN(3)), 0)})
}

func (w *randomWorld) backendChanges() {
	w.t.Helper()
	b := readyBackend(BackendID(1 + w.rng.IntN(5)))
	b.State = BackendState(w.rng.IntN(3))
	w.notReady[b.ID] = b.State != Ready
	w.handle(EndpointsUpdated{Kind: Delta, Entries: []Backend{b}})
}
