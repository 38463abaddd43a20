package gateway

import (
	"container/heap"

	"amberlb/policy"
)

// timer is something that the loop does at a set time. The types of this file are all that there are. Their methods
// are called on the loop.
type timer interface {
	// isStale reports whether nobody waits for the timer any more. Most timers become stale before their time, and
	// the process is not woken for them.
	isStale(l *eventLoop) bool
	// fire does what the timer was set for.
	fire(l *eventLoop)
}

// engineTimer hands the decision module a timer that it has set.
type engineTimer struct {
	token   uint64           // the engine's
	request policy.RequestID // without which the timer is stale; 0: it belongs to none
}

func (t engineTimer) isStale(l *eventLoop) bool {
	return t.request != 0 && l.requests[t.request] == nil
}

func (t engineTimer) fire(l *eventLoop) {
	l.handleEvent(policy.TimerFired{Token: t.token})
}

// attemptDeadline ends an attempt whose time is over.
type attemptDeadline struct{ attempt *attempt }

func (t attemptDeadline) isStale(*eventLoop) bool { return t.attempt.ended }

func (t attemptDeadline) fire(l *eventLoop) {
	t.attempt.cancel()
	l.finishAttempt(t.attempt, attemptResult{outcome: policy.TimedOut})
}

// counterCallDeadline ends the loop's wait for a call to the counter.
type counterCallDeadline struct{ call *counterCall }

func (t counterCallDeadline) isStale(*eventLoop) bool { return t.call.ended }

func (t counterCallDeadline) fire(l *eventLoop) { l.timeOutCall(t.call) }

// timerQueue holds the loop's timers in the order of their times. The zero value is an empty queue.
type timerQueue struct {
	entries timerHeap
}

// schedule has a timer fire at a time of the loop's clock, in seconds.
func (q *timerQueue) schedule(at float64, t timer) {
	heap.Push(&q.entries, timerEntry{at: at, timer: t})
}

// popDue removes the earliest timer and returns it if it is due. Stale timers before it go unfired, whatever their
// time. It returns nil where no timer is due.
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

// next returns the time of the earliest timer, and false where there is none.
func (q *timerQueue) next() (at float64, scheduled bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].at, true
}

// timerEntry is a timer in the queue.
type timerEntry struct {
	at    float64 // seconds of the loop's clock
	timer timer
}

// timerHeap implements heap.Interface with the earliest timer first.
type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an entry, as package heap asks for.
func (h *timerHeap) Push(entry any) { *h = append(*h, entry.(timerEntry)) }

// Pop removes the last entry, as package heap asks for.
func (h *timerHeap) Pop() any {
	entries := *h
	last := entries[len(entries)-1]
	entries[len(entries)-1] = timerEntry{} // lets what it refers to go
	*h = entries[:len(entries)-1]
	return last
}
