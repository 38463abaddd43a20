package policy

import "testing"

// testSettings have two classes, an idempotent one and a keyed one of higher weight, and two plans with quotas, for a
// fleet of two gateways with a counter.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{LatencyObjective: 0.8, Deadline: 2, PriorityWeight: 1},
			{LatencyObjective: 1, Deadline: 3, PriorityWeight: 3,
				Idempotency: IdempotentByKey, DedupeScope: ScopeCell, DedupeWindow: 2},
		},
		Plans: []Plan{
			{WeightFactor: 0.5, Rate: 2, Burst: 4, OverQuotaCost: 1},
			{WeightFactor: 1.5, Rate: 20, Burst: 40, OverQuotaCost: 1},
		},
		FleetSize: 2,
		Tick:      0.002,

		Counter:        true,
		CounterTimeout: 0.05,

		CanCancel:         true,
		CanHedge:          true,
		CanSendRetryAfter: true,
		MaxRetryAfter:     0.5,
		MaxAttempts:       4,

		AnswerSlack:       0.008,
		DrainGrace:        1,
		SlowStartMinShare: 0.2,
		SlowStartWindow:   10,
		OverloadFactor:    2,
		OverloadDuration:  2,
	}
}

// seldomSettings have a plan 1 whose burst, divided among two gateways, doesn't pay for a request of two units: that
// needs a counter call.
func seldomSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate = 0.1
	set.Plans[1].Burst = 3
	return set
}

// exactSettings have a plan 1 whose store two gateways keep exactly, by counter calls alone: one with a ceiling.
func exactSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate = 0.1
	set.Plans[1].CeilingRate = 1
	set.Plans[1].CeilingBurst = 140
	return set
}

// engineDriver drives the engine of one gateway by hand and keeps the actions of the last event.
type engineDriver struct {
	t           *testing.T
	engine      *Engine
	now         float64
	lastActions []Action
	nextID      RequestID
}

// startEngine returns the drive of a new engine at clock time 100 that knows the backends.
func startEngine(t *testing.T, set Settings, backends ...Backend) *engineDriver {
	t.Helper()
	d := &engineDriver{t: t, now: 100}
	d.engine, d.lastActions = New(set, 7, d.now, nil)
	d.handle(EndpointsUpdated{Kind: CachedList, Entries: backends})
	return d
}

// readyBackend returns a ready backend, two to a cell.
func readyBackend(id BackendID) Backend {
	return Backend{ID: id, State: Ready, Cell: int(id) / 2, Weight: 1}
}

// readyBackends returns n ready backends with ids from 1.
func readyBackends(n int) (backends []Backend) {
	for i := range n {
		backends = append(backends, readyBackend(BackendID(i+1)))
	}
	return backends
}

// handle has the engine handle an event now and returns its actions.
func (d *engineDriver) handle(event Event) []Action {
	d.lastActions = d.engine.Handle(d.now, event, nil)
	return d.lastActions
}

// sendRequest sends a request of the class and plan and answers its counter calls in full. lastActions has the actions
// of both.
func (d *engineDriver) sendRequest(class, plan int, id CustomerID) RequestID {
	d.nextID++
	actions := d.handle(Request{ID: d.nextID, Class: class, Plan: plan, Customer: id, Units: 1, Gateways: 2,
		Deadline: d.now + d.engine.settings.Classes[class].Deadline})
	d.lastActions = append(actions, d.grantCounterCalls(actions)...)
	return d.nextID
}

// grantCounterCalls answers the counter calls among the actions as the first of their names, and returns what follows.
func (d *engineDriver) grantCounterCalls(actions []Action) (all []Action) {
	for _, c := range actionsOf[CounterAdd](actions) {
		all = append(all, d.engine.Handle(d.now, CounterReply{Name: c.Name, Total: c.Amount}, nil)...)
	}
	return all
}

// endAttempts ends each attempt that the actions send, and those that follow from that, as end says. Request, attempt
// and backend are filled in.
func (d *engineDriver) endAttempts(actions []Action, end func(SendAttempt) AttemptEnded) {
	for len(actions) > 0 {
		for _, s := range actionsOf[SendAttempt](actions[:1]) {
			event := end(s)
			event.Request = s.Request
			event.Attempt = len(d.engine.requests[s.Request].attempts) - 1
			event.Backend = s.Backend
			actions = append(actions, d.handle(event)...)
		}
		actions = actions[1:]
	}
}

// timerFired is the event of a timer about a request, or of one about none where id is 0.
func timerFired(kind timerKind, id RequestID) TimerFired {
	return TimerFired{Token: timerToken{kind: kind, request: id}.pack()}
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) (found []A) {
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// onlyAction returns the only action of a type, and fails the test where there are none or more.
func onlyAction[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	found := actionsOf[A](actions)
	if len(found) != 1 {
		var none A
		t.Fatalf("want one %T, got %v", none, actions)
	}
	return found[0]
}
