package policy

import "slices"

// Admission: a request is taken in with timers that see to its answer, waits in the queue of its level,
// and leaves it highest level first as the bound on work in flight allows.

// requestArrived takes in a try. Two timers see to it that it is answered in time.
func (e *Engine) requestArrived(r Request) {
	c, p := &e.settings.Classes[r.Class], &e.settings.Plans[r.Plan]
	if r.SentAt == 0 {
		r.SentAt = e.now
	}
	req := &request{Request: r, class: c}
	req.level, _ = slices.BinarySearch(e.queue.weights, c.PriorityWeight*p.WeightFactor)
	req.answerBy = r.Deadline - 2*e.settings.Tick
	if c.LateWeightShare == 0 && c.ObjectivePerUnit == 0 {
		req.answerBy = min(req.answerBy, r.SentAt+c.LatencyObjective-e.elapsedBefore(r, c))
	}
	repeat := 0.0
	if r.IsRetry {
		repeat = 1
	}
	e.retries.clientShare += counterFailureGain * (repeat - e.retries.clientShare)
	e.requests[r.ID] = req
	e.queue.arrivalCounts[req.level]++
	who := e.customerFor(r)
	req.customer = who
	e.limitToShutdown(req)
	if req.answerBy < e.now+e.latency.mean/2 {
		e.answerWithout(req, ReasonTooLate)
		return
	}
	at := len(who.waiting)
	for at > 0 && who.waiting[at-1].level < req.level {
		at--
	}
	who.waiting = slices.Insert(who.waiting, at, req)
	e.admit(who)
	if req.finished {
		return // most refusals come at once, and timers for them would be as many as requests
	}
	e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: r.ID})
	if len(req.attempts) == 0 {
		e.setTimer(req.answerBy-e.now-e.latency.mean, timerToken{kind: sendDeadlineTimer, request: r.ID})
	}
}
