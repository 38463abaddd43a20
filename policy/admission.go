package policy

import "slices"

// requestArrived registers a new request and tries to admit it. A request that would add a customer beyond
// the limit is rejected. A request that has too little time left is rejected or failed, as rejectOrFail
// describes. Timers ensure that a request that stays open is answered in time.
func (e *Engine) requestArrived(arrival Request) {
	if !e.hasRoomFor(arrival.Customer) {
		e.rejectForCustomers(arrival)
		return
	}
	req := e.newRequest(arrival)
	if req.answerBy < e.now+e.latency.mean/2 {
		e.rejectOrFail(req, ReasonTooLate)
		return
	}
	if req.presumedLate && e.cannotBeSentFor(req, req.answerBy) {
		e.rejectOrFail(req, ReasonQueue) // sooner than enqueue, since a counter call for it would be in vain
		return
	}
	req.customer.addWaiting(req)
	e.admit(req.customer)
	if req.finished {
		// A rejected request needs no timers. Most rejected requests are rejected here, so almost every
		// rejected request would otherwise have useless timers.
		return
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
	e.presumeUsefulTime(req)
	e.retries.recordArrival(arrival.IsRetry)
	e.requests[arrival.ID] = req
	e.queue.arrivalCounts[req.level]++
	req.customer = e.customerFor(arrival)
	e.applyShutdownDeadline(req)
	return req
}

// answerBy returns the clock time by which an arriving request is to be answered. This is timingMargin before
// the client's deadline, or the end of the latency objective if that end comes first and answers after it
// earn nothing. No margin is subtracted from the end of the objective.
func (e *Engine) answerBy(arrival Request, class *Class) float64 {
	deadline := arrival.Deadline - e.timingMargin()
	if !class.lateAnswersEarnNothing() {
		return deadline
	}
	return min(deadline, arrival.SentAt+class.LatencyObjective)
}

// timingMargin returns the number of seconds before a deadline at which an answer is due: an event may come
// one tick late, and the actions that it leads to may take effect another tick late.
func (e *Engine) timingMargin() float64 { return 2 * e.settings.Tick }

// addWaiting adds a request to the customer's requests that wait for admission, behind the requests of equal
// or higher level.
func (c *customer) addWaiting(req *request) {
	at := len(c.waiting)
	for at > 0 && c.waiting[at-1].level < req.level {
		at--
	}
	c.waiting = slices.Insert(c.waiting, at, req)
}
