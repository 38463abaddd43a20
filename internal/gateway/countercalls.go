package gateway

import (
	"time"

	"amberlb/policy"
)

// Bounds of a call's TTL on the counter, which is given in whole milliseconds.
const (
	minCounterTTL = time.Millisecond
	maxCounterTTL = 60 * time.Second // the counter takes longer ones for this
)

// callCounter makes a call to the counter. A call that can't be queued, or that the deployment has no counter for, is
// rejected at once.
func (l *eventLoop) callCounter(action policy.CounterAdd) {
	call := &counterCall{
		id:     action.Call,
		key:    action.Name,
		amount: action.Amount,
		sentAt: l.clock.now(),
		ttl:    min(max(seconds(action.TTL), minCounterTTL), maxCounterTTL),
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
	l.timers.schedule(call.sentAt+l.deployment.CounterTimeout, counterCallDeadline{call})
}

// finishCall handles the one end of a call. What becomes of a call that had timed out before is handed to the engine
// all the same, since its amount may have been added.
func (l *eventLoop) finishCall(call *counterCall, outcome policy.Outcome, total float64) {
	if call.ended {
		if call.outcome == policy.TimedOut {
			l.handleEvent(policy.LateCounterReply{Call: call.id, Outcome: outcome, Total: total})
		}
		return
	}
	call.ended = true
	call.outcome = outcome
	call.total = total
	l.metrics.calls[outcome].Add(1)
	if outcome == policy.TimedOut || outcome == policy.ConnectFailed || outcome == policy.ConnectionReset {
		l.counterCallsUnanswered.Add(1)
	}
	l.deliverReplies(call.key)
}

// deliverReplies hands the engine the replies for a key, up to the first call that has not ended. The engine takes
// them in the order of the calls, but a call that is rejected here, or goes out on a new connection, may end before
// an earlier one.
func (l *eventLoop) deliverReplies(key uint64) {
	for {
		pending := l.pendingCalls[key] // read each time: the engine may call the counter for the key meanwhile
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

// timeOutCall ends a call whose time is over. A response that has begun, and may never end, says as much as one that
// can't be read: the amount was added. Handed to the engine as silence, it would count as an overloaded counter, and
// what it added would be lost. A rejection that is cut to pieces on its way counts as added too; the amount that is
// then taken back in error is that of one call.
func (l *eventLoop) timeOutCall(call *counterCall) {
	call.abandoned.Store(true)
	outcome := policy.TimedOut
	if call.responseStarted.Load() {
		outcome = policy.Failed
	}
	l.finishCall(call, outcome, 0)
}
