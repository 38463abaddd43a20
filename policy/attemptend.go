package policy

// attemptEnded records the end of an attempt and decides how its request continues. It ignores attempts that
// are unknown or have already ended.
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

// closeAttempt marks an attempt as ended and records its outcome. An attempt that the backend may still be
// executing stays counted as work in flight for a while (see attemptAbandoned).
func (e *Engine) closeAttempt(req *request, event AttemptEnded) {
	a := &req.attempts[event.Attempt]
	a.ended = true
	req.attemptsInFlight--
	req.customer.openAttempts--
	mayStillRun := event.Outcome == TimedOut || event.Outcome == Cancelled
	if mayStillRun && a.isCurrent() {
		e.attemptAbandoned(req, a)
	} else {
		e.attemptFinished(a.backend, req.level)
	}
	e.recordOutcome(req, a, event.Outcome)
}

// provesNoExecution reports whether the end of an attempt proves that the request has not been executed: the
// backend did not execute this attempt, and no other attempt can have been executed.
func (req *request) provesNoExecution(event AttemptEnded) bool {
	return req.attemptsInFlight == 0 &&
		event.Attempt == len(req.attempts)-1 &&
		req.attempts[event.Attempt].sentAt == req.firstExecutableAt &&
		event.Outcome.provesNoExecution()
}

// provesNoExecution reports whether the outcome proves that the backend did not execute the attempt.
func (o Outcome) provesNoExecution() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// correctEstimatedUnits charges the customer's lease with the difference between the actual units of a served
// request and the estimate that it was admitted with.
func (e *Engine) correctEstimatedUnits(req *request, event AttemptEnded) {
	if event.Outcome == Served && e.settings.UnitsEstimated && event.ActualUnits > 0 {
		req.customer.lease.units -= event.ActualUnits - req.Units
	}
}

// answerOrRetry decides how a request continues after the end of an attempt. A request that was served or no
// longer needs an answer is finished. Any other request waits for its attempts in flight. If it has none, the
// gateway starts a retry. If no retry can be started, the gateway answers the request itself.
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
	e.rejectOrFail(req, ReasonNoAttempts)
}
