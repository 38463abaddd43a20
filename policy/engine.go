package policy

// The decisions of one gateway. The interface it is driven through (settings, events, actions) is in
// types.go; state.go declares what is kept between events, and decides nothing.
//
// A request passes these steps: its customer's lease pays for it (admit, in quota.go), it waits in the
// queue of its level (enqueue, admission.go), the bound lets it go (dispatch), a backend is picked (pick,
// placement.go), and one function sends (send, attempts.go) and one answers (answerWithout).

import (
	"math"
	"slices"
)

// maintenanceInterval is how many seconds pass between rounds of maintenance.
const maintenanceInterval = 0.05

// Kinds of timer, in the top byte of a token.
const (
	timerMaintenance    = iota
	timerSendDeadline   // a request that has not been sent is too late now
	timerAnswerDeadline // a request must be answered now
	timerPollEndpoints  // discovery failed a while ago
	timerSlowAttempt    // an attempt takes longer than usual
)

// New starts a gateway. It keeps nothing from an earlier life.
func New(set Settings, seed uint64, now float64, out []Action) (*Engine, []Action) {
	e := &Engine{settings: set, now: now, actions: out, startedAt: now, lastMaintenance: now}
	e.limiter.lastCut = now
	e.retries.tokens = maxRetryTokens
	for _, c := range set.Classes {
		for _, p := range set.Plans {
			e.queue.weights = append(e.queue.weights, c.PriorityWeight*p.WeightFactor)
		}
	}
	e.queue.weights = append(e.queue.weights, 0) // level 0: beyond the quota
	slices.Sort(e.queue.weights)
	e.queue.weights = slices.Compact(e.queue.weights)
	e.allocateState(seed)
	if set.PollDiscovery {
		e.emit(PollEndpoints{})
	}
	e.setTimer(maintenanceInterval, timerMaintenance, 0, 0)
	return e, e.actions
}

// Handle takes one event and appends what is to be done about it.
func (e *Engine) Handle(now float64, event Event, out []Action) []Action {
	gain := 1 - math.Exp((e.now-now)/limitAveragingWindow)
	e.limiter.meanInFlight += gain * (float64(e.limiter.inFlight) - e.limiter.meanInFlight)
	e.now, e.actions = now, out
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
		e.fireTimer(event.Token)
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

// fireTimer handles a timer.
func (e *Engine) fireTimer(token uint64) {
	req, n := e.requests[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerMaintenance:
		e.runMaintenance()
	case kind == timerPollEndpoints:
		e.emit(PollEndpoints{})
	case req == nil:
	case kind == timerSlowAttempt && n < len(req.attempts) && !req.attempts[n].ended:
		e.hedgeOrRecordSlow(req, n)
	case req.finished || req.streaming:
	case (kind == timerSendDeadline || kind == timerAnswerDeadline) && len(req.attempts) == 0:
		e.answerWithout(req, ReasonNotSent)
	case kind == timerAnswerDeadline:
		e.answerWithout(req, ReasonNoAnswer)
	}
}

// runMaintenance keeps averages and leases in order.
func (e *Engine) runMaintenance() {
	e.setTimer(maintenanceInterval, timerMaintenance, 0, 0)
	span := max(e.now-e.lastMaintenance, e.settings.Tick, 1e-3)
	e.lastMaintenance = e.now
	warm := 0
	e.dropRemovedBackends()
	aged := 1 - math.Exp(-span/healthDecayTime)
	for _, b := range e.backends.ordered {
		e.expireAbandoned(b, 0)
		b.decay(aged, e.latency.mean)
		if b.State == Ready && e.slowStartShare(b) >= 1 {
			warm++
		}
	}
	gain := min(span/warmRateAveragingTime, 1)
	if warm > 0 {
		sendRate := float64(e.warmTraffic.sendCount) / span / float64(warm)
		e.warmTraffic.sendRate += gain * (sendRate - e.warmTraffic.sendRate)
	}
	e.warmTraffic.sendCount = 0
	for l := range e.queue.arrivalRates {
		e.queue.arrivalRates[l] += gain * (e.queue.arrivalCounts[l]/span - e.queue.arrivalRates[l])
		e.queue.arrivalCounts[l] = 0
	}
	keep := e.customers.ordered[:0]
	for _, c := range e.customers.ordered {
		if e.now >= c.leaseExpiresAt {
			if c.quota.reportedStore {
				c.unreportedUnits -= max(c.leasedUnits, 0) // the next call gives them back
			}
			c.leasedUnits = min(c.leasedUnits, 0) // nobody came for them; the next window makes up for it
		}
		idle := e.now-c.lastSeen > customerIdleTimeout
		if idle && c.openAttempts == 0 && c.pendingCalls == 0 && len(c.waiting) == 0 {
			delete(e.customers.byID, c.id)
			continue
		}
		keep = append(keep, c)
		if c.unreportedUnits < -minCorrection && !c.quota.reportedStore &&
			c.pendingCalls == 0 && e.now >= c.backoffUntil {
			if e.enterWindow(c); c.unreportedUnits < 0 {
				call := counterCall{customer: c, name: c.windowName, window: c.window, spent: c.unreportedUnits}
				e.callCounter(call, counterNameTTL)
				c.unreportedUnits = 0
			}
		}
		if len(c.waiting) > 0 {
			e.admit(c)
		}
	}
	e.customers.ordered = keep
}
