package policy

import "math/rand/v2"

// Engine holds all that one gateway knows.
type Engine struct {
	settings         Settings
	now              float64
	rng              *rand.Rand
	actions          []Action // the actions of the event that is being handled
	startedAt        float64
	shutdownAnswerBy float64 // every request has to be answered by then; 0: no shutdown has begun
	lastMaintenance  float64

	requests       map[RequestID]*request
	queue          priorityQueue
	limiter        concurrencyLimiter
	latency        latencyStats
	retries        retryBudget
	clientTimeouts []clientTimeout // by class and plan
	backends       backendSet
	warmTraffic    warmTraffic
	customers      customerSet
	counter        counterState
}

// New starts the engine of one gateway, which knows nothing of an earlier incarnation, and appends its
// first actions to out.
func New(set Settings, seed uint64, now float64, out []Action) (*Engine, []Action) {
	e := &Engine{settings: set, now: now, actions: out, startedAt: now, lastMaintenance: now}
	e.limiter.lastCut = now
	e.retries.tokens = maxRetryTokens
	e.queue = newPriorityQueue(&set)
	e.allocateState(seed)
	if set.PollDiscovery {
		e.emit(PollEndpoints{})
	}
	e.setTimer(maintenanceInterval, timerToken{kind: maintenanceTimer})
	return e, e.actions
}

// Handle takes one event and appends the actions that it calls for to out.
func (e *Engine) Handle(now float64, event Event, out []Action) []Action {
	e.limiter.averageInFlight(e.now, now)
	e.now = now
	e.actions = out
	switch event := event.(type) {
	case Request:
		e.requestArrived(event)
	case AttemptEnded:
		e.attemptEnded(event)
	case ResponseStarted:
		if req := e.openRequest(event.Request); req != nil {
			req.streaming = true
		}
	case ClientDisconnected:
		if req := e.openRequest(event.Request); req != nil {
			e.finish(req)
		}
	case TimerFired:
		e.fireTimer(unpackTimerToken(event.Token))
	case CounterReply:
		e.handleCounterReply(event)
	case LateCounterReply:
		e.handleLateCounterReply(event)
	case EndpointsUpdated:
		e.endpointsUpdated(event)
	case Shutdown:
		e.beginShutdown(event.AnswerBy)
	}
	e.dispatch()
	return e.actions
}

// allocateState allocates what the levels and the settings call for.
func (e *Engine) allocateState(seed uint64) {
	e.rng = rand.New(rand.NewPCG(seed, seed>>1))
	e.requests = map[RequestID]*request{}
	e.backends.byID = map[BackendID]*backend{}
	e.customers.byID = map[CustomerID]*customer{}
	e.counter.pending = map[uint64][]counterCall{}
	e.clientTimeouts = make([]clientTimeout, len(e.settings.Classes)*len(e.settings.Plans))
}

// emit adds an action to the answer to the event that is being handled.
func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }
