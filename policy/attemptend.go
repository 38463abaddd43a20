package policy

// attemptEnded records the end of an attempt and decides what becomes of its request. The end of an attempt
// that is unknown or has ended before changes nothing.
func (e *Engine) attemptEnded(event AttemptEnded) {
	req := e.requests[event.Request]
	if req == nil || !req.attemptInFlight(event.Attempt) {
		return
	}
	e.closeAttempt(req, event)
	if req.provesNoExecution(event) {
		req.mayHaveExecuted = false
	}
	e.correctEstimatedUnits(req, event)
	e.answerOrRetry(req, event)
	e.deleteIfFinished(req)
	e.admit(req.customer)
}

// closeAttempt takes an attempt out of what is in flight, as far as its end proves that it no longer runs,
// and learns from its outcome.
func (e *Engine) closeAttempt(req *request, event AttemptEnded) {
	a := &req.attempts[event.Attempt]
	a.ended = true
	req.attemptsInFlight--
	req.customer.openAttempts--
	if event.Outcome == TimedOut || event.Outcome == Cancelled {
		e.attemptAbandoned(req, a)
	} else {
		e.attemptFinished(a.backend, req.level)
	}
	e.recordOutcome(req, a, event.Outcome)
}

// provesNoExecution reports whether the end of an attempt proves that none of the request has executed: it
// was the only one that may have, and the backend has not executed it.
func (req *request) provesNoExecution(event AttemptEnded) bool {
	return req.attemptsInFlight == 0 &&
		event.Attempt == len(req.attempts)-1 &&
		req.attempts[event.Attempt].sentAt == req.firstExecutableAt &&
		event.Outcome.provesNoExecution()
}

// provesNoExecution reports whether the outcome proves that an attempt had no effect.
func (o Outcome) provesNoExecution() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// correctEstimatedUnits takes the difference between the units of a served request and their estimate, by
// which it was admitted, from the customer's lease.
func (e *Engine) correctEstimatedUnits(req *request, event AttemptEnded) {
	if event.Outcome == Served && e.settings.UnitsEstimated && event.ActualUnits > 0 {
		req.customer.lease.units -= event.ActualUnits - req.Units
	}
}

// answerOrRetry decides how a request goes on after the end of an attempt: it is over, another attempt may
// still answer it, a retry begins, or it is answered without a backend.
func (e *Engine) answerOrRetry(req *request, event AttemptEnded) {
	if req.finished {
		return
	}
	if event.RequestOver || event.Outcome == Served {
		e.finish(req)
		return
	}
	if req.attemptsInFlight > 0 || e.retry(req) {
		return
	}
	e.answerWithout(req, ReasonNoAttempts)
}
