package policy

import "math/rand/v2"

// Engine is the state machine of one gateway. It is not safe for concurrent use.
type Engine struct {
	settings         Settings
	now              float64    // clock time of the event that is being handled
	rng              *rand.Rand // only source of randomness, so that runs can be replayed
	actions          []Action   // result of Handle: its parameter out and the actions added so far
	startedAt        float64    // clock time passed to New
	lastMaintenance  float64    // clock time of the last round of maintenance
	shutdownAnswerBy float64    // clock time by which every request must be answered; 0: no shutdown

	requests       map[RequestID]*request // requests that are unfinished, or finished with attempts in flight
	queue          priorityQueue
	limiter        concurrencyLimiter
	latency        latencyStats
	retries        retryBudget
	clientTimeouts []clientTimeout // index: class * number of plans + plan
	presumedLate   uint64          // see Estimates
	backends       backendSet
	warmTraffic    warmTraffic
	customers      customerSet
	counter        counterState
}

// New returns the engine of a gateway and appends the engine's first actions to out. The parameter now is the
// clock time at which the gateway starts. No state is carried over from an earlier process of the gateway.
// Engines with the same settings, seed, events and clock times return the same actions.
func New(set Settings, seed uint64, now float64, out []Action) (*Engine, []Action) {
	e := &Engine{
		settings:        set,
		now:             now,
		rng:             rand.New(rand.NewPCG(seed, seed>>1)),
		actions:         out,
		startedAt:       now,
		lastMaintenance: now,
		requests:        map[RequestID]*request{},
		queue:           newPriorityQueue(&set),
		limiter:         concurrencyLimiter{lastCut: now},
		retries:         retryBudget{tokens: maxRetryTokens},
		clientTimeouts:  make([]clientTimeout, len(set.Classes)*len(set.Plans)),
		backends:        backendSet{byID: map[BackendID]*backend{}},
		customers:       customerSet{byID: map[CustomerID]*customer{}},
		counter:         counterState{pending: map[uint64][]counterCall{}},
	}
	if set.PollDiscovery {
		e.emit(PollEndpoints{})
	}
	e.setTimer(maintenanceInterval, timerToken{kind: maintenanceTimer})
	return e, e.actions
}

// Handle processes an event and appends the resulting actions to out. The parameter now is the clock time at
// which the event happened. Events that no decision depends on (ProbeEnded, PeerMessage) are ignored.
func (e *Engine) Handle(now float64, event Event, out []Action) []Action {
	e.limiter.updateMeanInFlight(e.now, now)
	e.now = now
	e.actions = out
	e.handleEvent(event)
	e.dispatch()
	return e.actions
}

// handleEvent calls the handler of an event.
func (e *Engine) handleEvent(event Event) {
	switch event := event.(type) {
	case Request:
		e.requestArrived(event)
	case AttemptEnded:
		e.attemptEnded(event)
	case ResponseStarted:
		e.responseStarted(event.Request)
	case ClientDisconnected:
		e.clientDisconnected(event.Request)
	case TimerFired:
		e.handleTimer(unpackTimerToken(event.Token))
	case CounterReply:
		e.handleCounterReply(event)
	case LateCounterReply:
		e.handleLateCounterReply(event)
	case EndpointsUpdated:
		e.endpointsUpdated(event)
	case Shutdown:
		e.beginShutdown(event.AnswerBy)
	}
}

// emit adds an action to the result of the event that is being handled.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }
