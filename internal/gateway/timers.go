package gateway

import (
	"container/heap"

	"amberlb/policy"
)

// timer is an action that the event loop takes at a scheduled time. All timer types are in this file.
type timer interface {
	// fire takes the action. It is called on the loop.
	fire(l *eventLoop)
}

// engineTimer is a timer that the engine has set. When it fires, the engine gets a policy.TimerFired event.
type engineTimer struct {
	token uint64 // policy.SetTimer.Token
}

func (t engineTimer) fire(l *eventLoop) {
	l.handleEvent(policy.TimerFired{Token: t.token})
}

// attemptDeadline ends an attempt at its deadline.
type attemptDeadline struct{ attempt *attempt }

func (t attemptDeadline) fire(l *eventLoop) {
	t.attempt.cancel()
	l.finishAttempt(t.attempt, attemptResult{outcome: policy.TimedOut})
}

// counterCallDeadline ends a call to the counter at its deadline.
type counterCallDeadline struct{ call *counterCall }

func (t counterCallDeadline) fire(l *eventLoop) { l.timeOutCall(t.call) }

// setEngineTimer schedules a timer of the engine. A timer of a request is cancelled when the request is removed.
func (l *eventLoop) setEngineTimer(action policy.SetTimer) {
	req := l.requests[action.Request]
	if action.Request != 0 && req == nil {
		return // the request has been removed
	}
	scheduled := l.timers.schedule(l.clock.now()+max(action.Delay, 0), engineTimer{action.Token})
	if req != nil {
		req.timers = append(req.timers, scheduled)
	}
}

// timerQueue holds the loop's timers, ordered by time. The owner of a timer cancels it as soon as the timer is no longer
// needed. A timer that stayed in the queue until it is due would keep the request that it refers to in memory, and wake
// the process up for nothing. The zero value is an empty queue.
type timerQueue struct {
	entries timerHeap
}

// schedule adds a timer that fires at the given time, in seconds of the loop's clock.
func (q *timerQueue) schedule(at float64, t timer) *scheduledTimer {
	scheduled := &scheduledTimer{at: at, timer: t}
	heap.Push(&q.entries, scheduled)
	return scheduled
}

// cancel removes a timer from the queue. It does nothing if the timer is nil, has fired or has been cancelled.
func (q *timerQueue) cancel(scheduled *scheduledTimer) {
	if scheduled != nil && scheduled.position >= 0 {
		heap.Remove(&q.entries, scheduled.position)
	}
}

// popDue removes and returns the earliest timer if it is due. Otherwise it returns nil.
func (q *timerQueue) popDue(now float64) timer {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return nil
	}
	return heap.Pop(&q.entries).(*scheduledTimer).timer
}

// next returns the time of the earliest timer. scheduled is false if the queue is empty.
func (q *timerQueue) next() (at float64, scheduled bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// removed is the position of a timer that is no longer in the queue.
const removed = -1

// scheduledTimer is a timer with its time and its place in the queue.
type scheduledTimer struct {
	at       float64 // time at which the timer is due, in seconds of the loop's clock
	timer    timer
	position int // index in timerHeap, or removed
}

// timerHeap implements heap.Interface, with the earliest timer at the top.
type timerHeap []*scheduledTimer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push appends an entry, as heap.Interface requires.
func (h *timerHeap) Push(entry any) {
	scheduled := entry.(*scheduledTimer)
	scheduled.position = len(*h)
	*h = append(*h, scheduled)
}

// Pop removes and returns the last entry, as heap.Interface requires.
func (h *timerHeap) Pop() any {
	entries := *h
	last := entries[len(entries)-1]
	entries[len(entries)-1] = nil // so that the garbage collector can free the timer
	*h = entries[:len(entries)-1]
	last.position = removed
	return last
}
