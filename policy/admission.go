package policy

import "slices"

// requestArrived registers a new request, and admits it if its customer's quota allows it now. If the request
// stays open, timers ensure that it is sent and answered in time.
func (e *Engine) requestArrived(arrival Request) {
	req := e.newRequest(arrival)
	if req.answerBy < e.now+e.latency.mean/2 {
		e.rejectOrFail(req, ReasonTooLate)
		return
	}
	req.customer.addWaiting(req)
	e.admit(req.customer)
	if req.finished {
		return // most rejections are immediate: timers for them would be almost as many as requests
	}
	e.setTimer(req.answerBy-e.now, timerToken{kind: answerDeadlineTimer, request: req.ID})
	if len(req.attempts) == 0 {
		e.setTimer(req.answerBy-e.now-e.latency.mean, timerToken{kind: sendDeadlineTimer, request: req.ID})
	}
}

// newRequest creates the state of an arriving request and records the arrival.
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

// answerBy returns the clock time after which an answer earns nothing: the client's deadline, or the latency
// objective if a late answer has no weight and the objective doesn't grow with the request's work.
func (e *Engine) answerBy(arrival Request, class *Class) float64 {
	deadline := arrival.Deadline - e.timingMargin()
	if class.LateWeightShare != 0 || class.ObjectivePerUnit != 0 {
		return deadline
	}
	return min(deadline, arrival.SentAt+class.LatencyObjective-e.timeSpentBeforeRetry(arrival, class))
}

// timingMargin returns how many seconds before a deadline an answer is due: an event may come a tick late,
// and so may the effect of its actions.
func (e *Engine) timingMargin() float64 { return 2 * e.settings.Tick }

// addWaiting adds a request to those that wait for units, behind those of equal or higher level.
func (c *customer) addWaiting(req *request) {
	at := len(c.waiting)
	for at > 0 && c.waiting[at-1].level < req.level {
		at--
	}
	c.waiting = slices.Insert(c.waiting, at, req)
}
