package policy

import "slices"

// requestArrived opens a request and admits it as far as its customer's quota allows. Two timers see to it
// that it is answered in time.
func (e *Engine) requestArrived(arrival Request) {
	req := e.newRequest(arrival)
	if req.answerBy < e.now+e.latency.mean/2 {
		e.answerWithout(req, ReasonTooLate)
		return
	}
	req.customer.addWaiting(req)
	e.admit(req.customer)
	if req.finished {
		return // most rejections come at once, and timers for them would be as many as requests
	}
	e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: req.ID})
	if len(req.attempts) == 0 {
		e.setTimer(req.answerBy-e.now-e.latency.mean, timerToken{kind: sendDeadlineTimer, request: req.ID})
	}
}

// newRequest returns the state of a request that has arrived, and counts it.
func (e *Engine) newRequest(arrival Request) *request {
	if arrival.SentAt == 0 {
		arrival.SentAt = e.now
	}
	class := &e.settings.Classes[arrival.Class]
	req := &request{
		Request:  arrival,
		class:    class,
		level:    e.queue.levelOf(class, &e.settings.Plans[arrival.Plan]),
		answerBy: e.answerBy(arrival, class),
	}
	e.retries.recordArrival(arrival.IsRetry)
	e.requests[arrival.ID] = req
	e.queue.arrivalCounts[req.level]++
	req.customer = e.customerFor(arrival)
	e.applyShutdownDeadline(req)
	return req
}

// answerBy returns the clock time after which an answer earns nothing: the client's deadline, or its latency
// objective where a late answer has no weight and the objective doesn't grow with the request's work.
func (e *Engine) answerBy(arrival Request, class *Class) float64 {
	deadline := arrival.Deadline - e.timingMargin()
	if class.LateWeightShare != 0 || class.ObjectivePerUnit != 0 {
		return deadline
	}
	return min(deadline, arrival.SentAt+class.LatencyObjective-e.timeSpentOnEarlierAttempts(arrival, class))
}

// timingMargin returns the seconds by which an answer is due before a deadline: an event may come a tick
// late, and so may what its actions lead to.
func (e *Engine) timingMargin() float64 { return 2 * e.settings.Tick }

// addWaiting lets a request wait for its units behind those of equal or higher level.
func (c *customer) addWaiting(req *request) {
	at := len(c.waiting)
	for at > 0 && c.waiting[at-1].level < req.level {
		at--
	}
	c.waiting = slices.Insert(c.waiting, at, req)
}
