package gateway

import (
	"container/heap"

	"amberlb/policy"
)

// isStale tells whether nobody waits for a timer any more. Such timers are most of
// all, and the process is not woken for them.
func (l *eventLoop) isStale(t timerEntry) bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended
	case t.call != nil:
		return t.call.ended
	case t.request != 0:
		return l.requests[t.request] == nil
	}
	return false
}

func (l *eventLoop) fireTimer(t timerEntry) {
	switch {
	case t.attempt != nil:
		t.attempt.cancel()
		l.finishAttempt(t.attempt, attemptResult{outcome: policy.TimedOut})
	case t.call != nil:
		l.timeOutCall(t.call)
	default:
		l.handleEvent(policy.TimerFired{Token: t.token})
	}
}

// timerEntry is a timer of the module's, or the time-out of an attempt or call.
type timerEntry struct {
	at      float64
	token   uint64
	request policy.RequestID // 0: the timer belongs to none
	attempt *attempt
	call    *counterCall
}

// timerHeap has the earliest timer first.
type timerHeap []timerEntry

func (h *timerHeap) add(t timerEntry) { heap.Push(h, t) }

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(t any) { *h = append(*h, t.(timerEntry)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return t
}
