package policy

// attemptEnded records the end of an attempt and decides what becomes of the request.
func (e *Engine) attemptEnded(event AttemptEnded) {
	req := e.requests[event.Request]
	if req == nil || !req.attemptInFlight(event.Attempt) {
		return
	}
	a, c := &req.attempts[event.Attempt], req.customer
	a.ended = true
	req.attemptsInFlight--
	c.openAttempts--
	if event.Outcome == TimedOut || event.Outcome == Cancelled {
		e.attemptAbandoned(req, a)
	} else {
		e.attemptFinished(a.backend, req.level)
	}
	e.recordOutcome(req, a, event.Outcome)
	if req.attemptsInFlight == 0 && event.Attempt == len(req.attempts)-1 &&
		a.sentAt == req.firstExecutableAt && provesNoExecution(event.Outcome) {
		req.mayHaveExecuted = false // proved: no attempt has run
	}
	if event.Outcome == Served && e.settings.UnitsEstimated && event.ActualUnits > 0 {
		c.leasedUnits -= event.ActualUnits - req.Units // the guess is put right
	}
	switch {
	case req.finished:
	case event.RequestOver || event.Outcome == Served:
		e.finish(req)
	case req.attemptsInFlight > 0: // another attempt may still answer
	case !e.retry(req):
		e.answerWithout(req, ReasonNoAttempts)
	}
	e.forgetIfOver(req)
	e.admit(req.customer)
}

// provesNoExecution tells which outcomes prove that an attempt had no effect.
func provesNoExecution(o Outcome) bool { return o == Rejected || o == ConnectFailed || o == NotSent }
