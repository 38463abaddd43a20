package gateway

import (
	"time"

	"amberlb/policy"
)

// Bounds of the TTL that a call sets for its key on the counter. The protocol states the TTL in whole milliseconds.
const (
	minCounterTTL = time.Millisecond
	maxCounterTTL = 60 * time.Second // the counter treats a longer TTL as 60 s
)

// callCounter starts a call to the counter. The call ends at once as policy.Rejected if the deployment has no counter
// or the queue of the call's stream is full.
func (l *eventLoop) callCounter(action policy.CounterAdd) {
	call := &counterCall{
		id:     action.CallID,
		key:    action.Name,
		amount: action.Amount,
		sentAt: l.clock.now(),
		ttl:    min(max(toDuration(action.TTL), minCounterTTL), maxCounterTTL),
		report: func(call *counterCall, outcome policy.Outcome, total float64) {
			l.post(counterCallDone{call, outcome, total})
		},
	}
	l.pendingCalls[call.key] = append(l.pendingCalls[call.key], call)
	l.counterCalls.Add(1)
	if l.counter == nil || !l.counter.enqueue(call) {
		l.counterCallsUnanswered.Add(1)
		l.finishCall(call, policy.Rejected, 0)
		return
	}
	call.deadlineTimer = l.timers.schedule(call.sentAt+l.deployment.CounterTimeout, counterCallDeadline{call})
}

// finishCall ends a call with the given outcome. The engine gets the reply as soon as all earlier calls for the key
// have ended (see deliverReplies). If the call has already ended as policy.TimedOut, the engine gets a LateCounterReply
// with the new outcome, since the counter may have added the amount. If the call has already ended with another
// outcome, finishCall does nothing.
func (l *eventLoop) finishCall(call *counterCall, outcome policy.Outcome, total float64) {
	if call.ended {
		if call.outcome == policy.TimedOut {
			l.handleEvent(policy.LateCounterReply{CallID: call.id, Outcome: outcome, Total: total})
		}
		return
	}
	call.ended = true
	l.timers.cancel(call.deadlineTimer)
	call.outcome = outcome
	call.total = total
	l.metrics.calls[outcome].Add(1)
	if outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.ConnectionReset {
		l.counterCallsUnanswered.Add(1)
	}
	l.deliverReplies(call.key)
}

// deliverReplies delivers the replies for a key to the engine, up to the first call that has not ended. The engine
// expects the replies in the order of the calls, but a call that callCounter rejects, or that is sent on a new
// connection, can end before an earlier call.
func (l *eventLoop) deliverReplies(key uint64) {
	for {
		pending := l.pendingCalls[key] // read in each round, since handling a reply may add a call for the key
		if len(pending) == 0 || !pending[0].ended {
			return
		}
		call := pending[0]
		if len(pending) == 1 {
			delete(l.pendingCalls, key)
		} else {
			l.pendingCalls[key] = pending[1:]
		}
		l.handleEvent(policy.CounterReply{
			Name:    key,
			Outcome: call.outcome,
			Total:   call.total,
			Latency: l.clock.now() - call.sentAt,
		})
	}
}

// timeOutCall ends a call at its deadline. If a part of the response has arrived, the call ends as policy.Failed, like
// a call with a malformed response: the engine then assumes that the amount was added. With policy.TimedOut, the engine
// would take the counter for overloaded, and the added amount would be lost. The assumption is wrong if the response is
// a rejection: the engine then takes back the amount of this call although it was never added.
func (l *eventLoop) timeOutCall(call *counterCall) {
	call.abandoned.Store(true)
	outcome := policy.TimedOut
	if call.responseStarted.Load() {
		outcome = policy.Failed
	}
	l.finishCall(call, outcome, 0)
}
