package policy

import "testing"

// testSettings returns settings for two gateways with a counter. Class 0 is idempotent, class 1 is idempotent by key
// and has a higher weight. Both plans have quotas.
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

		HasCounter:     true,
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

// smallBurstSettings returns settings in which plan 1 has a low rate and a small burst. Each of two gateways gets half
// of the burst, which is less than two units. A request of two units therefore needs a counter call.
func smallBurstSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate = 0.1
	set.Plans[1].Burst = 3
	return set
}

// refillingWindowSettings returns settings in which plan 1 has a ceiling. With a ceiling, two gateways use upfront
// leasing in refilling windows.
func refillingWindowSettings() Settings {
	set := testSettings()
	set.Plans[1].Rate = 0.1
	set.Plans[1].CeilingRate = 1
	set.Plans[1].CeilingBurst = 140
	return set
}

// engineDriver passes events to the engine of one gateway and keeps the actions of the last event.
type engineDriver struct {
	t           *testing.T
	engine      *Engine
	now         float64
	lastActions []Action
	nextID      RequestID
}

// startEngine returns the driver of a new engine that starts at clock time 100 and knows the backends.
func startEngine(t *testing.T, set Settings, backends ...Backend) *engineDriver {
	t.Helper()
	d := &engineDriver{t: t, now: 100}
	d.engine, d.lastActions = New(set, 7, d.now, nil)
	d.handle(EndpointsUpdated{Kind: CachedList, Entries: backends})
	return d
}

// readyBackend returns a ready backend. Each cell has the backends of two consecutive IDs.
func readyBackend(id BackendID) Backend {
	return Backend{ID: id, State: Ready, Cell: int(id) / 2, Weight: 1}
}

// readyBackends returns n ready backends with IDs from 1.
func readyBackends(n int) (backends []Backend) {
	for i := range n {
		backends = append(backends, readyBackend(BackendID(i+1)))
	}
	return backends
}

// handle passes an event to the engine at the current time and returns its actions.
func (d *engineDriver) handle(event Event) []Action {
	d.lastActions = d.engine.Handle(d.now, event, nil)
	return d.lastActions
}

// sendRequest sends a request of the class and plan and grants its counter calls. lastActions then holds the actions of
// the request and of the counter replies.
func (d *engineDriver) sendRequest(class, plan int, id CustomerID) RequestID {
	d.nextID++
	actions := d.handle(Request{ID: d.nextID, Class: class, Plan: plan, Customer: id, Units: 1, Gateways: 2,
		Deadline: d.now + d.engine.settings.Classes[class].Deadline})
	d.lastActions = append(actions, d.grantCounterCalls(actions)...)
	return d.nextID
}

// grantCounterCalls replies to each counter call among the actions with a total equal to the amount of the call, as if
// the call were the first for its name. It returns the actions that follow from the replies.
func (d *engineDriver) grantCounterCalls(actions []Action) (all []Action) {
	for _, c := range actionsOf[CounterAdd](actions) {
		all = append(all, d.engine.Handle(d.now, CounterReply{Name: c.Name, Total: c.Amount}, nil)...)
	}
	return all
}

// endAttempts ends each attempt that the actions start, and each retry that the engine then starts, with the event that
// endEvent returns. It sets the fields Request, Attempt and Backend of the event.
func (d *engineDriver) endAttempts(actions []Action, endEvent func(SendAttempt) AttemptEnded) {
	for len(actions) > 0 {
		for _, s := range actionsOf[SendAttempt](actions[:1]) {
			event := endEvent(s)
			event.Request = s.Request
			event.Attempt = len(d.engine.requests[s.Request].attempts) - 1
			event.Backend = s.Backend
			actions = append(actions, d.handle(event)...)
		}
		actions = actions[1:]
	}
}

// timerFired returns the event of a timer that belongs to a request, or to no request if id is 0.
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

// onlyAction returns the only action of a type. It fails the test if there is no such action or more than one.
func onlyAction[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	found := actionsOf[A](actions)
	if len(found) != 1 {
		var none A
		t.Fatalf("want one %T, got %v", none, actions)
	}
	return found[0]
}
