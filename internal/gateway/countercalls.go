package gateway

import (
	"time"

	"amberlb/policy"
)

func (l *eventLoop) callCounter(action policy.CounterAdd) {
	call := &counterCall{id: action.Call, key: action.Name, amount: action.Amount, sentAt: l.clock.now(),
		ttl: min(max(time.Duration(action.TTL*float64(time.Second)), minCounterTTL), maxCounterTTL)}
	call.report = func(call *counterCall, outcome policy.Outcome, total float64) {
		l.post(counterCallDone{call, outcome, total})
	}
	l.pendingCalls[call.key] = append(l.pendingCalls[call.key], call)
	l.counterCalls.Add(1)
	if l.counter == nil || !l.counter.enqueue(call) {
		l.counterCallsUnanswered.Add(1)
		l.finishCall(call, policy.Rejected, 0)
		return
	}
	l.timers.schedule(call.sentAt+l.deployment.CounterTimeout, counterCallDeadline{call})
}

// finishCall takes a call's one end. The module takes the replies for one
// name in the order of the calls, but a call that is turned away here, or goes
// out on a new connection, may end before an earlier one; it waits for that. What
// becomes of a call that was given up is told all the same.
func (l *eventLoop) finishCall(call *counterCall, outcome policy.Outcome, total float64) {
	if call.ended {
		if call.outcome == policy.TimedOut {
			l.handleEvent(policy.LateCounterReply{Call: call.id, Outcome: outcome, Total: total})
		}
		return
	}
	call.ended, call.outcome, call.total = true, outcome, total
	l.metrics.calls[outcome].Add(1)
	if outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.ConnectionReset {
		l.counterCallsUnanswered.Add(1)
	}
	for ordered := l.pendingCalls[call.key]; len(ordered) > 0 && ordered[0].ended; ordered = l.pendingCalls[call.key] {
		call := ordered[0]
		if l.pendingCalls[call.key] = ordered[1:]; len(ordered) == 1 {
			delete(l.pendingCalls, call.key)
		}
		l.handleEvent(policy.CounterReply{Name: call.key, Outcome: call.outcome, Total: call.total, Latency: l.clock.now() - call.sentAt})
	}
}

// timeOutCall ends a call whose time is over. An answer that has begun, and may never
// end, says as much as one that can't be read: the amount was added. Told
// as silence, it would pass for a crowd, and what it added would be lost. A refusal
// cut to pieces on its way passes for added too; what is taken back then is one call's.
func (l *eventLoop) timeOutCall(call *counterCall) {
	call.abandoned.Store(true)
	outcome := policy.TimedOut
	if call.responseStarted.Load() {
		outcome = policy.Failed
	}
	l.finishCall(call, outcome, 0)
}
