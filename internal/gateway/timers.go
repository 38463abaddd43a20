package gateway

import (
	"container/heap"

	"amberlb/policy"
)

// timer is an action that the event loop takes at a scheduled time. All timer types are in this file. Their methods are
// called on the loop.
type timer interface {
	// isStale reports whether the timer is no longer needed. Most timers become stale before they are due; stale
	// timers are dropped without firing, so that the process doesn't wake up for them.
	isStale(l *eventLoop) bool
	// fire takes the action.
	fire(l *eventLoop)
}

// engineTimer is a timer that the engine has set. When it fires, the engine gets a policy.TimerFired event.
type engineTimer struct {
	token   uint64           // policy.SetTimer.Token
	request policy.RequestID // request whose end makes the timer stale; 0 if the timer has no request
}

func (t engineTimer) isStale(l *eventLoop) bool {
	return t.request != 0 && l.requests[t.request] == nil
}

func (t engineTimer) fire(l *eventLoop) {
	l.handleEvent(policy.TimerFired{Token: t.token})
}

// attemptDeadline ends an attempt at its deadline.
type attemptDeadline struct{ attempt *attempt }

func (t attemptDeadline) isStale(*eventLoop) bool { return t.attempt.ended }

func (t attemptDeadline) fire(l *eventLoop) {
	t.attempt.cancel()
	l.finishAttempt(t.attempt, attemptResult{outcome: policy.TimedOut})
}

// counterCallDeadline ends a call to the counter at its deadline.
type counterCallDeadline struct{ call *counterCall }

func (t counterCallDeadline) isStale(*eventLoop) bool { return t.call.ended }

func (t counterCallDeadline) fire(l *eventLoop) { l.timeOutCall(t.call) }

// timerQueue holds the loop's timers, ordered by time. The zero value is an empty queue.
type timerQueue struct {
	entries timerHeap
}

// schedule adds a timer that fires at the given time, in seconds of the loop's clock.
func (q *timerQueue) schedule(at float64, t timer) {
	heap.Push(&q.entries, timerEntry{at: at, timer: t})
}

// popDue removes and returns the earliest timer that is not stale, if that timer is due. Otherwise it returns nil. It
// drops all stale timers that are earlier, whether they are due or not.
func (q *timerQueue) popDue(l *eventLoop, now float64) timer {
	for len(q.entries) > 0 {
		earliest := q.entries[0]
		stale := earliest.timer.isStale(l)
		if earliest.at > now && !stale {
			return nil
		}
		heap.Pop(&q.entries)
		if !stale {
			return earliest.timer
		}
	}
	return nil
}

// next returns the time of the earliest timer, which may be stale. scheduled is false if the queue is empty.
func (q *timerQueue) next() (at float64, scheduled bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// timerEntry is a timer in the queue with its time.
type timerEntry struct {
	at    float64 // time at which the timer is due, in seconds of the loop's clock
	timer timer
}

// timerHeap implements heap.Interface, with the earliest timer at the top.
type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry, as heap.Interface requires.
func (h *timerHeap) Push(entry any) { *h = append(*h, entry.(timerEntry)) }

// Pop removes and returns the last entry, as heap.Interface requires.
func (h *timerHeap) Pop() any {
	entries := *h
	last := entries[len(entries)-1]
	entries[len(entries)-1] = timerEntry{} // so that the garbage collector can free the timer
	*h = entries[:len(entries)-1]
	return last
}
